package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

const config = `{"name":"n0","listen":"%s","discovery":"%s","seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"revision":1,"complete":true,"members":[]},
"settings":{"az":"z1","balancers":1,"membership_mode":"on_request","weights":"nominal","worth_by":"work",
"limits":{"max_attempts":3,"cancel":true,"connect_timeout_us":100000,"keepalive_us":60000000},
"obligations":{"ask_within_us":10000000,"cold_from":0.3,"ramp_time_us":9000000,"tip_after_us":1500000,"tip_multiple":3},
"profiles":[{"name":"c","target_us":250000,"give_up_us":750000,"repeat":"non_idempotent","worth":1}],
"reporting":{"via":"piggyback"}}}`

// program returns the command to start: the deployed one if RUN names it, from the root, or else one built here.
func program(t *testing.T) *exec.Cmd {
	t.Helper()
	if run := os.Getenv("RUN"); run != "" {
		cmd := exec.Command("/bin/sh", "-c", run)
		cmd.Dir = filepath.Join("..", "..")
		return cmd
	}
	path := filepath.Join(t.TempDir(), "balancer")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return exec.Command(path)
}

// free returns an address on which nothing listens.
func free(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// started is a running program.
type started struct {
	*exec.Cmd
	path  string // of its configuration
	log   bytes.Buffer
	ended chan error
	limit <-chan time.Time
}

// begin starts the program with an address of discovery and waits until it is healthy.
func begin(t *testing.T, discovery string) *started {
	t.Helper()
	return beginAt(t, free(t), discovery, nil)
}

// beginAt starts the program at an address for clients, with that address's socket as descriptor 3 if there is one.
func beginAt(t *testing.T, listen, discovery string, held *os.File) *started {
	t.Helper()
	return startAt(t, program(t), listen, discovery, held)
}

// startAt is beginAt with a command of any build.
func startAt(t *testing.T, cmd *exec.Cmd, listen, discovery string, held *os.File) *started {
	t.Helper()
	p := &started{Cmd: cmd, path: filepath.Join(t.TempDir(), "config.json"), ended: make(chan error, 1),
		limit: time.After(30 * time.Second)}
	p.configure(t, listen, discovery)
	p.Env = append(os.Environ(), "RELAY_CONFIG="+p.path, "RELAY_DISCOVERY="+discovery)
	if held != nil {
		p.ExtraFiles = []*os.File{held}
		p.Env = append(p.Env, "RELAY_FD=3")
	}
	p.Stdout, p.Stderr = &p.log, &p.log
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.ended <- p.Wait() }()
	for healthy := false; !healthy; {
		resp, err := http.Get("http://" + listen + "/healthz")
		if err == nil {
			resp.Body.Close()
			healthy = resp.StatusCode == http.StatusOK
		}
		select {
		case err := <-p.ended:
			t.Fatalf("ended early: %v\n%s", err, &p.log)
		case <-p.limit:
			p.Process.Kill()
			t.Fatalf("not healthy in time: %v", <-p.ended)
		case <-time.After(10 * time.Millisecond):
		}
	}
	return p
}

func (p *started) configure(t *testing.T, listen, discovery string) {
	t.Helper()
	if err := os.WriteFile(p.path, fmt.Appendf(nil, config, listen, discovery), 0o600); err != nil {
		t.Fatal(err)
	}
}

// end ends the program by SIGTERM.
func (p *started) end(t *testing.T) {
	t.Helper()
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-p.ended:
		if err != nil {
			t.Errorf("after SIGTERM: %v\n%s", err, &p.log)
		}
	case <-p.limit:
		p.Process.Kill()
		t.Fatalf("not ended in time: %v\n%s", <-p.ended, &p.log)
	}
}

// TestSmoke starts the program, waits until it is healthy and ends it by SIGTERM. Discovery is down throughout.
func TestSmoke(t *testing.T) {
	begin(t, free(t)).end(t)
}

