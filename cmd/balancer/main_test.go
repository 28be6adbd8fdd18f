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

// The program becomes healthy and exits on SIGTERM while discovery is unreachable.
func TestSmoke(t *testing.T) {
	startBalancer(t, freeAddress(t)).terminate(t)
}

// On SIGHUP the program reloads the discovery address from the configuration file, not from the environment that it was started
// with. An invalid file changes nothing, and the signal does not end the program.
func TestReload(t *testing.T) {
	polled := make(chan struct{}, 100)
	discovery := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		polled <- struct{}{}
		<-r.Context().Done()
	}))
	defer discovery.Close()
	p := startBalancer(t, freeAddress(t))
	writeFile(t, p.configPath, "{")
	p.signal(t, syscall.SIGHUP)
	p.writeConfig(t, "127.0.0.1:1", discovery.Listener.Addr().String())
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

// The program answers management calls, and exits on SIGTERM also while it drains.
func TestManagementCalls(t *testing.T) {
	management := freeAddress(t)
	t.Setenv("RELAY_MANAGEMENT", management)
	p := startBalancer(t, freeAddress(t))
	for _, step := range []struct{ call, answer string }{
		{"check", "YES serving"},
		{"drain-on", "YES draining"},
		{"check", "YES draining"},
	} {
		answer, err := readManagementCall(management, step.call)
		if err != nil || answer != step.answer+"\n" {
			t.Errorf("%s: got %q, %v", step.call, answer, err)
		}
	}
	p.terminate(t)
}

// If the management address is in use, the start fails with an error message and no panic.
func TestManagementAddressInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := newProcess(t, balancerCommand(t), configTemplate, freeAddress(t), freeAddress(t))
	p.Env = append(p.Env, "RELAY_MANAGEMENT="+l.Addr().String())
	out := wantStartFailure(t, p.Cmd, "opening the management listener")
	if strings.Contains(out, "panic") {
		t.Errorf("panicked: %s", out)
	}
}

// With an invalid fleet file, the start fails with one line that names the file, the line and the key.
func TestBadFleetFile(t *testing.T) {
	p := startBalancer(t, freeAddress(t)) // its valid configuration is used again below
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

// Without a configuration, the start fails with a message that names the environment variable.
func TestMissingConfiguration(t *testing.T) {
	cmd := balancerCommand(t)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG=")
	wantStartFailure(t, cmd, "RELAY_CONFIG")
}

// wantStartFailure runs a command, checks that it exits with 1 and that its output contains message, and returns the output
// without surrounding white space.
func wantStartFailure(t *testing.T, cmd *exec.Cmd, message string) (output string) {
	t.Helper()
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState.ExitCode() != 1 || !strings.Contains(string(out), message) {
		t.Errorf("got %v, %s", err, out)
	}
	return strings.TrimSpace(string(out))
}
