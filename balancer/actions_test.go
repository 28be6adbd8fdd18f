package balancer

import (
	"flag"
	"fmt"
	"hash/fnv"
	"math"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var renewActions = flag.Bool("renew-actions", false, "write testdata/actions.txt anew, for a change that means to decide otherwise")

const (
	recordedActions = "testdata/actions.txt"
	recordedStreams = 60
)

// happening is one event of a drawn stream. Which of its values count depends on the kind.
type happening struct {
	kind  string
	after time.Duration // since the one before
	pick  int           // which upstream, attempt, zone, class
	span  time.Duration
	share float64
	flag  bool
}

// kinds is every event of the module, and its restart from a snapshot. Those that a service sees often stand more often.
var kinds = []string{"request", "request", "request", "request", "outcome", "outcome", "outcome", "outcome", "timers", "timers",
	"timers", "members", "written", "started", "gone", "probed", "fleet", "leave zone", "return zone", "restart", "list failed"}

// happenings draws a stream.
var happenings = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) happening {
	return happening{
		kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
		after: time.Duration(rapid.IntRange(0, 40).Draw(t, "after")) * ms,
		pick:  rapid.IntRange(0, 1000).Draw(t, "pick"),
		span:  time.Duration(rapid.IntRange(0, 1200).Draw(t, "span")) * ms,
		share: rapid.Float64Range(0, 1).Draw(t, "share"),
		flag:  rapid.Bool().Draw(t, "flag"),
	}
}), 400, 400)

// stream plays happenings on a Balancer.
type stream struct {
	t        *testing.T
	settings Settings
	seed     uint64
	host     *recorder
	balancer *Balancer
	now      time.Duration
	last     RequestID
	out      []streamAttempt // attempts whose outcome is still to come
	timers   []alarm
	list     []Endpoint
}

type streamAttempt struct {
	id RequestID
	up EndpointID
	n  int
	at time.Duration
}

func newStream(t *testing.T, s Settings, seed uint64) *stream {
	t.Helper()
	x := &stream{t: t, settings: s, seed: seed, now: time.Hour, list: fleet(9)}
	x.begin()
	x.balancer.OnEndpointUpdate(x.now, UpdateComplete, x.list)
	return x
}

// begin starts a Balancer in place of the one before, whose attempts and timers are gone.
func (x *stream) begin() {
	x.t.Helper()
	attempts := map[RequestID]int{}
	lines := []string(nil)
	if x.host != nil {
		lines = x.host.lines
	}
	x.out, x.timers = nil, nil
	x.host = &recorder{lines: lines, hook: func(kind string, id RequestID, up EndpointID, d time.Duration, n uint64) {
		switch kind {
		case "send":
			x.out = append(x.out, streamAttempt{id, up, attempts[id], x.now})
			attempts[id]++
		case "timer":
			x.timers = append(x.timers, alarm{x.now + max(d, ms), n})
		}
	}}
	b, err := New(x.settings, x.seed, x.now, x.host)
	if err != nil {
		x.t.Fatal(err)
	}
	x.balancer = b
}

func (x *stream) play(h happening) {
	x.now += h.after
	b := x.balancer
	switch h.kind {
	case "request":
		x.request(h)
	case "outcome":
		x.outcome(h)
	case "timers":
		due := x.timers
		x.timers = nil
		for _, a := range due {
			if a.at <= x.now {
				b.OnTimer(x.now, a.token)
			} else {
				x.timers = append(x.timers, a)
			}
		}
	case "members":
		x.members(h)
	case "list failed":
		b.OnEndpointUpdate(x.now, UpdateFailed, nil)
	case "written":
		if a, ok := x.attempt(h); ok {
			b.OnBodySent(x.now, a.id, a.n)
		}
	case "started":
		if a, ok := x.attempt(h); ok {
			b.OnStreamStarted(x.now, a.id, a.n)
		}
	case "gone":
		b.OnClientDisconnected(x.now, x.last-RequestID(h.pick%5))
	case "probed":
		b.OnHealthCheckResult(x.now, HealthCheckResult{Endpoint: EndpointID(h.pick%9 + 1), Latency: h.span, Load: LoadReport{Fields: HasUtilization | HasQueue, Utilization: h.share, Queue: float64(h.pick % 3)}})
	case "fleet":
		b.OnFleetSizeChanged(x.now, FleetSize{Balancers: 1 + h.pick%7, Rank: h.pick % 3, MaxBalancers: 1 + h.pick%9})
	case "leave zone":
		x.host.note(fmt.Sprintf("left %t", b.DrainZone(x.now, []string{"near", "far"}[h.pick%2])), 0, 0, 0, 0)
	case "return zone":
		x.host.note(fmt.Sprintf("returned %t", b.ReinstateZone(x.now, []string{"near", "far"}[h.pick%2])), 0, 0, 0, 0)
	case "restart":
		if h.pick%8 > 0 { // seldom
			return
		}
		known := b.TakeSnapshot(x.now)
		x.now += h.span * 100
		x.begin()
		x.balancer.OnEndpointUpdate(x.now, UpdateCached, x.list)
		x.balancer.Restore(x.now, known)
	default:
		x.t.Fatalf("no event is called %q", h.kind)
	}
}

