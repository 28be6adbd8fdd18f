package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
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

// peer is one process of a fleet with membership.
type peer struct {
	name, operators, listen string
	cmd                     *exec.Cmd
	log                     *os.File
}

// peers starts processes that share a list of seeds, the first two of them.
type peers struct {
	t     *testing.T
	path  string
	dir   string
	seeds []string
	state bool // each name keeps its state in a folder
	all   []*peer
}

func newPeers(t *testing.T) *peers {
	if os.Getenv("RUN") != "" {
		t.Skip("this needs the program itself, not a shell about it")
	}
	p := &peers{t: t, path: program(t).Path, dir: t.TempDir(), seeds: []string{free(t), free(t)}}
	t.Cleanup(func() {
		for _, one := range p.all {
			one.cmd.Process.Signal(syscall.SIGCONT)
			one.cmd.Process.Kill()
			one.cmd.Wait()
			if text, _ := os.ReadFile(one.log.Name()); t.Failed() {
				t.Logf("%s:\n%s", one.name, text[max(0, len(text)-3000):])
			}
			one.log.Close()
		}
	})
	return p
}

// start starts a process under a name; listen is its address of membership.
func (p *peers) start(name, listen string) *peer {
	p.t.Helper()
	serial := len(p.all)
	file := func(kind string) string { return filepath.Join(p.dir, fmt.Sprint(serial, kind)) }
	state := ""
	if p.state {
		state = fmt.Sprintf("[state]\nfolder = %q\nevery = \"100ms\"\n", filepath.Join(p.dir, "state-"+name))
	}
	one := &peer{name: name, operators: free(p.t), listen: listen}
	for path, text := range map[string]string{
		file("config.json"): fmt.Sprintf(config, free(p.t), free(p.t)),
		file("fleet.toml"):  fmt.Sprintf("[membership]\nlisten = %q\nseeds = [%q, %q]\n%s", listen, p.seeds[0], p.seeds[1], state),
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			p.t.Fatal(err)
		}
	}
	var err error
	if one.log, err = os.Create(file("log")); err != nil {
		p.t.Fatal(err)
	}
	one.cmd = exec.Command(p.path)
	one.cmd.Env = append(os.Environ(), "RELAY_NAME="+name, "RELAY_CONFIG="+file("config.json"), "RELAY_FLEET="+file("fleet.toml"),
		"RELAY_MANAGEMENT="+one.operators)
	one.cmd.Stdout, one.cmd.Stderr = one.log, one.log
	if err := one.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.all = append(p.all, one)
	return one
}

// view is what a process sees, with the names of its members; none where it does not answer.
func (one *peer) view() (s membership.Status, names string) {
	c, err := net.DialTimeout("tcp", one.operators, time.Second)
	if err != nil {
		return s, ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintln(c, "members")
	text, err := io.ReadAll(bufio.NewReader(c))
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	if err != nil || lines[len(lines)-1] != "END" {
		return s, ""
	}
	if s, _, err = membership.ReadStatus(lines[:len(lines)-1]); err != nil {
		return s, ""
	}
	var all []string
	for _, m := range s.View.Members {
		all = append(all, m.Name)
	}
	return s, strings.Join(all, " ")
}

// see waits until all of some processes see the names.
func (p *peers) see(names string, by ...*peer) {
	p.t.Helper()
	p.wait("all see "+names, func() bool {
		return !slices.ContainsFunc(by, func(one *peer) bool {
			_, sees := one.view()
			return sees != names
		})
	})
}

func (p *peers) wait(what string, holds func() bool) {
	p.t.Helper()
	for limit := time.Now().Add(time.Minute); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(limit) {
			for _, one := range p.all {
				s, sees := one.view()
				p.t.Logf("%s sees %q: %+v", one.name, sees, s)
			}
			p.t.Fatalf("not in a minute: %s", what)
		}
	}
}

