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

// peer is one balancer process of a fleet with membership.
type peer struct {
	name       string
	management string // address of the management calls
	listen     string // address of membership
	cmd        *exec.Cmd
	log        *os.File
}

// peerFleet starts balancer processes. The first two are to listen at its seeds.
type peerFleet struct {
	t          *testing.T
	program    string // path
	dir        string
	seeds      []string // two addresses
	persistent bool     // the processes of each name share a state folder
	all        []*peer
}

func newPeerFleet(t *testing.T) *peerFleet {
	t.Helper()
	if os.Getenv("RUN") != "" {
		t.Skip("this needs the program itself, not a shell about it")
	}
	f := &peerFleet{t: t, program: balancerCommand(t).Path, dir: t.TempDir(), seeds: []string{freeAddress(t), freeAddress(t)}}
	t.Cleanup(func() {
		for _, p := range f.all {
			f.end(p)
		}
	})
	return f
}

// end kills a process and, after a failure, logs the end of its log.
func (f *peerFleet) end(p *peer) {
	const shownLogSize = 3000
	p.cmd.Process.Signal(syscall.SIGCONT)
	p.cmd.Process.Kill()
	p.cmd.Wait()
	if text, _ := os.ReadFile(p.log.Name()); f.t.Failed() {
		f.t.Logf("%s:\n%s", p.name, text[max(0, len(text)-shownLogSize):])
	}
	p.log.Close()
}

// start starts a process under a name; listen is its address of membership.
func (f *peerFleet) start(name, listen string) *peer {
	f.t.Helper()
	number := len(f.all)
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
	f.all = append(f.all, p)
	return p
}

// fleetFile is the fleet file of a process.
func (f *peerFleet) fleetFile(name, listen string) string {
	text := fmt.Sprintf("[membership]\nlisten = %q\nseeds = [%q, %q]\n", listen, f.seeds[0], f.seeds[1])
	if f.persistent {
		text += fmt.Sprintf("[state]\nfolder = %q\nevery = \"100ms\"\n", filepath.Join(f.dir, "state-"+name))
	}
	return text
}

// kill ends a process without notice.
func (p *peer) kill() { p.cmd.Process.Kill() }

// stop asks a process to shut down gracefully.
func (p *peer) stop() { p.cmd.Process.Signal(syscall.SIGTERM) }

// freeze stops a process's execution until unfreeze.
func (p *peer) freeze() { p.cmd.Process.Signal(syscall.SIGSTOP) }

func (p *peer) unfreeze() { p.cmd.Process.Signal(syscall.SIGCONT) }

// view asks a process what it sees. names are those of the members, separated by blanks; empty if it does not answer.
func (p *peer) view() (s membership.Status, names string) {
	lines, err := p.callMembers()
	if err != nil {
		return membership.Status{}, ""
	}
	s, _, err = membership.ReadStatus(lines)
	if err != nil {
		return s, ""
	}
	var all []string
	for _, m := range s.View.Members {
		all = append(all, m.Name)
	}
	return s, strings.Join(all, " ")
}

// membersCallTimeout bounds a call of members.
const membersCallTimeout = 5 * time.Second

// callMembers returns the answer to the management call members, without its END.
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

// waitForView waits until all of some processes see the names.
func (f *peerFleet) waitForView(names string, by ...*peer) {
	f.t.Helper()
	f.waitFor("all see "+names, func() bool {
		return !slices.ContainsFunc(by, func(p *peer) bool {
			_, seen := p.view()
			return seen != names
		})
	})
}

// waitFor waits for at most a minute until a condition holds.
func (f *peerFleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	const limit = time.Minute
	const pollInterval = 50 * time.Millisecond
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			f.logViews()
			f.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(pollInterval)
	}
}

func (f *peerFleet) logViews() {
	f.t.Helper()
	for _, p := range f.all {
		s, names := p.view()
		f.t.Logf("%s sees %q: %+v", p.name, names, s)
	}
}

