package balancer

import (
	"testing"
	"time"
)

// A restarted proxy once counted healthy upstreams as silent at their second answer, because usual
// latency began without a deviation; the rest of the fleet then choked.
func TestFirstAnswersDoNotMakePatienceShort(t *testing.T) {
	b, _ := start(t, settings(), fleet(2))
	serve(t, b, time.Hour, 1)
	serve(t, b, time.Hour, 2)
	if p := b.responseTimeout(b.endpoints[0], 1); p < 150*ms {
		t.Errorf("patience %v after an answer in 50ms", p)
	}
}

// Where flows are thin an upstream's mean is about its last answer; one quick answer once made the next, usual one
// look like silence, and the upstream's turns were skipped.
func TestOneQuickAnswerDoesNotMakePatienceShort(t *testing.T) {
	s := settings()
	s.Balancers = 8
	b, _ := start(t, s, fleet(1))
	u := b.endpoints[0]
	for i, lat := range []time.Duration{100, 110, 100, 90, 10, 10} {
		a := &attempt{request: &request{class: b.classes["write"], workUnits: 1}, endpoint: u}
		b.observeResult(a, AttemptResult{Latency: lat * ms, Status: OK}, time.Hour+time.Duration(i)*time.Second)
	}
	if p := b.responseTimeout(u, 1); p < 200*ms {
		t.Errorf("patience %v where answers take 100ms as a rule", p)
	}
}

func TestSilentUpstreamIsSkippedAndItsWorkRescued(t *testing.T) {
	b, h := start(t, settings(), fleet(4))
	for i := range 40 {
		serve(t, b, time.Hour, RequestID(i+1))
	}
	b.OnRequest(time.Hour, Request{ID: 100, Class: "read", Timeout: time.Second})
	u := b.requests[100].attempts[0].endpoint
	now := time.Hour + b.responseTimeout(u, 1) + 20*ms
	b.OnTimer(now, tickToken)
	if !u.outlier.unresponsive || h.count("cancel id=100") != 1 {
		t.Fatalf("silent %v; %v", u.outlier.unresponsive, h.lines[len(h.lines)-4:])
	}
	b.OnAttemptResult(now, AttemptResult{ID: 100, Endpoint: u.ID, Latency: 400 * ms, Status: Cancelled})
	if r := b.requests[100]; r == nil || r.inFlight != 1 || r.attempts[1].endpoint == u {
		t.Error("the request did not start again elsewhere")
	}
}

// Ten connections that broke at once made ten doublings of the wait, and a live server was left alone for 20 s
// although its other answers kept coming.
func TestConnectionsLostTogetherAreOneFailure(t *testing.T) {
	b, _ := start(t, settings(), fleet(1))
	u, now := b.endpoints[0], 2*time.Hour
	lost := func() {
		b.observeResult(&attempt{request: &request{class: b.classes["write"], workUnits: 1}, endpoint: u}, AttemptResult{Latency: ms, Status: Reset}, now)
	}
	for range 10 {
		lost()
	}
	if wait := u.outlier.unreachableUntil - now; wait != b.tick {
		t.Errorf("left alone for %v after ten lost together, want %v", wait, b.tick)
	}
	now = u.outlier.unreachableUntil
	if lost(); u.outlier.unreachableUntil-now != backoffGrowth*b.tick {
		t.Errorf("left alone for %v after a later one, want %v", u.outlier.unreachableUntil-now, backoffGrowth*b.tick)
	}
	b.observeResult(&attempt{request: &request{class: b.classes["write"], workUnits: 1}, endpoint: u}, AttemptResult{Latency: 50 * ms, Status: OK}, now)
	if !b.isEligible(u, &request{class: b.classes["write"]}, now) {
		t.Error("still left alone after an answer")
	}
}
