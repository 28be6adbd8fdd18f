package main

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// holdListener opens a listener as the platform does, which keeps it during upgrades and passes it on as a descriptor.
func holdListener(t *testing.T) (address string, listener *os.File) {
	t.Helper()
	var plain net.ListenConfig
	plain.SetMultipathTCP(false) // a multipath socket ignores the receive timeout that bounds the balancer's accept calls
	original, err := plain.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { original.Close() })
	listener, err = original.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return original.Addr().String(), listener
}

// startOnListener starts a command on a shared listener and waits until that very process serves, which its management
// address tells: its predecessor answers health checks at the shared address, too.
func startOnListener(t *testing.T, cmd *exec.Cmd, address, discovery string, listener *os.File) (p *process, management string) {
	t.Helper()
	management = freeAddress(t)
	t.Setenv("RELAY_MANAGEMENT", management)
	p = startProcess(t, cmd, address, discovery, listener)
	waitFor(t, "the process serves", func() bool { return callManagement(management, "check") == "YES serving" })
	return p, management
}

// The program is upgraded twice on a listener that the platform holds. Each successor serves before its predecessor gets
// SIGTERM. A successor that fails to start changes nothing, and files left in $TMPDIR do not matter to either.
func TestUpgrades(t *testing.T) {
	address, listener := holdListener(t)
	temporary := t.TempDir()
	t.Setenv("TMPDIR", temporary)
	writeFile(t, filepath.Join(temporary, "stale"), "left behind")
	discovery := freeAddress(t)
	running, _ := startOnListener(t, balancerCommand(t), address, discovery, listener)
	for range 2 {
		wantFailureWithoutListener(t, running.configPath)
		successor, _ := startOnListener(t, balancerCommand(t), address, discovery, listener)
		successor.signal(t, syscall.SIGHUP)
		running.terminate(t)
		running = successor
		if err := checkHealth(address); err != nil {
			t.Fatalf("after an upgrade: %v", err)
		}
	}
	running.terminate(t)
}

// wantFailureWithoutListener checks that a successor whose descriptor is no listener fails with a message.
func wantFailureWithoutListener(t *testing.T, configPath string) {
	t.Helper()
	cmd := balancerCommand(t)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+configPath, "RELAY_FD=9")
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "RELAY_FD") || strings.Contains(string(out), "panic") {
		t.Errorf("a successor without its listener: %v, %s", err, out)
	}
}
