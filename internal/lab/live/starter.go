package live

import (
	"os/exec"
	"runtime"
)

// starter starts all processes from one locked thread. With Pdeathsig the kernel kills a process when the thread that
// started it ends, so the thread has to outlive the processes. If the lab itself is killed, its processes end with it.
type starter struct{ jobs chan func() }

// newStarter starts the thread. The function end stops it, which kills the processes that still run.
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

// start starts a command from the thread of the starter.
func (s *starter) start(cmd *exec.Cmd) error {
	done := make(chan error)
	s.jobs <- func() { done <- cmd.Start() }
	return <-done
}
