package live

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/scenario"
)

// lastLogLines is how many lines from the end of a process's log an error about the process quotes.
const lastLogLines = 3

// node runs the process of one balancer, through all its restarts.
type node struct {
	run     *run
	index   int // of the balancer in the fleet
	starter *starter
	config  string // path of the configuration file
	env     []string
	log     *os.File
	known   listing // endpoint list in the configuration

	mu           sync.Mutex
	cmd          *exec.Cmd     // nil: not started yet
	ended        chan struct{} // closed when the process has exited
	exitExpected bool          // the lab has sent a signal that ends it
	killed       bool          // by a fault with SIGKILL: requests in flight may have been executed
	forced       bool          // killed with SIGKILL because it did not exit in time after SIGTERM
	cpuTime      time.Duration // of all its processes that have exited
	incarnation  int           // number of the current start, from 1
}

func (n *node) name() string     { return n.run.fleet.Balancers[n.index].Name }
func (n *node) stateDir() string { return filepath.Join(n.run.folder(n.index), "state") }

// start writes the configuration and starts the process.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.incarnation++
	if err := n.writeConfig(); err != nil {
		return fmt.Errorf("writing the configuration of %s: %w", n.name(), err)
	}
	cmd := exec.Command(n.run.options.Command[0], n.run.options.Command[1:]...)
	cmd.Dir = n.run.options.Dir
	cmd.Env = n.env
	cmd.Stdout = n.log
	cmd.Stderr = n.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := n.starter.start(cmd); err != nil {
		return fmt.Errorf("%w: starting %s: %w", scenario.ErrInput, n.name(), err)
	}
	n.cmd = cmd
	n.ended = make(chan struct{})
	n.exitExpected = false
	n.killed = false
	n.forced = false
	n.record(history.Started, 0, "")
	go n.wait(cmd, n.ended)
	return nil
}

// wait waits for a process to exit, and records its exit status.
func (n *node) wait(cmd *exec.Cmd, ended chan struct{}) {
	_ = cmd.Wait() // the exit status is read from ProcessState below
	n.mu.Lock()
	defer n.mu.Unlock()
	text := ""
	if n.forced {
		text = "killed: it had not ended in time after SIGTERM"
	} else if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && status.Signaled() && !n.exitExpected {
		text = "by " + status.Signal().String()
	}
	n.cpuTime += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	n.record(history.Exited, cmd.ProcessState.ExitCode(), text)
	close(ended)
}

// record records an event of this process.
func (n *node) record(kind history.Kind, status int, text string) {
	n.run.recorder.record(history.Event{
		Kind:     kind,
		Balancer: int32(n.index),
		Upstream: history.None,
		Arrival:  history.None,
		Status:   int16(status),
		Text:     text,
	})
}

// processState returns the current process, a channel that is closed when it has exited, and whether it has. The process is
// nil before the first start.
func (n *node) processState() (p *os.Process, ended <-chan struct{}, over bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return nil, nil, true
	}
	select {
	case <-n.ended:
		return n.cmd.Process, n.ended, true
	default:
		return n.cmd.Process, n.ended, false
	}
}

// wasKilled reports whether a fault has sent SIGKILL to the current process.
func (n *node) wasKilled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killed
}

// signal records an event of a kind and sends a signal to the process. The event comes first, so that it precedes all that
// the signal causes.
func (n *node) signal(sig syscall.Signal, kind history.Kind) error {
	p, _, over := n.processState()
	if over {
		return os.ErrProcessDone
	}
	n.mu.Lock()
	n.exitExpected = n.exitExpected || kind == history.Signalled || kind == history.Killed
	n.killed = n.killed || kind == history.Killed
	n.mu.Unlock()
	n.record(kind, 0, "")
	return p.Signal(sig)
}

// beginFault applies the beginning of a fault on this balancer.
func (n *node) beginFault(fault scenario.Fault) error {
	switch fault.Kind {
	case scenario.BalancerKill:
		return n.signal(syscall.SIGKILL, history.Killed)
	case scenario.BalancerTerminate:
		return n.terminate(n.exitTimeout())
	case scenario.BalancerRestart:
		if err := n.terminate(n.exitTimeout()); err != nil {
			return err
		}
		return n.restart(fault)
	case scenario.BalancerFreeze:
		return n.signal(syscall.SIGSTOP, history.Paused)
	case scenario.ClockOffset:
		n.run.registry.setClockOffset(n.index, fault.Delay.D())
	}
	return nil
}

// endFault applies the end of a fault on this balancer.
func (n *node) endFault(fault scenario.Fault) error {
	switch fault.Kind {
	case scenario.BalancerKill:
		return n.restart(fault)
	case scenario.BalancerTerminate:
		n.kill()
		return n.restart(fault)
	case scenario.BalancerFreeze:
		return n.signal(syscall.SIGCONT, history.Resumed)
	case scenario.ClockOffset:
		n.run.registry.setClockOffset(n.index, 0)
	}
	return nil
}

// exitTimeout returns how long a process may take to exit after SIGTERM.
func (n *node) exitTimeout() time.Duration { return n.run.scenario.MaxDeadline() + exitMargin }

// restart starts the process again after a fault. It deletes the saved state first if the fault says so.
func (n *node) restart(fault scenario.Fault) error {
	if fault.State == "lose" {
		if err := os.RemoveAll(n.stateDir()); err != nil {
			return err
		}
		if err := os.MkdirAll(n.stateDir(), 0o755); err != nil {
			return err
		}
	}
	return n.start()
}

// terminate ends the process with SIGTERM, and with SIGKILL if it has not exited within the timeout.
func (n *node) terminate(timeout time.Duration) error {
	p, ended, over := n.processState()
	if over {
		return os.ErrProcessDone
	}
	if err := n.signal(syscall.SIGTERM, history.Signalled); err != nil {
		return err
	}
	select {
	case <-ended:
		return nil
	case <-time.After(timeout):
	}
	n.mu.Lock()
	n.forced = true
	n.mu.Unlock()
	p.Kill() // fails only if the process has exited
	<-ended
	return nil
}

// end ends the process after the run.
func (n *node) end() {
	p, _, over := n.processState()
	if over {
		return
	}
	_ = p.Signal(syscall.SIGCONT)    // a process stopped by SIGSTOP does not handle SIGTERM; an error means that it has exited
	_ = n.terminate(n.exitTimeout()) // fails only if the process has exited
}

// kill ends the process with SIGKILL and waits for its exit.
func (n *node) kill() {
	p, ended, over := n.processState()
	if over {
		return
	}
	n.mu.Lock()
	n.exitExpected = true
	n.mu.Unlock()
	p.Kill()
	<-ended
}

// killOrphans records and kills child processes of the balancer that still run after its exit.
func (n *node) killOrphans() {
	p, _, _ := n.processState()
	if p == nil || syscall.Kill(-p.Pid, 0) != nil {
		return
	}
	n.record(history.Orphan, 0, fmt.Sprintf("process group %d", p.Pid))
	_ = syscall.Kill(-p.Pid, syscall.SIGKILL) // an error means that the group has exited
}

// lastLog returns the last lines of the process's log.
func (n *node) lastLog() string {
	text, err := os.ReadFile(n.log.Name())
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-lastLogLines):], " | ")
}
