package model

import (
	"context"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"sprucehill/internal/lab/check"
	"sprucehill/internal/lab/client"
	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/labtest"
	"sprucehill/internal/lab/scenario"
)

// faultTestScenario is a scenario without faults, for tests that add some.
const faultTestScenario = `
seed = 3
length = "14s"
[[region]]
name = "west"
[[region.zone]]
name = "a"
balancers = 3
upstreams = [{model = "m", count = 5}]
[[region.zone]]
name = "b"
balancers = 2
upstreams = [{model = "m", count = 4}]
[[region]]
name = "east"
[[region.zone]]
name = "c"
balancers = 3
upstreams = [{model = "m", count = 5}]
[model.m]
cores = 2
pause_every = "2s"
pause = "50ms"
error_rate = 0.01
connections = 40
[network]
loss = 0.001
[[class]]
name = "read"
aim = "600ms"
deadline = "2s"
work = ["20ms", "60ms"]
wait = ["20ms", "60ms"]
[[class]]
name = "buy"
repeat = "unsafe"
aim = "1s"
deadline = "3s"
work = ["30ms", "90ms"]
[[class]]
name = "keyed"
repeat = "keyed"
group = "zone"
aim = "1s"
deadline = "3s"
work = ["30ms", "90ms"]
[[tenant]]
name = "t"
share = 1
quota = 100
[clients]
retries = 2
wait = "50ms"
budget = 0.2
impatience = 0.02
[load]
rate = 150
shape = "wave"
swing = 0.3
`

// scenarioWithEveryFault adds faults of every kind to faultTestScenario. Some of them overlap.
func scenarioWithEveryFault(t *testing.T) *scenario.Scenario {
	t.Helper()
	text := faultTestScenario
	for i, f := range []string{
		`kind = "cut"` + "\n" + `from = ["zone:a"]` + "\n" + `to = ["zone:b"]`,
		`kind = "cut"` + "\n" + `from = ["balancer:a-b1"]` + "\n" + `to = ["all"]` + "\n" + `one_way = true`,
		`kind = "delay"` + "\n" + `delay = "30ms"` + "\n" + `from = ["region:west"]` + "\n" + `to = ["region:east"]`,
		`kind = "lossy"` + "\n" + `size = 0.1` + "\n" + `from = ["zone:a"]` + "\n" + `to = ["zone:c"]`,
		`kind = "slow"` + "\n" + `rate = 20000` + "\n" + `from = ["zone:b"]` + "\n" + `to = ["all"]`,
		`kind = "reset"` + "\n" + `from = ["all"]` + "\n" + `to = ["zone:c"]`,
		`kind = "down"` + "\n" + `target = ["upstream:a-u1"]`,
		`kind = "vanish"` + "\n" + `target = ["upstream:b-u1"]`,
		`kind = "drain"` + "\n" + `target = ["upstream:c-u1"]`,
		`kind = "errors"` + "\n" + `size = 0.5` + "\n" + `target = ["upstream:c-*"]` + "\n" + `part = 0.4`,
		`kind = "neighbour"` + "\n" + `size = 0.5` + "\n" + `target = ["upstream:a-*"]` + "\n" + `part = 0.4`,
		`kind = "late"` + "\n" + `delay = "2s"` + "\n" + `target = ["all"]`,
		`kind = "kill"` + "\n" + `target = ["balancer:b-b1"]`,
		`kind = "term"` + "\n" + `target = ["balancer:c-b1"]`,
		`kind = "restart"` + "\n" + `target = ["balancer:a-b2"]`,
		`kind = "freeze"` + "\n" + `target = ["balancer:c-b2"]`,
		`kind = "clock"` + "\n" + `delay = "3s"` + "\n" + `target = ["balancer:a-b3"]`,
		`kind = "discovery-silent"` + "\n" + `target = ["balancer:b-b2"]`,
		`kind = "burst"` + "\n" + `size = 1.5`,
	} {
		text += fmt.Sprintf("[[fault]]\nat = \"%dms\"\nfor = \"2s\"\n%s\n", 2000+450*i, f)
	}
	return labtest.ParseScenario(t, text)
}

func runScenario(t *testing.T, sc *scenario.Scenario, o Options) []history.Event {
	t.Helper()
	events, err := Run(context.Background(), sc, o)
	if err != nil {
		t.Fatal(err)
	}
	return events
}

// A scenario and a seed determine the history, whatever the number of workers and however often it is run.
func TestDeterministicOnAnyWorkers(t *testing.T) {
	sc := scenarioWithEveryFault(t)
	first := runScenario(t, sc, Options{Workers: 1})
	if len(first) < 5000 {
		t.Fatalf("got %d events, want at least 5000", len(first))
	}
	for _, workers := range []int{1, 3, 8} {
		if other := runScenario(t, sc, Options{Workers: workers}); !reflect.DeepEqual(first, other) {
			t.Errorf("with %d workers, the history differs from the first run with one", workers)
		}
	}
	sc.Seed++
	if reflect.DeepEqual(first, runScenario(t, sc, Options{Workers: 1})) {
		t.Error("a different seed gave the same history")
	}
}

