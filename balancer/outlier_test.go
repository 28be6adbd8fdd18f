package balancer

import (
	"testing"
	"time"
)

// A restarted proxy once counted healthy upstreams as silent at their second answer, because usual
// latency began without a deviation; the rest of the fleet then choked.
func TestResponseTimeoutStaysLongAfterFirstResponses(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fleet(2))
	serveRequest(t, b, time.Hour, 1)
	serveRequest(t, b, time.Hour, 2)
	if p := b.responseTimeout(b.endpoints[0], 1); p < 150*ms {
		t.Errorf("patience %v after an answer in 50ms", p)
	}
}

// Where flows are thin an upstream's mean is about its last answer; one quick answer once made the next, usual one
// look like silence, and the upstream's turns were skipped.
func TestResponseTimeoutIsNotShortenedByOneFastResponse(t *testing.T) {
	s := testSettings()
	s.Balancers = 8
	b, _ := newTestBalancer(t, s, fleet(1))
	e := b.endpoints[0]
	for i, lat := range []time.Duration{100, 110, 100, 90, 10, 10} {
		a := &attempt{request: &request{class: b.classes["write"], workUnits: 1}, endpoint: e}
		b.observeResult(a, AttemptResult{Latency: lat * ms, Status: OK}, time.Hour+time.Duration(i)*time.Second)
	}
	if p := b.responseTimeout(e, 1); p < 200*ms {
		t.Errorf("patience %v where answers take 100ms as a rule", p)
	}
}

func TestUnresponsiveEndpointIsEjectedAndItsRequestsRetried(t *testing.T) {
	b, effects := newTestBalancer(t, testSettings(), fleet(4))
	for i := range 40 {
		serveRequest(t, b, time.Hour, RequestID(i+1))
	}
	b.OnRequest(time.Hour, Request{ID: 100, Class: "read", Timeout: time.Second})
	e := b.requests[100].attempts[0].endpoint
	now := time.Hour + b.responseTimeout(e, 1) + 20*ms
	b.OnTimer(now, tickToken)
	if !e.outlier.unresponsive || effects.count("cancel id=100") != 1 {
		t.Fatalf("silent %v; %v", e.outlier.unresponsive, effects.calls[len(effects.calls)-4:])
	}
	b.OnAttemptResult(now, AttemptResult{ID: 100, Endpoint: e.ID, Latency: 400 * ms, Status: Cancelled})
	if r := b.requests[100]; r == nil || r.inFlight != 1 || r.attempts[1].endpoint == e {
		t.Error("the request did not start again elsewhere")
	}
}

// Ten connections that broke at once made ten doublings of the wait, and a live server was left alone for 20 s
// although its other answers kept coming.
func TestSimultaneousConnectionLossesCountAsOneFailure(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fleet(1))
	e, now := b.endpoints[0], 2*time.Hour
	lost := func() {
		b.observeResult(&attempt{request: &request{class: b.classes["write"], workUnits: 1}, endpoint: e}, AttemptResult{Latency: ms, Status: Reset}, now)
	}
	for range 10 {
		lost()
	}
	if wait := e.outlier.unreachableUntil - now; wait != b.tick {
		t.Errorf("left alone for %v after ten lost together, want %v", wait, b.tick)
	}
	now = e.outlier.unreachableUntil
	if lost(); e.outlier.unreachableUntil-now != backoffGrowth*b.tick {
		t.Errorf("left alone for %v after a later one, want %v", e.outlier.unreachableUntil-now, backoffGrowth*b.tick)
	}
	b.observeResult(&attempt{request: &request{class: b.classes["write"], workUnits: 1}, endpoint: e}, AttemptResult{Latency: 50 * ms, Status: OK}, now)
	if !b.isEligible(e, &request{class: b.classes["write"]}, now) {
		t.Error("still left alone after an answer")
	}
}