// Real processes find each other, a killed, a frozen and a stopped one, and two of one name.
func TestMembersFindEachOther(t *testing.T) {
	p := newPeers(t)
	a, b := p.start("a", p.seeds[0]), p.start("b", p.seeds[1])
	c, d := p.start("c", free(t)), p.start("d", free(t))
	p.see("a b c d", a, b, c, d)
	p.wait("routing divides by four", func() bool { s, _ := a.view(); return s.Division.Balancers == 4 && s.Division.Most == 4 })

	d.cmd.Process.Kill()
	p.see("a b c", a, b, c)
	if s, _ := a.view(); s.Division.Most != 4 {
		t.Errorf("budgets divide by %d just after one of four was lost", s.Division.Most)
	}

	c.cmd.Process.Signal(syscall.SIGSTOP)
	p.see("a b", a, b)
	c.cmd.Process.Signal(syscall.SIGCONT)
	p.see("a b c", a, b, c)

	again := p.start("d", d.listen)
	p.see("a b c d", a, b, c, again)

	twin := p.start("c", free(t))
	p.wait("the older one of two is fenced, the newer is not", func() bool {
		older, names := c.view()
		newer, _ := twin.view()
		return older.Fenced && names == "a b c d" && !newer.Fenced && newer.Self.Name == "c"
	})
	if answer := call(c.operators, "check"); !strings.HasPrefix(answer, "YES") {
		t.Errorf("the older one does not serve on: %q", answer)
	}

	next := p.start("a", a.listen) // as in an upgrade: the address is taken until the one before has ended
	p.wait("the next one answers", func() bool { return strings.HasPrefix(call(next.operators, "check"), "YES") })
	a.cmd.Process.Signal(syscall.SIGTERM)
	p.see("a b c d", b, twin, next, again)
	p.wait("the next one is the one that counts", func() bool {
		s, _ := b.view()
		own, _ := next.view()
		return len(s.View.Members) == 4 && own.Self.Incarnation > 0 && s.View.Members[0].Incarnation == own.Self.Incarnation
	})

	b.cmd.Process.Signal(syscall.SIGTERM)
	p.see("a c d", twin, next, again)
}

// A process that is started again alone divides budgets by the fleet that was there, and has a higher incarnation.
func TestRestartKnowsTheFleet(t *testing.T) {
	p := newPeers(t)
	p.state = true
	a, b, c := p.start("a", p.seeds[0]), p.start("b", p.seeds[1]), p.start("c", free(t))
	p.see("a b c", a, b, c)
	p.wait("the size of the fleet is kept", func() bool {
		files, _ := filepath.Glob(filepath.Join(p.dir, "state-a", kindMembers+"-*.state"))
		return slices.ContainsFunc(files, func(path string) bool {
			text, _ := os.ReadFile(path)
			return strings.Contains(string(text), `"balancers":3`)
		})
	})
	before, _ := a.view()
	for _, one := range p.all {
		one.cmd.Process.Kill()
		one.cmd.Wait()
	}
	again := p.start("a", a.listen)
	var after membership.Status
	p.wait("it answers", func() bool { s, names := again.view(); after = s; return names == "a" })
	if after.Division.Most < 2 || after.Division.Balancers != 1 { // it has seen for itself after 10 s, and goes down by 1 a second
		t.Errorf("alone it divides by %+v, three were there", after.Division)
	}
	if after.Self.Incarnation <= before.Self.Incarnation {
		t.Errorf("incarnation %d after %d", after.Self.Incarnation, before.Self.Incarnation)
	}
}

// An address that is none of this machine's ends the start with one line that names the file and the key.
func TestBadMembershipSaysWhy(t *testing.T) {
	p := newPeers(t)
	one := p.start("a", "192.0.2.1:7946")
	err := one.cmd.Wait()
	text, _ := os.ReadFile(one.log.Name())
	if err == nil || !strings.Contains(string(text), "membership") || !strings.Contains(string(text), "192.0.2.1:7946") {
		t.Errorf("%v: %s", err, text)
	}
}
