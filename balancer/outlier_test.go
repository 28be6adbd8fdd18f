package balancer

import (
	"testing"
	"time"
)

// Regression: after a restart healthy endpoints counted as unresponsive at their second response, because the moving average
// of their latency deviation began at 0. The rest of the fleet was then overloaded.
func TestResponseTimeoutStaysLongAfterFirstResponses(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fleet(2))
	serveRequest(t, b, time.Hour, 1)
	serveRequest(t, b, time.Hour, 2)
	timeout := b.responseTimeout(b.endpoints.known[0], 1)
	if timeout < 150*ms {
		t.Errorf("response timeout %v after a response in 50ms, want 150ms at least", timeout)
	}
}

// Regression: if responses are rare, the mean latency of an endpoint is close to that of its last response. After one fast
// response the next one of normal latency was overdue, and the endpoint was ejected.
func TestResponseTimeoutIsNotShortenedByOneFastResponse(t *testing.T) {
	settings := testSettings()
	settings.Balancers = 8
	b, _ := newTestBalancer(t, settings, fleet(1))
	e := b.endpoints.known[0]
	for i, latency := range []time.Duration{100, 110, 100, 90, 10, 10} {
		observeWrite(b, e, OK, latency*ms, time.Hour+time.Duration(i)*time.Second)
	}
	timeout := b.responseTimeout(e, 1)
	if timeout < 200*ms {
		t.Errorf("response timeout %v, though most responses take about 100ms; want 200ms at least", timeout)
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
		t.Fatalf("unresponsive %v, want true and one cancelled attempt; last effects %v",
			e.outlier.unresponsive, effects.calls[len(effects.calls)-4:])
	}
	b.OnAttemptResult(now, AttemptResult{ID: 100, Endpoint: e.ID, Latency: 400 * ms, Status: Cancelled})
	r := b.requests[100]
	if r == nil || r.inFlight != 1 || r.attempts[1].endpoint == e {
		t.Error("the request was not retried at another endpoint")
	}
}

// Regression: ten connections lost at the same time doubled the backoff ten times, and an endpoint that still served other
// requests got none for 20 s.
func TestSimultaneousConnectionLossesCountAsOneFailure(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fleet(1))
	e := b.endpoints.known[0]
	now := 2 * time.Hour
	for range 10 {
		observeWrite(b, e, Reset, ms, now)
	}
	backoff := e.outlier.unreachableUntil - now
	if backoff != b.tick {
		t.Errorf("backoff %v after ten simultaneous losses, want %v", backoff, b.tick)
	}
	now = e.outlier.unreachableUntil
	observeWrite(b, e, Reset, ms, now)
	backoff = e.outlier.unreachableUntil - now
	if backoff != backoffGrowthFactor*b.tick {
		t.Errorf("backoff %v after a later loss, want %v", backoff, backoffGrowthFactor*b.tick)
	}
	observeWrite(b, e, OK, 50*ms, now)
	if !b.isEligible(e, &request{class: b.clients.classes["write"]}, now) {
		t.Error("not eligible after a response")
	}
}
