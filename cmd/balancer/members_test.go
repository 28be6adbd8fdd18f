package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"sprucehill/internal/membership"
)

// peer is a balancer process in a fleet with membership.
type peer struct {
	name       string
	management string // management address
	listen     string // membership address
	cmd        *exec.Cmd
	log        *os.File
}

// peerFleet starts the balancer processes of a fleet. The first two must listen on the seed addresses.
type peerFleet struct {
	t          *testing.T
	program    string // path of the balancer binary
	dir        string
	seeds      []string // two membership addresses
	persistent bool     // the processes of each name share a state folder
	peers      []*peer
}

func newPeerFleet(t *testing.T) *peerFleet {
	t.Helper()
	if os.Getenv("RUN") != "" {
		t.Skip("RUN is set: this test needs the balancer process itself, not a shell that starts it")
	}
	f := &peerFleet{t: t, program: balancerCommand(t).Path, dir: t.TempDir(), seeds: []string{freeAddress(t), freeAddress(t)}}
	t.Cleanup(func() {
		for _, p := range f.peers {
			f.killAndShowLog(p)
		}
	})
	return f
}

// killAndShowLog kills a process and, if the test has failed, shows the end of the process's log.
func (f *peerFleet) killAndShowLog(p *peer) {
	const shownLogBytes = 3000
	p.cmd.Process.Signal(syscall.SIGCONT)
	p.cmd.Process.Kill()
	p.cmd.Wait()
	if text, _ := os.ReadFile(p.log.Name()); f.t.Failed() {
		f.t.Logf("%s:\n%s", p.name, text[max(0, len(text)-shownLogBytes):])
	}
	p.log.Close()
}

// start starts a process with a name and a membership address.
func (f *peerFleet) start(name, listen string) *peer {
	f.t.Helper()
	number := len(f.peers)
	path := func(file string) string { return filepath.Join(f.dir, fmt.Sprint(number, file)) }
	p := &peer{name: name, management: freeAddress(f.t), listen: listen}
	writeFile(f.t, path("config.json"), fmt.Sprintf(configTemplate, freeAddress(f.t), freeAddress(f.t)))
	writeFile(f.t, path("fleet.toml"), f.fleetFile(name, listen))
	var err error
	if p.log, err = os.Create(path("log")); err != nil {
		f.t.Fatal(err)
	}
	p.cmd = exec.Command(f.program)
	p.cmd.Env = append(os.Environ(),
		"RELAY_NAME="+name,
		"RELAY_CONFIG="+path("config.json"),
		"RELAY_FLEET="+path("fleet.toml"),
		"RELAY_MANAGEMENT="+p.management)
	p.cmd.Stdout = p.log
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.peers = append(f.peers, p)
	return p
}

// fleetFile returns the content of a process's fleet file.
func (f *peerFleet) fleetFile(name, listen string) string {
	text := fmt.Sprintf("[membership]\nlisten = %q\nseeds = [%q, %q]\n", listen, f.seeds[0], f.seeds[1])
	if f.persistent {
		text += fmt.Sprintf("[state]\nfolder = %q\nevery = \"100ms\"\n", filepath.Join(f.dir, "state-"+name))
	}
	return text
}

// kill ends a process with SIGKILL, so that it can't leave the fleet first.
func (p *peer) kill() { p.cmd.Process.Kill() }

// stop starts a graceful shutdown.
func (p *peer) stop() { p.cmd.Process.Signal(syscall.SIGTERM) }

// suspend halts a process until resume.
func (p *peer) suspend() { p.cmd.Process.Signal(syscall.SIGSTOP) }

func (p *peer) resume() { p.cmd.Process.Signal(syscall.SIGCONT) }

// queryMembers returns a process's membership status and the names of the members that it sees, separated by spaces. names is
// empty if the process doesn't answer.
func (p *peer) queryMembers() (status membership.Status, names string) {
	lines, err := p.callMembers()
	if err != nil {
		return membership.Status{}, ""
	}
	status, _, err = membership.ReadStatus(lines)
	if err != nil {
		return status, ""
	}
	var memberNames []string
	for _, m := range status.View.Members {
		memberNames = append(memberNames, m.Name)
	}
	return status, strings.Join(memberNames, " ")
}

// membersCallTimeout bounds the management call members.
const membersCallTimeout = 5 * time.Second

// callMembers returns the lines of the answer to the management call members, without the END that closes it.
func (p *peer) callMembers() ([]string, error) {
	c, err := openManagementCall(p.management, "members")
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(membersCallTimeout))
	text, err := io.ReadAll(c)
	if err != nil {
		return nil, err
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	last := len(lines) - 1
	if lines[last] != "END" {
		return nil, io.ErrUnexpectedEOF
	}
	return lines[:last], nil
}

// waitForView waits until each of the peers sees exactly the members of these names.
func (f *peerFleet) waitForView(names string, peers ...*peer) {
	f.t.Helper()
	f.waitFor("all see "+names, func() bool {
		return !slices.ContainsFunc(peers, func(p *peer) bool {
			_, seen := p.queryMembers()
			return seen != names
		})
	})
}

// waitFor waits until a condition holds, and fails the test after a minute.
func (f *peerFleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	const timeout = time.Minute
	const pollInterval = 50 * time.Millisecond
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			f.logViews()
			f.t.Fatalf("not within %v: %s", timeout, what)
		}
		time.Sleep(pollInterval)
	}
}

func (f *peerFleet) logViews() {
	f.t.Helper()
	for _, p := range f.peers {
		status, names := p.queryMembers()
		f.t.Logf("%s sees %q: %+v", p.name, names, status)
	}
}

