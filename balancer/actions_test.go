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
type streamEvent struct {
	kind     string
	after    time.Duration // since the one before
	pick     int           // which upstream, attempt, zone, class
	duration time.Duration
	fraction float64
	flag     bool
}

// kinds is every event of the module, and its restart from a snapshot. Those that a service sees often stand more often.
var eventKinds = []string{"request", "request", "request", "request", "outcome", "outcome", "outcome", "outcome", "timers", "timers",
	"timers", "members", "written", "started", "gone", "probed", "fleet", "leave zone", "return zone", "restart", "list failed"}

// happenings draws a stream.
var eventStretch = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) streamEvent {
	return streamEvent{
		kind:     rapid.SampledFrom(eventKinds).Draw(t, "kind"),
		after:    time.Duration(rapid.IntRange(0, 40).Draw(t, "after")) * ms,
		pick:     rapid.IntRange(0, 1000).Draw(t, "pick"),
		duration: time.Duration(rapid.IntRange(0, 1200).Draw(t, "span")) * ms,
		fraction: rapid.Float64Range(0, 1).Draw(t, "share"),
		flag:     rapid.Bool().Draw(t, "flag"),
	}
}), 400, 400)

// stream plays happenings on a Balancer.
type stream struct {
	t         *testing.T
	settings  Settings
	seed      uint64
	effects   *recorder
	balancer  *Balancer
	now       time.Duration
	lastID    RequestID
	inFlight  []streamAttempt // attempts whose outcome is still to come
	timers    []pendingTimer
	endpoints []Endpoint
}

type streamAttempt struct {
	id       RequestID
	endpoint EndpointID
	index    int
	sentAt   time.Duration
}

func newStream(t *testing.T, s Settings, seed uint64) *stream {
	t.Helper()
	x := &stream{t: t, settings: s, seed: seed, now: time.Hour, endpoints: fleet(9)}
	x.startBalancer()
	x.balancer.OnEndpointUpdate(x.now, UpdateComplete, x.endpoints)
	return x
}

// begin starts a Balancer in place of the one before, whose attempts and timers are gone.
func (s *stream) startBalancer() {
	s.t.Helper()
	attempts := map[RequestID]int{}
	lines := []string(nil)
	if s.effects != nil {
		lines = s.effects.calls
	}
	s.inFlight, s.timers = nil, nil
	s.effects = &recorder{calls: lines, hook: func(kind string, id RequestID, up EndpointID, d time.Duration, n uint64) {
		switch kind {
		case "send":
			s.inFlight = append(s.inFlight, streamAttempt{id, up, attempts[id], s.now})
			attempts[id]++
		case "timer":
			s.timers = append(s.timers, pendingTimer{s.now + max(d, ms), n})
		}
	}}
	b, err := New(s.settings, s.seed, s.now, s.effects)
	if err != nil {
		s.t.Fatal(err)
	}
	s.balancer = b
}

func (s *stream) apply(event streamEvent) {
	s.now += event.after
	b := s.balancer
	switch event.kind {
	case "request":
		s.sendRequest(event)
	case "outcome":
		s.endAttempt(event)
	case "timers":
		due := s.timers
		s.timers = nil
		for _, a := range due {
			if a.at <= s.now {
				b.OnTimer(s.now, a.token)
			} else {
				s.timers = append(s.timers, a)
			}
		}
	case "members":
		s.changeEndpoints(event)
	case "list failed":
		b.OnEndpointUpdate(s.now, UpdateFailed, nil)
	case "written":
		if a, ok := s.pickAttempt(event); ok {
			b.OnBodySent(s.now, a.id, a.index)
		}
	case "started":
		if a, ok := s.pickAttempt(event); ok {
			b.OnStreamStarted(s.now, a.id, a.index)
		}
	case "gone":
		b.OnClientDisconnected(s.now, s.lastID-RequestID(event.pick%5))
	case "probed":
		b.OnHealthCheckResult(s.now, HealthCheckResult{Endpoint: EndpointID(event.pick%9 + 1), Latency: event.duration, Load: LoadReport{Fields: HasUtilization | HasQueue, Utilization: event.fraction, Queue: float64(event.pick % 3)}})
	case "fleet":
		b.OnFleetSizeChanged(s.now, FleetSize{Balancers: 1 + event.pick%7, Rank: event.pick % 3, MaxBalancers: 1 + event.pick%9})
	case "leave zone":
		s.effects.record(fmt.Sprintf("left %t", b.DrainZone(s.now, []string{"near", "far"}[event.pick%2])), 0, 0, 0, 0)
	case "return zone":
		s.effects.record(fmt.Sprintf("returned %t", b.ReinstateZone(s.now, []string{"near", "far"}[event.pick%2])), 0, 0, 0, 0)
	case "restart":
		if event.pick%8 > 0 { // seldom
			return
		}
		known := b.TakeSnapshot(s.now)
		s.now += event.duration * 100
		s.startBalancer()
		s.balancer.OnEndpointUpdate(s.now, UpdateCached, s.endpoints)
		s.balancer.Restore(s.now, known)
	default:
		s.t.Fatalf("no event is called %q", event.kind)
	}
}