// Real processes discover each other and notice one that is killed, frozen, stopped, duplicated or upgraded.
func TestProcessesDiscoverEachOther(t *testing.T) {
	f := newPeerFleet(t)
	a := f.start("a", f.seeds[0])
	b := f.start("b", f.seeds[1])
	c := f.start("c", freeAddress(t))
	d := f.start("d", freeAddress(t))
	f.waitForView("a b c d", a, b, c, d)
	f.waitFor("the fleet size is four", func() bool {
		s, _ := a.view()
		return s.FleetSize.RoutingDivisor == 4 && s.FleetSize.BudgetDivisor == 4
	})

	d.kill()
	f.waitForView("a b c", a, b, c)
	if s, _ := a.view(); s.FleetSize.BudgetDivisor != 4 {
		t.Errorf("the divisor of budgets is %d just after one of four was lost", s.FleetSize.BudgetDivisor)
	}

	c.freeze()
	f.waitForView("a b", a, b)
	c.unfreeze()
	f.waitForView("a b c", a, b, c)

	d = f.start("d", d.listen)
	f.waitForView("a b c d", a, b, c, d)

	newerC := startDuplicate(f, c)
	newerA := upgrade(f, a, []*peer{b, newerC, d}, b)

	b.stop()
	f.waitForView("a c d", newerC, newerA, d)
}

// startDuplicate starts a second process under the name of one in the fleet a b c d. The older is fenced and serves on.
func startDuplicate(f *peerFleet, older *peer) (newer *peer) {
	f.t.Helper()
	newer = f.start(older.name, freeAddress(f.t))
	f.waitFor("the older process of two is fenced, the newer is not", func() bool {
		olderStatus, names := older.view()
		newerStatus, _ := newer.view()
		return olderStatus.Fenced && names == "a b c d" && !newerStatus.Fenced && newerStatus.Self.Name == older.name
	})
	if answer := callManagement(older.management, "check"); !strings.HasPrefix(answer, "YES") {
		f.t.Errorf("the older process does not serve on: %q", answer)
	}
	return newer
}

// upgrade replaces the first member of the fleet a b c d by a new process at the same address of membership, which is taken
// until the old process has ended.
func upgrade(f *peerFleet, old *peer, others []*peer, observer *peer) (successor *peer) {
	f.t.Helper()
	successor = f.start(old.name, old.listen)
	f.waitFor("the successor answers", func() bool { return strings.HasPrefix(callManagement(successor.management, "check"), "YES") })
	old.stop()
	f.waitForView("a b c d", append(others, successor)...)
	f.waitFor("the successor counts", func() bool {
		seen, _ := observer.view()
		own, _ := successor.view()
		return len(seen.View.Members) == 4 && own.Self.Incarnation > 0 && seen.View.Members[0].Incarnation == own.Self.Incarnation
	})
	return successor
}

// A process that is restarted alone divides budgets by the fleet that was there, and has a higher incarnation.
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
	before, _ := a.view()
	for _, p := range f.all {
		p.kill()
		p.cmd.Wait()
	}
	restarted := f.start("a", a.listen)
	var after membership.Status
	f.waitFor("it answers", func() bool {
		s, names := restarted.view()
		after = s
		return names == "a"
	})
	// It has seen the fleet itself after 10 s; from then on the divisor of budgets falls by 1 a second.
	if after.FleetSize.BudgetDivisor < 2 || after.FleetSize.RoutingDivisor != 1 {
		t.Errorf("alone its fleet size is %+v, three were there", after.FleetSize)
	}
	if after.Self.Incarnation <= before.Self.Incarnation {
		t.Errorf("incarnation %d after %d", after.Self.Incarnation, before.Self.Incarnation)
	}
}

// The stored record is read by later versions of the program, so its form must not change by accident.
func TestMembershipRecordForm(t *testing.T) {
	payload, err := json.Marshal(membershipRecord{Incarnation: 1 << 63, BudgetDivisor: 3})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"incarnation":9223372036854775808,"balancers":3}`; string(payload) != want {
		t.Errorf("got %s, want %s", payload, want)
	}
}

// An address that is not this machine's ends the start with an error that names the section and the address.
func TestInvalidListenAddressIsReported(t *testing.T) {
	f := newPeerFleet(t)
	p := f.start("a", "192.0.2.1:7946")
	err := p.cmd.Wait()
	text, _ := os.ReadFile(p.log.Name())
	if err == nil || !strings.Contains(string(text), "membership") || !strings.Contains(string(text), "192.0.2.1:7946") {
		t.Errorf("%v: %s", err, text)
	}
}