// SIGHUP once ended the program. It reads the address of discovery anew, from the file and not from the environment it
// began with; a file that can't be read changes nothing.
func TestReload(t *testing.T) {
	asked := make(chan struct{}, 100)
	registry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- struct{}{}
		<-r.Context().Done()
	}))
	defer registry.Close()
	p := begin(t, free(t))
	hup := func() {
		if err := p.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.WriteFile(p.path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	hup()
	p.configure(t, "127.0.0.1:1", registry.Listener.Addr().String())
	hup()
	select {
	case <-asked:
	case err := <-p.ended:
		t.Fatalf("ended: %v\n%s", err, &p.log)
	case <-p.limit:
		t.Error("the new address was not asked")
	}
	p.end(t)
}

// holdListener opens a listener as the platform does, which keeps it over an upgrade and hands it down as a descriptor.
func holdListener(t *testing.T) (address string, held *os.File) {
	t.Helper()
	var plain net.ListenConfig
	plain.SetMultipathTCP(false) // a multipath socket ignores the receive timeout that bounds the balancer's accept calls
	l, err := plain.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	held, err = l.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { held.Close() })
	return l.Addr().String(), held
}

// The program is upgraded twice under an address that the platform holds. Each successor serves before the process before
// it is told to end; one that fails to start changes nothing, and files left in $TMPDIR are no concern of either.
func TestUpgrades(t *testing.T) {
	address, held := holdListener(t)
	tmp := t.TempDir()
	t.Setenv("TMPDIR", tmp)
	if err := os.WriteFile(filepath.Join(tmp, "stale"), []byte("left behind"), 0o600); err != nil {
		t.Fatal(err)
	}
	discovery := free(t)
	p := beginAt(t, address, discovery, held)
	for range 2 {
		failing := &started{Cmd: program(t)}
		failing.Env = append(os.Environ(), "RELAY_CONFIG="+p.path, "RELAY_FD=9")
		if out, err := failing.CombinedOutput(); err == nil || !strings.Contains(string(out), "RELAY_FD") || strings.Contains(string(out), "panic") {
			t.Errorf("a successor without its listener: %v, %s", err, out)
		}
		next := beginAt(t, address, discovery, held)
		if err := next.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		p.end(t)
		p = next
		resp, err := http.Get("http://" + address + "/healthz")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Errorf("health after an upgrade: %s", resp.Status)
		}
	}
	p.end(t)
}

// Operators reach the program at the second address it is given, and it still ends on SIGTERM during a drain.
func TestOperatorsCall(t *testing.T) {
	operators := free(t)
	t.Setenv("RELAY_MANAGEMENT", operators)
	p := begin(t, free(t))
	for _, x := range []struct{ call, answer string }{{"check", "YES serving"}, {"drain-on", "YES draining"}, {"check", "YES draining"}} {
		c, err := net.Dial("tcp", operators)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintln(c, x.call)
		answer, err := io.ReadAll(c)
		c.Close()
		if err != nil || string(answer) != x.answer+"\n" {
			t.Errorf("%s: got %q, %v", x.call, answer, err)
		}
	}
	p.end(t)
}

// An address that is taken ends the start with one plain message.
func TestTakenManagementAddressSaysWhy(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := &started{Cmd: program(t), path: filepath.Join(t.TempDir(), "config.json")}
	p.configure(t, free(t), free(t))
	p.Env = append(os.Environ(), "RELAY_CONFIG="+p.path, "RELAY_MANAGEMENT="+l.Addr().String())
	out, err := p.CombinedOutput()
	if p.ProcessState.ExitCode() != 1 || !strings.Contains(string(out), "listening for operators") || strings.Contains(string(out), "panic") {
		t.Errorf("got %v, %s", err, out)
	}
}

// A bad fleet file ends start-up with one plain line that names file and key.
func TestBadFleetFileSaysWhy(t *testing.T) {
	p := begin(t, free(t)) // it has a good configuration
	p.end(t)
	fleet := filepath.Join(t.TempDir(), "fleet.toml")
	if err := os.WriteFile(fleet, []byte("[regions]\nr = \"z1\"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	cmd := program(t)
	cmd.Env = append(p.Env, "RELAY_FLEET="+fleet)
	out, err := cmd.CombinedOutput()
	if text := strings.TrimSpace(string(out)); cmd.ProcessState.ExitCode() != 1 || strings.Contains(text, "\n") ||
		!strings.Contains(text, "fleet.toml:2: regions.r") {
		t.Errorf("got %v, %s", err, out)
	}
}

func TestBadStartSaysWhy(t *testing.T) {
	cmd := program(t)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG=")
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState.ExitCode() != 1 || !strings.Contains(string(out), "RELAY_CONFIG") {
		t.Errorf("got %v, %s", err, out)
	}
}