// Balancer processes discover each other, and detect that one of them is killed, suspended, stopped, duplicated or upgraded.
func TestProcessesDiscoverEachOther(t *testing.T) {
	f := newPeerFleet(t)
	a := f.start("a", f.seeds[0])
	b := f.start("b", f.seeds[1])
	c := f.start("c", freeAddress(t))
	d := f.start("d", freeAddress(t))
	f.waitForView("a b c d", a, b, c, d)
	f.waitFor("the fleet size is four", func() bool {
		s, _ := a.queryMembers()
		return s.FleetSize.RoutingDivisor == 4 && s.FleetSize.BudgetDivisor == 4
	})

	d.kill()
	f.waitForView("a b c", a, b, c)
	if s, _ := a.queryMembers(); s.FleetSize.BudgetDivisor != 4 {
		t.Errorf("just after one of four members was lost, the budget divisor is %d, want 4", s.FleetSize.BudgetDivisor)
	}

	c.suspend()
	f.waitForView("a b", a, b)
	c.resume()
	f.waitForView("a b c", a, b, c)

	d = f.start("d", d.listen)
	f.waitForView("a b c d", a, b, c, d)

	newerC := startDuplicate(f, c)
	newerA := upgrade(f, a, []*peer{b, newerC, d}, b)

	b.stop()
	f.waitForView("a c d", newerC, newerA, d)
}

// startDuplicate starts a second process with the name of one in the fleet a b c d, and checks that the older process is fenced
// and keeps serving.
func startDuplicate(f *peerFleet, older *peer) (newer *peer) {
	f.t.Helper()
	newer = f.start(older.name, freeAddress(f.t))
	f.waitFor("of two processes with one name the older is fenced, the newer is not", func() bool {
		olderStatus, names := older.queryMembers()
		newerStatus, _ := newer.queryMembers()
		return olderStatus.Fenced && names == "a b c d" && !newerStatus.Fenced && newerStatus.Self.Name == older.name
	})
	if answer := callManagement(older.management, "check"); !strings.HasPrefix(answer, "YES") {
		f.t.Errorf("the older process does not keep serving: check got %q", answer)
	}
	return newer
}

// upgrade replaces the first member of the fleet a b c d by a new process with the same membership address, which is in use
// until the old process has exited.
func upgrade(f *peerFleet, old *peer, others []*peer, observer *peer) (successor *peer) {
	f.t.Helper()
	successor = f.start(old.name, old.listen)
	f.waitFor("the successor answers", func() bool { return strings.HasPrefix(callManagement(successor.management, "check"), "YES") })
	old.stop()
	f.waitForView("a b c d", append(others, successor)...)
	f.waitFor("the successor has replaced the old process", func() bool {
		seen, _ := observer.queryMembers()
		own, _ := successor.queryMembers()
		return len(seen.View.Members) == 4 && own.Self.Incarnation > 0 && seen.View.Members[0].Incarnation == own.Self.Incarnation
	})
	return successor
}

// A process that restarts while all others are down divides budgets by the previous fleet size, and takes a higher incarnation.
func TestRestartRestoresFleetSize(t *testing.T) {
	f := newPeerFleet(t)
	f.persistent = true
	a := f.start("a", f.seeds[0])
	b := f.start("b", f.seeds[1])
	c := f.start("c", freeAddress(t))
	f.waitForView("a b c", a, b, c)
	f.waitFor("the fleet size is persisted", func() bool {
		files, _ := filepath.Glob(filepath.Join(f.dir, "state-a", kindMembers+"-*.state"))
		return slices.ContainsFunc(files, func(path string) bool {
			text, _ := os.ReadFile(path)
			return strings.Contains(string(text), `"balancers":3`)
		})
	})
	before, _ := a.queryMembers()
	for _, p := range f.peers {
		p.kill()
		p.cmd.Wait()
	}
	restarted := f.start("a", a.listen)
	var after membership.Status
	f.waitFor("the restarted process answers", func() bool {
		s, names := restarted.queryMembers()
		after = s
		return names == "a"
	})
	// After 10 s the process relies on what it has seen of the fleet: from then on the budget divisor falls by 1 per second.
	if after.FleetSize.BudgetDivisor < 2 || after.FleetSize.RoutingDivisor != 1 {
		t.Errorf("restarted alone, the process has fleet size %+v; the previous fleet had 3 members", after.FleetSize)
	}
	if after.Self.Incarnation <= before.Self.Incarnation {
		t.Errorf("incarnation after the restart is %d, want one above %d", after.Self.Incarnation, before.Self.Incarnation)
	}
}

// Later versions of the program read the stored record, so its format must not change by accident.
func TestMembershipRecordForm(t *testing.T) {
	payload, err := json.Marshal(membershipRecord{Incarnation: 1 << 63, BudgetDivisor: 3})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"incarnation":9223372036854775808,"balancers":3}`; string(payload) != want {
		t.Errorf("got %s, want %s", payload, want)
	}
}

// If the membership address doesn't belong to this machine, the start fails with an error that names the section of the fleet
// file and the address.
func TestInvalidListenAddressIsReported(t *testing.T) {
	f := newPeerFleet(t)
	p := f.start("a", "192.0.2.1:7946")
	err := p.cmd.Wait()
	text, _ := os.ReadFile(p.log.Name())
	if err == nil || !strings.Contains(string(text), "membership") || !strings.Contains(string(text), "192.0.2.1:7946") {
		t.Errorf("got %v, %s", err, text)
	}
}