func (s *stream) sendRequest(event streamEvent) {
	s.lastID++
	class := s.settings.Classes[event.pick%len(s.settings.Classes)]
	r := Request{ID: s.lastID, Timeout: class.Deadline, Class: class.Name, CostHint: time.Duration(event.pick%90) * ms,
		Tenant: s.settings.Tenants[event.pick%len(s.settings.Tenants)].Name, Key: uint64(event.pick % 20), HasKey: event.flag}
	if event.fraction < 0.2 {
		r.Timeout, r.Retry = event.duration, true
	}
	r.Upload = event.fraction > 0.9
	s.balancer.OnRequest(s.now, r)
}

// attempt is one that is out.
func (s *stream) pickAttempt(event streamEvent) (streamAttempt, bool) {
	if len(s.inFlight) == 0 {
		return streamAttempt{}, false
	}
	return s.inFlight[event.pick%len(s.inFlight)], true
}

func (s *stream) endAttempt(event streamEvent) {
	a, ok := s.pickAttempt(event)
	if !ok {
		return
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(y streamAttempt) bool { return y == a })
	statuses := []Status{OK, OK, OK, OK, OK, OK, OK, OK, Error, Rejected, Timeout, ConnectFailed, Reset, Cancelled, NotSent}
	o := AttemptResult{ID: a.id, Endpoint: a.endpoint, Attempt: a.index, Latency: s.now - a.sentAt, Status: statuses[event.pick%len(statuses)], BodyConsumed: event.flag && event.fraction > 0.8}
	if event.flag {
		o.Load = LoadReport{Fields: HasUtilization | HasInflight | HasQueue, Utilization: event.fraction, Inflight: float64(event.pick % 20), Queue: math.Floor(event.fraction * 3)}
	}
	s.balancer.OnAttemptResult(s.now, o)
}

func (s *stream) changeEndpoints(event streamEvent) {
	at := event.pick % len(s.endpoints)
	switch {
	case event.fraction < 0.3:
		s.endpoints[at].State = Draining
	case event.fraction < 0.5:
		s.endpoints[at].State = Removed
	case event.fraction < 0.8:
		s.endpoints[at].State, s.endpoints[at].StartedAt = Active, s.now-event.duration
	default:
		s.endpoints[at].State, s.endpoints[at].Weight = Active, 0.5+event.fraction
	}
	if event.flag {
		s.balancer.OnEndpointUpdate(s.now, UpdateDelta, s.endpoints[at:at+1])
	} else {
		s.balancer.OnEndpointUpdate(s.now, UpdateComplete, s.endpoints)
	}
}

// The same events give the same actions as when they were recorded, on drawn streams of every event and every variant of
// the settings. A change that means to decide otherwise renews the file (go test . -run TestActionsAreAsRecorded
// -renew-actions) and says so in its commit; so does a new version of rapid that draws otherwise.
func TestActionsAreAsRecorded(t *testing.T) {
	all := settingsVariants()
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
			for _, effects := range eventStretch.Example(seed) {
				x.apply(effects)
			}
		}
		sum, actions := fnv.New64a(), 0
		for _, line := range x.effects.calls {
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
