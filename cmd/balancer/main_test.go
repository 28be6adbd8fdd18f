package main

import (
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// TestSmoke starts the program, waits until it is healthy and ends it by SIGTERM. Discovery is down throughout.
func TestSmoke(t *testing.T) {
	startBalancer(t, freeAddress(t)).terminate(t)
}

// On SIGHUP the program reads the address of discovery again, from the file and not from the environment that it was
// started with. A file that can't be read changes nothing, and the signal does not end the program.
func TestReload(t *testing.T) {
	polled := make(chan struct{}, 100)
	registry := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		polled <- struct{}{}
		<-r.Context().Done()
	}))
	defer registry.Close()
	p := startBalancer(t, freeAddress(t))
	writeFile(t, p.configPath, "{")
	p.signal(t, syscall.SIGHUP)
	p.writeConfig(t, "127.0.0.1:1", registry.Listener.Addr().String())
	p.signal(t, syscall.SIGHUP)
	select {
	case <-polled:
	case err := <-p.exited:
		t.Fatalf("exited: %v\n%s", err, &p.log)
	case <-p.deadline:
		t.Error("the new address was not polled")
	}
	p.terminate(t)
}

// Operators reach the program at its management address, and it still ends on SIGTERM while it drains.
func TestManagementCalls(t *testing.T) {
	operators := freeAddress(t)
	t.Setenv("RELAY_MANAGEMENT", operators)
	p := startBalancer(t, freeAddress(t))
	for _, step := range []struct{ call, answer string }{
		{"check", "YES serving"},
		{"drain-on", "YES draining"},
		{"check", "YES draining"},
	} {
		answer, err := readCall(operators, step.call)
		if err != nil || answer != step.answer+"\n" {
			t.Errorf("%s: got %q, %v", step.call, answer, err)
		}
	}
	p.terminate(t)
}

// A management address that is in use fails the start with one message.
func TestManagementAddressInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := newProcess(t, balancerCommand(t), configTemplate, freeAddress(t), freeAddress(t))
	p.Env = append(p.Env, "RELAY_MANAGEMENT="+l.Addr().String())
	out := wantStartFailure(t, p.Cmd, "listening for operators")
	if strings.Contains(out, "panic") {
		t.Errorf("panicked: %s", out)
	}
}

// A bad fleet file fails the start with one line that names file and key.
func TestBadFleetFile(t *testing.T) {
	p := startBalancer(t, freeAddress(t)) // it has a good configuration
	p.terminate(t)
	fleet := filepath.Join(t.TempDir(), "fleet.toml")
	writeFile(t, fleet, "[regions]\nr = \"z1\"\n")
	cmd := balancerCommand(t)
	cmd.Env = append(p.Env, "RELAY_FLEET="+fleet)
	out := wantStartFailure(t, cmd, "fleet.toml:2: regions.r")
	if strings.Contains(out, "\n") {
		t.Errorf("more than one line: %s", out)
	}
}

// A missing configuration fails the start with a message that names its variable.
func TestMissingConfiguration(t *testing.T) {
	cmd := balancerCommand(t)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG=")
	wantStartFailure(t, cmd, "RELAY_CONFIG")
}

// wantStartFailure runs a command that is to exit with 1 and a message, and returns its output without the last line feed.
func wantStartFailure(t *testing.T, cmd *exec.Cmd, message string) (output string) {
	t.Helper()
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState.ExitCode() != 1 || !strings.Contains(string(out), message) {
		t.Errorf("got %v, %s", err, out)
	}
	return strings.TrimSpace(string(out))
}
