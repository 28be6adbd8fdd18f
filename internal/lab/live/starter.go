package live

import (
	"os/exec"
	"runtime"
)

// starter starts processes from one thread that lives as long as they may: the kernel kills them when the thread ends
// (Pdeathsig), so that a lab that is killed leaves none behind.
type starter struct{ jobs chan func() }

// newStarter starts the thread; end ends it.
func newStarter() (s *starter, end func()) {
	s = &starter{jobs: make(chan func())}
	done := make(chan struct{})
	go func() {
		defer close(done)
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		for job := range s.jobs {
			job()
		}
	}()
	return s, func() {
		close(s.jobs)
		<-done
	}
}

func (s *starter) start(cmd *exec.Cmd) error {
	done := make(chan error)
	s.jobs <- func() { done <- cmd.Start() }
	return <-done
}