func (x *stream) request(h happening) {
	x.last++
	class := x.settings.Classes[h.pick%len(x.settings.Classes)]
	r := Request{ID: x.last, Timeout: class.Deadline, Class: class.Name, CostHint: time.Duration(h.pick%90) * ms,
		Tenant: x.settings.Tenants[h.pick%len(x.settings.Tenants)].Name, Key: uint64(h.pick % 20), HasKey: h.flag}
	if h.share < 0.2 {
		r.Timeout, r.Retry = h.span, true
	}
	r.Upload = h.share > 0.9
	x.balancer.OnRequest(x.now, r)
}

// attempt is one that is out.
func (x *stream) attempt(h happening) (streamAttempt, bool) {
	if len(x.out) == 0 {
		return streamAttempt{}, false
	}
	return x.out[h.pick%len(x.out)], true
}

func (x *stream) outcome(h happening) {
	a, ok := x.attempt(h)
	if !ok {
		return
	}
	x.out = slices.DeleteFunc(x.out, func(y streamAttempt) bool { return y == a })
	statuses := []Status{OK, OK, OK, OK, OK, OK, OK, OK, Error, Rejected, Timeout, ConnectFailed, Reset, Cancelled, NotSent}
	o := AttemptResult{ID: a.id, Endpoint: a.up, Attempt: a.n, Latency: x.now - a.at, Status: statuses[h.pick%len(statuses)], BodyConsumed: h.flag && h.share > 0.8}
	if h.flag {
		o.Load = LoadReport{Fields: HasUtilization | HasInflight | HasQueue, Utilization: h.share, Inflight: float64(h.pick % 20), Queue: math.Floor(h.share * 3)}
	}
	x.balancer.OnAttemptResult(x.now, o)
}

func (x *stream) members(h happening) {
	at := h.pick % len(x.list)
	switch {
	case h.share < 0.3:
		x.list[at].State = Draining
	case h.share < 0.5:
		x.list[at].State = Removed
	case h.share < 0.8:
		x.list[at].State, x.list[at].StartedAt = Active, x.now-h.span
	default:
		x.list[at].State, x.list[at].Weight = Active, 0.5+h.share
	}
	if h.flag {
		x.balancer.OnEndpointUpdate(x.now, UpdateDelta, x.list[at:at+1])
	} else {
		x.balancer.OnEndpointUpdate(x.now, UpdateComplete, x.list)
	}
}

// The same events give the same actions as when they were recorded, on drawn streams of every event and every variant of
// the settings. A change that means to decide otherwise renews the file (go test . -run TestActionsAreAsRecorded
// -renew-actions) and says so in its commit; so does a new version of rapid that draws otherwise.
func TestActionsAreAsRecorded(t *testing.T) {
	all := variants()
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	var lines []string
	for seed := 1; seed <= recordedStreams; seed++ {
		name := names[seed%len(names)]
		x := newStream(t, all[name], uint64(seed))
		for range 4 { // one draw is a stretch of the stream
			for _, h := range happenings.Example(seed) {
				x.play(h)
			}
		}
		sum, actions := fnv.New64a(), 0
		for _, line := range x.host.lines {
			if !strings.HasPrefix(line, "log: ") { // what a log line says decides nothing
				fmt.Fprintln(sum, line)
				actions++
			}
		}
		lines = append(lines, fmt.Sprintf("%s seed=%d actions=%d hash=%016x", name, seed, actions, sum.Sum64()))
	}
	got := strings.Join(lines, "\n") + "\n"
	if *renewActions {
		if err := os.WriteFile(recordedActions, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(recordedActions)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("the module decides otherwise than when it was recorded:\n got\n%s\nwant\n%s", got, want)
	}
}