// Every attempt that an upstream accepted ends, unless the upstream collapsed, and every request that was sent ends.
func TestEveryRequestAndAttemptEnds(t *testing.T) {
	sc := scenarioWithEveryFault(t)
	type key struct {
		request  uint64
		upstream int32
		attempt  int32
	}
	openAttempts, openRequests := map[key]history.Event{}, map[uint64]history.Event{}
	collapsed := map[int32]bool{}
	for _, e := range runScenario(t, sc, Options{Workers: 4}) {
		switch e.Kind {
		case history.Arrived:
			openAttempts[key{e.RequestID, e.Upstream, e.Serial}] = e
		case history.Replied, history.Abandoned:
			delete(openAttempts, key{e.RequestID, e.Upstream, e.Serial})
		case history.Sent:
			openRequests[e.RequestID] = e
		case history.Answered, history.Broken, history.TimedOut, history.ClientLeft:
			delete(openRequests, e.RequestID)
		case history.Collapsed:
			collapsed[e.Upstream] = true
		}
	}
	for _, e := range openAttempts {
		if !collapsed[e.Upstream] {
			t.Errorf("attempt never ended: %s", e.Describe(sc, sc.Fleet()))
		}
	}
	for _, e := range openRequests {
		t.Errorf("request never ended: %s", e.Describe(sc, sc.Fleet()))
	}
}

// The decision module violates no rule of the checker on any example: three seeds for those in examples itself, one for
// those in subdirectories.
func TestExamplesKeepTheRules(t *testing.T) {
	names := labtest.ExampleNames(t)
	if len(names) < 20 {
		t.Fatalf("found %d examples, want at least 20", len(names))
	}
	for _, name := range names {
		sc := labtest.LoadExample(t, name)
		if len(sc.Fleet().Balancers) > 50 { // docs/lab.md has the run time of such a fleet
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seeds := uint64(3)
			if strings.Contains(name, "/") { // in a subdirectory of examples
				seeds = 1
			}
			for sc.Seed = 1; sc.Seed <= seeds; sc.Seed++ {
				for _, v := range check.Check(sc, sc.Fleet(), runScenario(t, sc, Options{Workers: 1})) {
					t.Errorf("seed %d: %s at %v: %s", sc.Seed, v.Rule, v.At, v.Description)
				}
			}
		})
	}
}

// The true-state policy serves at least as large a fraction as the decision module, in a scenario whose fault no balancer
// can detect immediately.
func TestTrueStateServesMost(t *testing.T) {
	sc := labtest.LoadExample(t, "zones/two.toml")
	servedFraction := func(policy string) float64 {
		served, sent := 0, 0
		for _, e := range runScenario(t, sc, Options{Workers: 2, Policy: policy}) {
			if e.Kind == history.Answered && e.Result == client.Served {
				served++
			} else if e.Kind == history.Sent && e.Retry == 0 {
				sent++
			}
		}
		return float64(served) / float64(sent)
	}
	if best, own := servedFraction("true-state"), servedFraction(""); best < own || best < 0.99 {
		t.Errorf("true-state serves %.4f, want at least 0.99 and the decision module's %.4f", best, own)
	}
}

// A baseline without slow start overloads upstreams that warm up, and the checker reports it for runs of the model engine.
// The decision module overloads none.
func TestRoundRobinOverloadsColdUpstream(t *testing.T) {
	text := faultTestScenario + `
[[fault]]
at = "3s"
for = "1s"
kind = "down"
target = ["upstream:*"]
part = 0.8
`
	sc := labtest.ParseScenario(t, text)
	sc.Load.Rate *= 3
	coldStartViolations := func(policy string) int {
		n := 0
		for _, v := range check.Check(sc, sc.Fleet(), runScenario(t, sc, Options{Policy: policy})) {
			if v.Rule == check.ColdStart {
				n++
			}
		}
		return n
	}
	if coldStartViolations("round-robin") == 0 {
		t.Error("round-robin: no cold-start violation, want at least one")
	}
	if n := coldStartViolations("sprucehill"); n > 0 {
		t.Errorf("decision module: %d cold-start violations, want 0", n)
	}
}

// While the link between two zones is cut, no request crosses it.
func TestCutLinkHoldsMessages(t *testing.T) {
	sc := scenarioWithEveryFault(t)
	sc.Faults = sc.Faults[:1]
	arrivedDuringCut := 0
	for _, e := range runScenario(t, sc, Options{}) {
		// The 50 ms leave out requests that were in transit when the cut began.
		from, to := sc.Faults[0].At.D()+50*time.Millisecond, (sc.Faults[0].At + sc.Faults[0].For).D()
		if e.Kind == history.Arrived && e.At > from && e.At < to {
			if f := sc.Fleet(); f.Balancers[e.Balancer].Zone+f.Upstreams[e.Upstream].Zone == 1 { // zones 0 and 1
				arrivedDuringCut++
			}
		}
	}
	if arrivedDuringCut > 0 {
		t.Errorf("%d requests arrived over a cut link, want 0", arrivedDuringCut)
	}
}
