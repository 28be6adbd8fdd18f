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

// faultTestScenario is a day for every kind of fault, some of them over each other.
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

// scenarioWithEveryFault adds one fault of each kind to everyFaultDay.
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
	return labtest.Day(t, text)
}

func runScenario(t *testing.T, d *scenario.Scenario, o Options) []history.Event {
	t.Helper()
	events, err := Play(context.Background(), d, o)
	if err != nil {
		t.Fatal(err)
	}
	return events
}

// One day gives one history, to the byte, whatever the number of workers and however often it is played.
func TestDeterministicOnAnyWorkers(t *testing.T) {
	d := scenarioWithEveryFault(t)
	one := runScenario(t, d, Options{Workers: 1})
	if len(one) < 5000 {
		t.Fatalf("only %d events", len(one))
	}
	for _, workers := range []int{1, 3, 8} {
		if other := runScenario(t, d, Options{Workers: workers}); !reflect.DeepEqual(one, other) {
			t.Errorf("%d workers gave another history", workers)
		}
	}
	d.Seed++
	if reflect.DeepEqual(one, runScenario(t, d, Options{Workers: 1})) {
		t.Error("another seed gave the same history")
	}
}

// Every attempt that an upstream took ends, and every request that was sent ends.
func TestEveryRequestAndAttemptEnds(t *testing.T) {
	d := scenarioWithEveryFault(t)
	type key struct {
		req      uint64
		upstream int32
		serial   int32
	}
	open, asked := map[key]history.Event{}, map[uint64]history.Event{}
	toppled := map[int32]bool{}
	for _, e := range runScenario(t, d, Options{Workers: 4}) {
		switch e.Kind {
		case history.Arrived:
			open[key{e.RequestID, e.Upstream, e.Serial}] = e
		case history.Replied, history.Abandoned:
			delete(open, key{e.RequestID, e.Upstream, e.Serial})
		case history.Sent:
			asked[e.RequestID] = e
		case history.Answered, history.Broken, history.TimedOut, history.ClientLeft:
			delete(asked, e.RequestID)
		case history.Collapsed:
			toppled[e.Upstream] = true
		}
	}
	for _, e := range open {
		if !toppled[e.Upstream] {
			t.Errorf("never ended: %s", e.Describe(d, d.Fleet()))
		}
	}
	for _, e := range asked {
		t.Errorf("never answered: %s", e.Describe(d, d.Fleet()))
	}
}

// The module breaks no rule on any example, whichever of three seeds draws it.
func TestExamplesKeepTheRules(t *testing.T) {
	names := labtest.Examples(t)
	if len(names) < 20 {
		t.Fatalf("%d examples", len(names))
	}
	for _, name := range names {
		d := labtest.Example(t, name)
		if len(d.Fleet().Balancers) > 50 { // its own time is measured in docs/lab.md
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seeds := uint64(3)
			if strings.Contains(name, "/") { // in a folder of its own
				seeds = 1
			}
			for d.Seed = 1; d.Seed <= seeds; d.Seed++ {
				for _, v := range check.Judge(d, d.Fleet(), runScenario(t, d, Options{Workers: 1})) {
					t.Errorf("seed %d: %s at %v: %s", d.Seed, v.Rule, v.At, v.What)
				}
			}
		})
	}
}

// The policy that sees the true state serves more than the module on a day whose fault no balancer can see at once.
func TestTrueStateServesMost(t *testing.T) {
	d := labtest.Example(t, "zones/two.toml")
	served := func(policy string) float64 {
		good, asked := 0, 0
		for _, e := range runScenario(t, d, Options{Workers: 2, Policy: policy}) {
			if e.Kind == history.Answered && e.Result == client.Served {
				good++
			} else if e.Kind == history.Sent && e.Retry == 0 {
				asked++
			}
		}
		return float64(good) / float64(asked)
	}
	if best, own := served("true-state"), served(""); best < own || best < 0.99 {
		t.Errorf("the true state serves %.4f, the module %.4f", best, own)
	}
}

// A baseline without slow start overloads an upstream that warms up, and the checker finds it in virtual time too. The module does
// not push one over.
func TestRoundRobinOverloadsColdUpstream(t *testing.T) {
	text := faultTestScenario + `
[[fault]]
at = "3s"
for = "1s"
kind = "down"
target = ["upstream:*"]
part = 0.8
`
	d := labtest.Day(t, text)
	d.Load.Rate *= 3
	broken := func(policy string) int {
		n := 0
		for _, v := range check.Judge(d, d.Fleet(), runScenario(t, d, Options{Policy: policy})) {
			if v.Rule == check.ColdStart {
				n++
			}
		}
		return n
	}
	if broken("round-robin") == 0 {
		t.Error("round robin pushed nobody over")
	}
	if n := broken("sprucehill"); n > 0 {
		t.Errorf("the module pushed %d over", n)
	}
}

// A zone that is cut off gets no messages until the cut ends: those in transit come then.
func TestCutLinkHoldsMessages(t *testing.T) {
	d := scenarioWithEveryFault(t)
	d.Faults = d.Faults[:1]
	during := 0
	for _, e := range runScenario(t, d, Options{}) {
		from, to := d.Faults[0].At.D()+50*time.Millisecond, (d.Faults[0].At + d.Faults[0].For).D()
		if e.Kind == history.Arrived && e.At > from && e.At < to {
			if f := d.Fleet(); f.Balancers[e.Balancer].Zone+f.Upstreams[e.Upstream].Zone == 1 { // zones 0 and 1
				during++
			}
		}
	}
	if during > 0 {
		t.Errorf("%d requests came over a cut", during)
	}
}
