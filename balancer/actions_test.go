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

var renewActions = flag.Bool("renew-actions", false, "rewrite testdata/actions.txt, for a change that is meant to alter decisions")

const (
	recordedActions = "testdata/actions.txt"
	recordedStreams = 60
)

// streamEvent is one event of a random stream. The kind determines which of the other values are used.
type streamEvent struct {
	kind     string
	after    time.Duration // since the previous event
	pick     int           // selects an endpoint, attempt, zone or class
	duration time.Duration
	fraction float64 // 0 to 1
	flag     bool
}

// The kinds of events in a random stream.
const (
	requestEvent            = "request"
	attemptResultEvent      = "attempt result"
	timersEvent             = "timers"
	endpointUpdateEvent     = "endpoint update"
	bodySentEvent           = "body sent"
	streamStartedEvent      = "stream started"
	clientDisconnectedEvent = "client disconnected"
	healthCheckResultEvent  = "health check result"
	fleetSizeEvent          = "fleet size"
	drainZoneEvent          = "drain zone"
	reinstateZoneEvent      = "reinstate zone"
	restartEvent            = "restart"
	updateFailedEvent       = "update failed"
)

// eventKinds holds every event of the module, and its restart from a snapshot. Frequent events are listed several times. The
// order of the list determines the random streams, and with them the hashes in testdata/actions.txt.
var eventKinds = []string{
	requestEvent, requestEvent, requestEvent, requestEvent,
	attemptResultEvent, attemptResultEvent, attemptResultEvent, attemptResultEvent,
	timersEvent, timersEvent, timersEvent,
	endpointUpdateEvent, bodySentEvent, streamStartedEvent, clientDisconnectedEvent, healthCheckResultEvent,
	fleetSizeEvent, drainZoneEvent, reinstateZoneEvent, restartEvent, updateFailedEvent,
}

// eventSequence generates a part of a random stream.
var eventSequence = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) streamEvent {
	return streamEvent{
		kind:     rapid.SampledFrom(eventKinds).Draw(t, "kind"),
		after:    time.Duration(rapid.IntRange(0, 40).Draw(t, "after")) * ms,
		pick:     rapid.IntRange(0, 1000).Draw(t, "pick"),
		duration: time.Duration(rapid.IntRange(0, 1200).Draw(t, "duration")) * ms,
		fraction: rapid.Float64Range(0, 1).Draw(t, "fraction"),
		flag:     rapid.Bool().Draw(t, "flag"),
	}
}), 400, 400)

// eventStream applies the events of a random stream to a Balancer.
type eventStream struct {
	t         *testing.T
	settings  Settings
	seed      uint64
	effects   *recorder
	balancer  *Balancer
	now       time.Duration
	lastID    RequestID
	inFlight  []streamAttempt
	timers    []pendingTimer
	endpoints []Endpoint
}

// streamAttempt is an attempt without a result yet.
type streamAttempt struct {
	id       RequestID
	endpoint EndpointID
	index    int
	sentAt   time.Duration
}

func newEventStream(t *testing.T, settings Settings, seed uint64) *eventStream {
	t.Helper()
	s := &eventStream{t: t, settings: settings, seed: seed, now: time.Hour, endpoints: fleet(9)}
	s.startBalancer()
	s.balancer.OnEndpointUpdate(s.now, UpdateComplete, s.endpoints)
	return s
}

// startBalancer replaces the Balancer by a new one. The attempts and timers of the previous one are lost.
func (s *eventStream) startBalancer() {
	s.t.Helper()
	var earlier []string
	if s.effects != nil {
		earlier = s.effects.calls
	}
	s.inFlight = nil
	s.timers = nil
	attempts := map[RequestID]int{}
	s.effects = &recorder{calls: earlier, hook: func(call effectCall) {
		switch call.kind {
		case sendEffect:
			s.inFlight = append(s.inFlight, streamAttempt{call.id, call.endpoint, attempts[call.id], s.now})
			attempts[call.id]++
		case setTimerEffect:
			s.timers = append(s.timers, pendingTimer{s.now + max(call.duration, ms), call.number})
		}
	}}
	b, err := New(s.settings, s.seed, s.now, s.effects)
	if err != nil {
		s.t.Fatal(err)
	}
	s.balancer = b
}

// apply delivers one event to the Balancer.
func (s *eventStream) apply(event streamEvent) {
	s.now += event.after
	switch event.kind {
	case requestEvent:
		s.sendRequest(event)
	case attemptResultEvent:
		s.endAttempt(event)
	case timersEvent:
		fireDueTimers(s.balancer, &s.timers, s.now)
	case endpointUpdateEvent:
		s.changeEndpoints(event)
	case updateFailedEvent:
		s.balancer.OnEndpointUpdate(s.now, UpdateFailed, nil)
	case bodySentEvent:
		if a, ok := s.pickAttempt(event); ok {
			s.balancer.OnBodySent(s.now, a.id, a.index)
		}
	case streamStartedEvent:
		if a, ok := s.pickAttempt(event); ok {
			s.balancer.OnStreamStarted(s.now, a.id, a.index)
		}
	case clientDisconnectedEvent:
		s.balancer.OnClientDisconnected(s.now, s.lastID-RequestID(event.pick%5))
	case healthCheckResultEvent:
		s.endHealthCheck(event)
	case fleetSizeEvent:
		size := FleetSize{Balancers: 1 + event.pick%7, Rank: event.pick % 3, MaxBalancers: 1 + event.pick%9}
		s.balancer.OnFleetSizeChanged(s.now, size)
	case drainZoneEvent:
		s.recordReply("left", s.balancer.DrainZone(s.now, event.zone()))
	case reinstateZoneEvent:
		s.recordReply("returned", s.balancer.ReinstateZone(s.now, event.zone()))
	case restartEvent:
		s.restart(event)
	default:
		s.t.Fatalf("unknown event kind %q", event.kind)
	}
}

