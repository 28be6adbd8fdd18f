package balancer

import (
	"testing"
	"time"
)

// The operators' tools show how many endpoints are skipped: draining ones, and unresponsive or unreachable ones until they
// respond again. Removed endpoints are not counted.
func TestEndpointCounts(t *testing.T) {
	list := fleet(4)
	list[3].State = Draining
	b, _ := newTestBalancer(t, testSettings(), list)
	expect := func(after string, now time.Duration, wantKnown, wantSkipped int) {
		t.Helper()
		known, skipped := b.EndpointCounts(now)
		if known != wantKnown || skipped != wantSkipped {
			t.Errorf("after %s: %d known, %d skipped; want %d and %d", after, known, skipped, wantKnown, wantSkipped)
		}
	}
	now := time.Hour
	expect("a drain", now, 4, 1)
	serveRequest(t, b, now, 1)
	b.OnRequest(now, Request{ID: 2, Class: "read", Timeout: time.Second})
	e := b.requests[2].attempts[0].endpoint
	b.OnAttemptResult(now, AttemptResult{ID: 2, Endpoint: e.ID, Latency: ms, Status: ConnectFailed})
	expect("a failed connection", now, 4, 2)
	expect("the backoff", e.outlier.unreachableUntil, 4, 1)
	e.outlier.unresponsive = true
	expect("the response timeout", e.outlier.unreachableUntil, 4, 2)
	b.markResponsive(e, now)
	expect("a response", now, 4, 1)
	b.OnEndpointUpdate(now, UpdateDelta, []Endpoint{{ID: list[3].ID, State: Removed}})
	expect("the removal", now, 3, 0)
}
