package lab

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"sprucehill/internal/lab/check"
	"sprucehill/internal/lab/labtest"
	"sprucehill/internal/lab/live"
	"sprucehill/internal/lab/scenario"
)

// checkerScenario has the events without which some rules can't be violated: an upstream that restarts, one that drains,
// and a restart of a balancer.
const checkerScenario = `
seed = 7
length = "11s"
settle = "1s"
[[region]]
name = "r"
[[region.zone]]
name = "z"
balancers = 2
upstreams = [{model = "m", count = 4}]
[model.m]
cores = 2
speed = 0.5
cold_from = 0.2
warm = "8s"
[balancer]
memory_mb = 128
[discovery]
delay = "100ms"
[[class]]
name = "read"
aim = "1s"
deadline = "2s"
work = ["30ms", "60ms"]
wait = ["100ms", "100ms"]
[[class]]
name = "buy"
repeat = "unsafe"
aim = "1s"
deadline = "2s"
work = ["30ms", "60ms"]
[load]
rate = 30
[[fault]]
at = "800ms"
for = "700ms"
kind = "down"
target = ["upstream:z-u1"]
[[fault]]
at = "3s"
kind = "drain"
target = ["upstream:z-u2"]
[[fault]]
at = "5s"
kind = "restart"
target = ["balancer:z-b1"]
`

// runLive runs a scenario with real processes, started by command. If the test fails, it shows the logs of the processes.
func runLive(t *testing.T, s *scenario.Scenario, command ...string) *Result {
	t.Helper()
	work := t.TempDir()
	t.Cleanup(func() { logProcesses(t, s, work) })
	r, err := RunLive(context.Background(), s, live.Options{Command: command, Dir: ".", WorkDir: work})
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Events) == 0 {
		t.Fatal("the history of the run has no events")
	}
	return r
}

// logProcesses logs, if the test has failed, the seed and the last part of each process's log.
func logProcesses(t *testing.T, s *scenario.Scenario, work string) {
	t.Helper()
	if !t.Failed() {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(work, "*", "log"))
	for _, path := range logs {
		text, _ := os.ReadFile(path)
		t.Logf("seed %d, %s:\n%s", s.Seed, path, text[max(0, len(text)-4000):])
	}
}

// Every defect violates its own rule and no other; a correct balancer violates none. Guards against a checker that misses
// a violation or reports one that did not happen.
func TestCheckerCatches(t *testing.T) {
	faulty := labtest.Build(t, "./faulty")
	program := labtest.Build(t, "../../cmd/balancer")
	for _, c := range []struct {
		mode string
		rule check.Rule
	}{
		{"good", ""}, {"twice", check.OneAnswer}, {"hasty", check.OneAnswer}, {"silent", check.OneAnswer},
		{"forger", check.OneAnswer}, {"repeater", check.OneEffect}, {"inventor", check.OneEffect},
		{"copier", check.OneEffect},
		{"drained", check.Drained}, {"deaf", check.Drained}, {"flood", check.ColdStart}, {"hungry", check.Limits}, {"crasher", check.NoCrash},
		{"orphan", check.NoOrphan}, {"balancer", ""},
	} {
		t.Run(c.mode, func(t *testing.T) {
			t.Parallel()
			command := []string{"/usr/bin/env", "BAD=" + c.mode, faulty}
			if c.mode == "balancer" {
				command = []string{program}
			}
			r := runLive(t, labtest.ParseScenario(t, checkerScenario), command...)
			detected := false
			for _, v := range r.Violations {
				if detected = detected || v.Rule == c.rule; v.Rule == c.rule {
					continue
				}
				t.Errorf("%s at %v: %s", v.Rule, v.At, v.Description)
				for _, e := range v.Trace[:min(len(v.Trace), 20)] {
					t.Log(e.Describe(r.Scenario, r.Fleet))
				}
			}
			if c.rule != "" && !detected {
				t.Errorf("no violation of the rule %s was reported", c.rule)
			}
			if r.Summary.Main.ShareByOutcome["served in time"] < 0.5 && c.mode != "flood" && c.mode != "crasher" {
				t.Errorf("too few requests were served in time for a meaningful run: %v", r.Summary.Main.ShareByOutcome)
			}
		})
	}
}
