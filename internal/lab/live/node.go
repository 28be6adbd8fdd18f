package live

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"sprucehill/internal/lab/day"
	"sprucehill/internal/lab/history"
)

// starter starts processes from one thread that lives as long as they may: the kernel kills them with it, so that a
// lab that is killed leaves none behind.
type starter struct{ jobs chan func() }

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

// node is one balancer's process.
type node struct {
	run     *run
	index   int
	starter *starter
	config  string // path
	env     []string

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{} // closed at the process's end
	asked  bool          // to end
	killed bool          // by the timetable: what its connections carried may have run
	force  bool          // it had to be killed
	used   time.Duration // processor time of its ended processes
	log    *os.File
	wave   int // starts so far
	known  listing
}

// fleetFile is the fleet file of every balancer. Its log is read after the day.
const fleetFile = "[log]\nformat = \"json\"\n"

// newNode writes a balancer's configuration.
func (r *run) newNode(b int, s *starter) (*node, error) {
	dir := r.folder(b)
	n := &node{run: r, index: b, starter: s, config: filepath.Join(dir, "config.json")}
	if err := os.MkdirAll(n.stateDir(), 0o755); err != nil {
		return nil, fmt.Errorf("%w: %w", day.ErrInput, err)
	}
	n.env = append(os.Environ(), "RELAY_CONFIG="+n.config, "RELAY_NAME="+n.name(), "RELAY_LISTEN="+r.clientsAt(b),
		"RELAY_DISCOVERY="+r.agentAt(b), "RELAY_MANAGEMENT="+r.operatorsAt(b), "TMPDIR="+n.stateDir(), "RELAY_FD=", "RELAY_FLEET="+filepath.Join(dir, "fleet.toml"))
	file := fleetFile
	if r.day.Balancer.State {
		file += fmt.Sprintf("[state]\nfolder = %q\nsite = %q\n", filepath.Join(n.stateDir(), "kept"), r.day.Name)
	}
	if err := os.WriteFile(filepath.Join(dir, "fleet.toml"), []byte(file), 0o644); err != nil {
		return nil, fmt.Errorf("%w: %w", day.ErrInput, err)
	}
	var err error
	n.log, err = os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", day.ErrInput, err)
	}
	return n, nil
}

func (n *node) name() string     { return n.run.fleet.Balancers[n.index].Name }
func (n *node) stateDir() string { return filepath.Join(n.run.folder(n.index), "state") }

// configure writes what the process is told at its start; the list is the one that its agent has now.
func (n *node) configure() error {
	r := n.run
	if n.wave == 1 || r.day.Balancer.Known == "now" {
		n.known = r.registry.known(n.index)
	}
	text, err := json.Marshal(map[string]any{"name": n.name(), "listen": r.clientsAt(n.index), "discovery": r.agentAt(n.index),
		"management": r.operatorsAt(n.index), "seed": fmt.Sprintf("%016x", r.day.Seed<<24+uint64(n.wave)<<12+uint64(n.index)),
		"limits": map[string]any{"cores": 1, "memory_mb": r.day.Balancer.MemoryMB, "sockets": r.day.Balancer.Sockets},
		"known":  n.known, "settings": r.day.Settings(r.fleet, n.index)})
	if err != nil {
		return err
	}
	return os.WriteFile(n.config, text, 0o644)
}

// start starts the process.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wave++
	if err := n.configure(); err != nil {
		return fmt.Errorf("%s: %w", n.name(), err)
	}
	cmd := exec.Command(n.run.options.Command[0], n.run.options.Command[1:]...)
	cmd.Dir, cmd.Env, cmd.Stdout, cmd.Stderr = n.run.options.Dir, n.env, n.log, n.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := n.starter.start(cmd); err != nil {
		return fmt.Errorf("%w: %s does not start: %w", day.ErrInput, n.name(), err)
	}
	n.cmd, n.asked, n.killed, n.force, n.ended = cmd, false, false, false, make(chan struct{})
	n.note(history.Started, 0, "")
	go n.wait(cmd, n.ended)
	return nil
}