// zone returns the zone that an event selects.
func (event streamEvent) zone() string { return []string{"near", "far"}[event.pick%2] }

// recordReply records the Balancer's reply to an operator's command.
func (s *eventStream) recordReply(name string, reply bool) {
	s.effects.record(effectCall{kind: effectKind(fmt.Sprintf("%s %t", name, reply))})
}

func (s *eventStream) sendRequest(event streamEvent) {
	s.lastID++
	class := s.settings.Classes[event.pick%len(s.settings.Classes)]
	request := Request{
		ID:       s.lastID,
		Timeout:  class.Deadline,
		Class:    class.Name,
		CostHint: time.Duration(event.pick%90) * ms,
		Tenant:   s.settings.Tenants[event.pick%len(s.settings.Tenants)].Name,
		Key:      uint64(event.pick % 20),
		HasKey:   event.flag,
		Upload:   event.fraction > 0.9,
	}
	if event.fraction < 0.2 {
		request.Timeout = event.duration
		request.Retry = true
	}
	s.balancer.OnRequest(s.now, request)
}

// pickAttempt returns an attempt in flight, if there is any.
func (s *eventStream) pickAttempt(event streamEvent) (streamAttempt, bool) {
	if len(s.inFlight) == 0 {
		return streamAttempt{}, false
	}
	return s.inFlight[event.pick%len(s.inFlight)], true
}

func (s *eventStream) endAttempt(event streamEvent) {
	a, ok := s.pickAttempt(event)
	if !ok {
		return
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(other streamAttempt) bool { return other == a })
	statuses := []Status{OK, OK, OK, OK, OK, OK, OK, OK, Error, Rejected, Timeout, ConnectFailed, Reset, Cancelled, NotSent}
	result := AttemptResult{
		ID:           a.id,
		Endpoint:     a.endpoint,
		Attempt:      a.index,
		Latency:      s.now - a.sentAt,
		Status:       statuses[event.pick%len(statuses)],
		BodyConsumed: event.flag && event.fraction > 0.8,
	}
	if event.flag {
		result.Load = LoadReport{
			Fields:      HasUtilization | HasInflight | HasQueue,
			Utilization: event.fraction,
			Inflight:    float64(event.pick % 20),
			Queue:       math.Floor(event.fraction * 3),
		}
	}
	s.balancer.OnAttemptResult(s.now, result)
}

func (s *eventStream) endHealthCheck(event streamEvent) {
	s.balancer.OnHealthCheckResult(s.now, HealthCheckResult{
		Endpoint: EndpointID(event.pick%9 + 1),
		Latency:  event.duration,
		Load: LoadReport{
			Fields:      HasUtilization | HasQueue,
			Utilization: event.fraction,
			Queue:       float64(event.pick % 3),
		},
	})
}

// changeEndpoints drains, removes, restarts or reweights an endpoint.
func (s *eventStream) changeEndpoints(event streamEvent) {
	i := event.pick % len(s.endpoints)
	e := &s.endpoints[i]
	switch {
	case event.fraction < 0.3:
		e.State = Draining
	case event.fraction < 0.5:
		e.State = Removed
	case event.fraction < 0.8:
		e.State = Active
		e.StartedAt = s.now - event.duration
	default:
		e.State = Active
		e.Weight = 0.5 + event.fraction
	}
	if event.flag {
		s.balancer.OnEndpointUpdate(s.now, UpdateDelta, s.endpoints[i:i+1])
	} else {
		s.balancer.OnEndpointUpdate(s.now, UpdateComplete, s.endpoints)
	}
}

// restart replaces the Balancer by one that is restored from its snapshot, on one in eight of the restart events.
func (s *eventStream) restart(event streamEvent) {
	if event.pick%8 > 0 {
		return
	}
	snapshot := s.balancer.TakeSnapshot(s.now)
	s.now += event.duration * 100
	s.startBalancer()
	s.balancer.OnEndpointUpdate(s.now, UpdateCached, s.endpoints)
	s.balancer.Restore(s.now, snapshot)
}

// Guards against unintended changes of decisions: on random streams of all events, with every variant of the settings, the
// effects must be the recorded ones. A change that is meant to alter decisions rewrites the file (go test ./balancer -run
// TestActionsAreAsRecorded -renew-actions) and says so in its commit. So does a new version of rapid that generates other
// events.
func TestActionsAreAsRecorded(t *testing.T) {
	variants := settingsVariants()
	names := make([]string, 0, len(variants))
	for name := range variants {
		names = append(names, name)
	}
	slices.Sort(names)
	var lines []string
	for seed := 1; seed <= recordedStreams; seed++ {
		name := names[seed%len(names)]
		s := newEventStream(t, variants[name], uint64(seed))
		for range 4 { // Example returns the same sequence each time, since the seed is the same
			for _, event := range eventSequence.Example(seed) {
				s.apply(event)
			}
		}
		actions, hash := s.effects.hash()
		lines = append(lines, fmt.Sprintf("%s seed=%d actions=%d hash=%016x", name, seed, actions, hash))
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
		t.Errorf("effects differ from the recorded ones:\n got\n%s\nwant\n%s", got, want)
	}
}

// hash returns the number and the hash of the recorded calls, without those of Log, which is no decision.
func (r *recorder) hash() (calls int, hash uint64) {
	sum := fnv.New64a()
	for _, call := range r.calls {
		if !strings.HasPrefix(call, string(logEffect)) {
			fmt.Fprintln(sum, call)
			calls++
		}
	}
	return calls, sum.Sum64()
}
