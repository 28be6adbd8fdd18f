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

// openSharedListener opens a listener as the platform does, which keeps it open during upgrades and passes it to each process as
// a file descriptor.
func openSharedListener(t *testing.T) (address string, listener *os.File) {
	t.Helper()
	var listenConfig net.ListenConfig
	listenConfig.SetMultipathTCP(false) // a multipath socket ignores the receive timeout that bounds the balancer's accept calls
	original, err := listenConfig.Listen(t.Context(), "tcp", "127.0.0.1:0")
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

// startOnListener starts a command on a shared listener and waits until that process serves. It asks at the management address,
// because the predecessor may answer a health check at the shared address.
func startOnListener(t *testing.T, cmd *exec.Cmd, address, discovery string, listener *os.File) (p *process, management string) {
	t.Helper()
	management = freeAddress(t)
	t.Setenv("RELAY_MANAGEMENT", management)
	p = startProcess(t, cmd, address, discovery, listener)
	waitFor(t, "the process serves", func() bool { return callManagement(management, "check") == "YES serving" })
	return p, management
}

// The program is upgraded twice on a listener that the platform keeps open. Each successor serves before its predecessor gets
// SIGTERM. A successor that fails to start changes nothing, and files left in $TMPDIR affect neither of them.
func TestUpgrades(t *testing.T) {
	address, listener := openSharedListener(t)
	temporaryFolder := t.TempDir()
	t.Setenv("TMPDIR", temporaryFolder)
	writeFile(t, filepath.Join(temporaryFolder, "stale"), "left behind")
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

// wantFailureWithoutListener checks that a successor fails with an error message if its RELAY_FD is not a listener.
func wantFailureWithoutListener(t *testing.T, configPath string) {
	t.Helper()
	cmd := balancerCommand(t)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+configPath, "RELAY_FD=9")
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), "RELAY_FD") || strings.Contains(string(out), "panic") {
		t.Errorf("a successor whose RELAY_FD is not a listener got %v, %s; want an error that names RELAY_FD", err, out)
	}
}