// wait notes the end of a process.
func (n *node) wait(cmd *exec.Cmd, ended chan struct{}) {
	_ = cmd.Wait() // how it ended is read from ProcessState below
	n.mu.Lock()
	defer n.mu.Unlock()
	text := ""
	if n.force {
		text = "killed: it had not ended in time after SIGTERM"
	} else if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && status.Signaled() && !n.asked {
		text = "by " + status.Signal().String()
	}
	n.used += cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()
	n.note(history.Exited, cmd.ProcessState.ExitCode(), text)
	close(ended)
}

func (n *node) note(kind history.Kind, status int, text string) {
	n.run.note(history.Event{Kind: kind, Balancer: int32(n.index), Upstream: history.None, Arrival: history.None,
		Status: int16(status), Text: text})
}

// state is the process of now, a channel that closes at its end, and whether that has come.
func (n *node) state() (*os.Process, <-chan struct{}, bool) {
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

// wasKilled tells whether the process of now was ended by SIGKILL.
func (n *node) wasKilled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.killed
}

// signal sends a signal, noting it first.
func (n *node) signal(sig syscall.Signal, kind history.Kind) error {
	p, _, ended := n.state()
	if ended {
		return os.ErrProcessDone
	}
	n.mu.Lock()
	n.asked = n.asked || kind == history.Signalled || kind == history.Killed
	n.killed = n.killed || kind == history.Killed
	n.mu.Unlock()
	n.note(kind, 0, "")
	return p.Signal(sig)
}

// change begins or ends a fault.
func (n *node) change(fault day.Fault, on bool) error {
	again := func() error {
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
	switch fault.Kind {
	case "kill":
		if on {
			return n.signal(syscall.SIGKILL, history.Killed)
		}
		return again()
	case "term":
		if on {
			return n.terminate(n.run.day.Longest() + lastCalls)
		}
		if _, _, ended := n.state(); !ended {
			n.kill()
		}
		return again()
	case "restart":
		if !on {
			return nil
		}
		if err := n.terminate(n.run.day.Longest() + lastCalls); err != nil {
			return err
		}
		return again()
	case "freeze":
		if on {
			return n.signal(syscall.SIGSTOP, history.Frozen)
		}
		return n.signal(syscall.SIGCONT, history.Thawed)
	case "clock":
		by := fault.Delay.D()
		if !on {
			by = 0
		}
		n.run.registry.skew(n.index, by)
	}
	return nil
}

// terminate ends the process by SIGTERM, and by SIGKILL where it takes too long.
func (n *node) terminate(patience time.Duration) error {
	p, ended, over := n.state()
	if over {
		return os.ErrProcessDone
	}
	if err := n.signal(syscall.SIGTERM, history.Signalled); err != nil {
		return err
	}
	select {
	case <-ended:
		return nil
	case <-time.After(patience):
	}
	n.mu.Lock()
	n.force = true
	n.mu.Unlock()
	p.Kill() // if it fails it has ended
	<-ended
	return nil
}

// end ends the process after the day.
func (n *node) end(patience time.Duration) {
	if p, _, over := n.state(); !over {
		_ = p.Signal(syscall.SIGCONT) // a process that is still stopped does not handle SIGTERM; one that has ended needs neither
		_ = n.terminate(patience)     // its only error says that the process has ended
	}
}

// kill ends the process at once, whatever it does.
func (n *node) kill() {
	if p, ended, over := n.state(); !over {
		n.mu.Lock()
		n.asked = true
		n.mu.Unlock()
		p.Kill()
		<-ended
	}
}

// leftover notes processes that the balancer has started and left behind, and ends them.
func (n *node) leftover() {
	p, _, _ := n.state()
	if p == nil || syscall.Kill(-p.Pid, 0) != nil {
		return
	}
	n.note(history.Orphan, 0, fmt.Sprintf("process group %d", p.Pid))
	_ = syscall.Kill(-p.Pid, syscall.SIGKILL) // an error means that the group has ended
}

// lastLog is the end of what the process has logged.
func (n *node) lastLog() string {
	text, err := os.ReadFile(n.log.Name())
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-3):], " | ")
}

// usage is the memory, in MB, and the descriptors that a process has now.
func usage(pid int) (mb, descriptors int, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, 0, err
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0, 0, fmt.Errorf("statm of %d has no resident size", pid)
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0, 0, err
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return pages * os.Getpagesize() >> 20, len(open), err
}

// selfCPU is the processor time of this process.
func selfCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
