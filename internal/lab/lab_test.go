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

// checkerDay has what each rule needs to be broken: an upstream that starts again, one that drains, a restart.
const checkerDay = `
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

// play plays a day live with a program. If the test fails it logs the processes' logs.
func play(t *testing.T, d *scenario.Scenario, command ...string) *Result {
	t.Helper()
	work := t.TempDir()
	t.Cleanup(func() { logProcesses(t, d, work) })
	r, err := Live(context.Background(), d, live.Options{Command: command, Dir: ".", Work: work})
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Events) == 0 {
		t.Fatal("nothing happened")
	}
	return r
}

// logProcesses logs the seed and the ends of the processes' logs of a failed test.
func logProcesses(t *testing.T, d *scenario.Scenario, work string) {
	t.Helper()
	if !t.Failed() {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(work, "*", "log"))
	for _, path := range logs {
		text, _ := os.ReadFile(path)
		t.Logf("seed %d, %s:\n%s", d.Seed, path, text[max(0, len(text)-4000):])
	}
}

// Each faulty balancer is caught by its own rule and by no other, and the good ones by none.
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
		{"orphan", check.NoLeftover}, {"balancer", ""},
	} {
		t.Run(c.mode, func(t *testing.T) {
			t.Parallel()
			command := []string{"/usr/bin/env", "BAD=" + c.mode, faulty}
			if c.mode == "balancer" {
				command = []string{program}
			}
			r := play(t, labtest.Day(t, checkerDay), command...)
			caught := false
			for _, v := range r.Violations {
				if caught = caught || v.Rule == c.rule; v.Rule == c.rule {
					continue
				}
				t.Errorf("%s at %v: %s", v.Rule, v.At, v.What)
				for _, e := range v.Trace[:min(len(v.Trace), 20)] {
					t.Log(e.Describe(r.Day, r.Fleet))
				}
			}
			if c.rule != "" && !caught {
				t.Errorf("not caught: %s", c.rule)
			}
			if r.Summary.Main.ShareByOutcome["served in time"] < 0.5 && c.mode != "flood" && c.mode != "crasher" {
				t.Errorf("a day that tells nothing: %v", r.Summary.Main.ShareByOutcome)
			}
		})
	}
}
