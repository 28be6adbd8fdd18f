package scenario

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// small is a scenario with two zones in two regions; tests append to it.
const small = `
length = "10s"
[[region]]
name = "west"
[[region.zone]]
name = "a"
balancers = 2
upstreams = [{model = "m", count = 3}]
[[region]]
name = "east"
[[region.zone]]
name = "b"
balancers = 1
upstreams = [{model = "m", count = 2}]
[model.m]
[[class]]
name = "c"
aim = "1s"
deadline = "2s"
work = ["1ms", "9ms"]
[load]
rate = 50
`

func parse(t *testing.T, text string) *Scenario {
	t.Helper()
	d, err := Parse("d.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// An error about a file is one line with the file and the key; for an unknown key it suggests the most similar known key.
func TestInvalidScenarios(t *testing.T) {
	for _, c := range []struct{ add, want string }{
		{"[clients]\nretry = 3\n", `d.toml:24: unknown key "clients.retry"; did you mean "retries"?`},
		{"[model.n]\ncors = 3\n", `unknown key "model.n.cors"; did you mean "cores"?`},
		{"[clients]\nwait = \"soon\"\n", `d.toml:24:`},
		{"[[fault]]\nat=\"1s\"\nkind=\"fire\"\n", `fault[1].kind: "fire" is unknown`},
		{"[[fault]]\nat=\"1s\"\nkind=\"kill\"\ntarget=[\"balancer:x\"]\n", `"balancer:x" matches nothing`},
		{"[[fault]]\nat=\"1s\"\nkind=\"kill\"\ntarget=[\"upstream:*\"]\n", `matches nothing that a fault of kind kill can affect`},
		{"[[fault]]\nat=\"11s\"\nkind=\"kill\"\ntarget=[\"all\"]\n", `fault[1].at`},
		{"[[fault]]\nat=\"1s\"\nkind=\"cut\"\nfrom=[\"all\"]\n", `to: is missing`},
		{"[[fault]]\nat=\"1s\"\nkind=\"errors\"\nsize=2\ntarget=[\"all\"]\n", `fault[1].size`},
		{"[network]\nsame_zone=\"-1s\"\n", `network`},
		{"[[class]]\nname=\"c\"\naim=\"1s\"\ndeadline=\"1s\"\nwork=[\"1ms\",\"1ms\"]\n", `class[2].name`},
	} {
		_, err := Parse("d.toml", []byte(small+c.add))
		if !errors.Is(err, ErrInput) || !strings.Contains(fmt.Sprint(err), c.want) || strings.Contains(fmt.Sprint(err), "\n") {
			t.Errorf("%q: got %v, want it to say %q in one line", c.add, err, c.want)
		}
	}
}

// The same file and seed give the same arrivals and the same targets of faults; another seed gives different arrivals.
func TestSeedDeterminesArrivalsAndTargets(t *testing.T) {
	text := small + "[[fault]]\nat=\"1s\"\nkind=\"errors\"\nsize=0.5\npart=0.4\ntarget=[\"upstream:*\"]\n"
	a, b, c := parse(t, text), parse(t, text), parse(t, "seed = 2\n"+text)
	_, ha := a.FaultSchedule()
	_, hb := b.FaultSchedule()
	if !reflect.DeepEqual(a.Arrivals(), b.Arrivals()) || !reflect.DeepEqual(ha, hb) {
		t.Error("two scenarios with the same seed differ in arrivals or targets")
	}
	if len(ha[0].Targets) != 2 {
		t.Errorf("a fault on 0.4 of 5 upstreams has the targets %v, want 2", ha[0].Targets)
	}
	if reflect.DeepEqual(a.Arrivals(), c.Arrivals()) {
		t.Error("scenarios with different seeds have the same arrivals")
	}
	n := float64(len(a.Arrivals()))
	if n < 400 || n > 600 {
		t.Errorf("%v arrivals in 10 s at 50 a second, want 400 to 600", n)
	}
}

// Request ids are unique within a run.
func TestRequestIDsAreUnique(t *testing.T) {
	d := parse(t, small)
	rapid.Check(t, func(t *rapid.T) {
		d.Seed = rapid.Uint64().Draw(t, "seed")
		a, b := rapid.IntRange(0, 1<<30).Draw(t, "a"), rapid.IntRange(0, 1<<30).Draw(t, "b")
		x, y := rapid.IntRange(0, MaxRequestsPerArrival-1).Draw(t, "x"), rapid.IntRange(0, MaxRequestsPerArrival-1).Draw(t, "y")
		if (a != b || x != y) == (d.RequestID(a, x) == d.RequestID(b, y)) {
			t.Fatalf("retry %d of arrival %d and retry %d of arrival %d: equal requests must have equal ids, different ones different ids", x, a, y, b)
		}
	})
}

// The effects of overlapping faults on a link accumulate, and each ends with its fault.
func TestLinkFaultsOverlap(t *testing.T) {
	d := parse(t, small+`
[[fault]]
at = "1s"
kind = "delay"
delay = "5ms"
from = ["zone:a"]
to = ["zone:b"]
[[fault]]
at = "1s"
kind = "delay"
delay = "7ms"
from = ["region:west"]
to = ["region:east"]
one_way = true
[[fault]]
at = "1s"
kind = "cut"
from = ["balancer:a-b1"]
to = ["upstream:b-*"]
`)
	f := d.Fleet()
	p := d.NewPaths(f)
	there, back := Party{BalancerParty, 0}, Party{UpstreamParty, 3}
	base := p.Condition(there, back).Delay
	for i := range 3 {
		p.Apply(i, Begin)
	}
	if c := p.Condition(there, back); c.Delay != base+12*time.Millisecond || !c.Cut {
		t.Errorf("from balancer to upstream: %+v", c)
	}
	if c := p.Condition(back, there); c.Delay != base+5*time.Millisecond || !c.Cut {
		t.Errorf("from upstream to balancer: %+v", c)
	}
	if c := p.Condition(Party{BalancerParty, 1}, back); c.Cut {
		t.Error("the cut affects a balancer that is not among its targets")
	}
	p.Apply(2, End)
	p.Apply(0, End)
	if c := p.Condition(there, back); c.Delay != base+7*time.Millisecond || c.Cut {
		t.Errorf("after the end of two faults: %+v", c)
	}
}
