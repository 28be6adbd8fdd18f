package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
)

// The former build is the last one before the program was renamed. Fleets are upgraded from it to this build, and may be rolled
// back, so the two builds must be able to read each other's state and to share a listener.
const (
	formerCommit  = "9eb547869db38f4e533212985510e654a129777b"
	formerPackage = "./cmd/olivearch"
	formerState   = "testdata/former-state"
)

// buildFormer builds the former build from the repository's history, in a worktree that is removed after the test.
func buildFormer(t *testing.T) string {
	t.Helper()
	tree := filepath.Join(t.TempDir(), "former")
	out, err := exec.Command("git", "worktree", "add", "--detach", tree, formerCommit).CombinedOutput()
	if err != nil {
		t.Fatalf("checking out commit %.12s, the former build, which needs the repository's history: %v\n%s",
			formerCommit, err, out)
	}
	t.Cleanup(func() {
		if out, err := exec.Command("git", "worktree", "remove", "--force", tree).CombinedOutput(); err != nil {
			t.Errorf("removing the worktree of the former build: %v\n%s", err, out)
		}
	})
	program := filepath.Join(t.TempDir(), "former-balancer")
	build := exec.Command("go", "build", "-buildvcs=false", "-ldflags=-linkmode=external", "-o", program, formerPackage)
	build.Dir = tree
	build.Env = append(os.Environ(), "CGO_ENABLED=1", "GOFLAGS=-mod=mod")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("building the former build: %v\n%s", err, out)
	}
	return program
}

// A balancer is upgraded from the former build to this one and rolled back, on a listener that the platform keeps open. No
// request fails, and an operator's zone drain stays in force.
func TestUpgradesFromFormerBuildAndBack(t *testing.T) {
	former := buildFormer(t)
	address, listener := openSharedListener(t)
	var served atomic.Int64
	endpoints := startUpstreams(t, []string{"127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"}, &served)
	discovery := startFakeDiscovery(t, "127.0.0.1:0", endpoints)
	fleet := filepath.Join(t.TempDir(), "fleet.toml")
	state := filepath.Join(t.TempDir(), "state")
	if err := os.WriteFile(fleet, fmt.Appendf(nil, "[state]\nfolder = %q\nevery = %q\n", state, saveInterval), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("RELAY_FLEET", fleet)
	start := func(cmd *exec.Cmd) (p *process, management string) {
		return startOnListener(t, cmd, address, discovery, listener)
	}

	running, management := start(exec.Command(former))
	waitFor(t, "the balancer has the endpoint list", func() bool {
		return strings.Contains(managementAnswerOrError(management, "vars"), "svc_known_upstreams 3\n")
	})
	wantAnswer(t, management, "zone-leave "+drainedZone, "YES left")
	load := startTraffic(address, 4)
	for _, next := range []struct {
		name string
		cmd  *exec.Cmd
	}{{"this build", balancerCommand(t)}, {"the former build again", exec.Command(former)}} {
		load.waitForAnswers(t, 100)
		successor, management := start(next.cmd)
		load.waitForAnswers(t, 100)
		running.terminate(t)
		load.waitForAnswers(t, 100)
		wantZoneDrained(t, management)
		if t.Failed() {
			t.Logf("log of %s:\n%s\nlog of its predecessor:\n%s", next.name, &successor.log, &running.log)
		}
		running = successor
	}
	failures := load.end()
	running.terminate(t)
	if len(failures) > 0 {
		t.Errorf("%d requests of %d failed, first: %v", len(failures), int64(len(failures))+load.answered.Load(), failures[0])
	}
	if served.Load() < load.answered.Load() {
		t.Errorf("%d requests answered, but %d served by upstreams", load.answered.Load(), served.Load())
	}
}
