package balancer

import (
	"testing"
	"time"
)

// The operators' figure of upstreams that are avoided: those that drain, are silent or could not be reached, until they
// answer again. What has left the list is no part of it.
func TestEndpointCounts(t *testing.T) {
	list := fleet(4)
	list[3].State = Draining
	b, _ := newTestBalancer(t, testSettings(), list)
	is := func(what string, now time.Duration, known, skipped int) {
		t.Helper()
		if k, s := b.EndpointCounts(now); k != known || s != skipped {
			t.Errorf("%s: %d listed, %d avoided, want %d and %d", what, k, s, known, skipped)
		}
	}
	now := time.Hour
	is("a drain", now, 4, 1)
	serveRequest(t, b, now, 1)
	b.OnRequest(now, Request{ID: 2, Class: "read", Timeout: time.Second})
	e := b.requests[2].attempts[0].endpoint
	b.OnAttemptResult(now, AttemptResult{ID: 2, Endpoint: e.ID, Latency: ms, Status: ConnectFailed})
	is("a failed connect", now, 4, 2)
	is("its wait over", e.outlier.unreachableUntil, 4, 1)
	e.outlier.unresponsive = true
	is("silence", e.outlier.unreachableUntil, 4, 2)
	b.markResponsive(e, now)
	is("an answer", now, 4, 1)
	b.OnEndpointUpdate(now, UpdateDelta, []Endpoint{{ID: list[3].ID, State: Removed}})
	is("it has left", now, 3, 0)
}
