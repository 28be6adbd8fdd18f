package balancer

import (
	"strings"
	"testing"
	"time"
)

// Regression: the queue is processed once per tick, so a request with a short timeout was queued past its deadline.
func TestShortTimeoutIsRejectedImmediately(t *testing.T) {
	b, effects := newTestBalancer(t, testSettings(), fleet(1))
	b.endpoints.known[0].limit.pausedUntil = 2 * time.Hour
	b.OnRequest(time.Hour, Request{ID: 1, Class: "write", Timeout: 10 * ms})
	if effects.count("refuse id=1") != 1 {
		t.Errorf("not rejected immediately: %v", effects.calls)
	}
}

// A request is rejected at once if its class is unknown or no time is left, and within its timeout if there are no endpoints.
// Events of unknown requests and attempts are ignored.
func TestRequestsWithoutEndpointsAreRejected(t *testing.T) {
	b, effects := newTestBalancer(t, testSettings(), nil)
	b.OnRequest(time.Hour, Request{ID: 1, Class: "write", Timeout: 0})
	b.OnRequest(time.Hour, Request{ID: 2, Class: "write", Timeout: -time.Second})
	b.OnRequest(time.Hour, Request{ID: 3, Class: "no such class", Timeout: time.Second})
	if effects.count("refuse") != 3 {
		t.Errorf("not rejected immediately: %v", effects.calls)
	}
	b.OnEndpointUpdate(time.Hour, UpdateComplete, fleet(4))
	b.OnEndpointUpdate(time.Hour, UpdateComplete, nil)
	b.OnRequest(time.Hour, Request{ID: 4, Class: "write", Timeout: time.Second})
	for now := time.Hour; now < time.Hour+time.Second; now += 10 * ms {
		b.OnTimer(now, tickToken)
	}
	b.OnClientDisconnected(time.Hour+time.Second, 77)
	b.OnStreamStarted(time.Hour+time.Second, 77, 0)
	b.OnAttemptResult(time.Hour+time.Second, AttemptResult{ID: 4, Attempt: -1})
	if effects.count("refuse id=4") != 1 || effects.count("send") != 0 {
		t.Errorf("after all endpoints were removed: %v; want request 4 rejected and nothing sent", effects.calls)
	}
}

func TestQueuedRequestsAreSentByPriorityOnceEndpointsAreKnown(t *testing.T) {
	b, effects := newTestBalancer(t, testSettings(), nil)
	for i, class := range []string{"read", "write", "keyed"} {
		b.OnRequest(time.Hour, Request{ID: RequestID(i + 1), Class: class, Timeout: time.Second})
	}
	b.OnEndpointUpdate(time.Hour+50*ms, UpdateComplete, fleet(8))
	var order []string
	for _, call := range effects.calls {
		if strings.HasPrefix(call, "send") {
			order = append(order, strings.Fields(call)[1])
		}
	}
	if strings.Join(order, " ") != "id=3 id=2 id=1" {
		t.Errorf("sent in order %v, want requests 3, 2, 1", order)
	}
}

// Regression: queueing used the mean latency of all classes. It exceeded the latency objective of a class of short requests,
// so these were never queued, but rejected whenever no endpoint was free.
func TestQueueingGoesByTheLatencyOfTheClass(t *testing.T) {
	settings := testSettings()
	settings.Classes[2].LatencyObjective = 200 * ms
	b, effects := newTestBalancer(t, settings, fleet(1))
	now := time.Hour
	id := RequestID(1)
	serve := func(class string, latency time.Duration) {
		now += time.Second
		b.OnRequest(now, Request{ID: id, Class: class, Timeout: time.Second})
		b.OnAttemptResult(now+latency, AttemptResult{ID: id, Endpoint: 1, Latency: latency, Status: OK, RequestClosed: true})
		id++
	}
	for range 60 {
		serve("read", 240*ms)
		serve("write", 40*ms)
	}
	now = 2 * time.Hour
	b.endpoints.known[0].limit.pausedUntil = now + time.Minute
	b.OnRequest(now, Request{ID: 1000, Class: "write", Timeout: time.Second})
	r := b.requests[1000]
	if r == nil || !r.queued || r.workUnits > 0.5 {
		t.Errorf("a request whose objective is five times its class's mean latency was not queued: %v", effects.last())
	}
}

// Regression: under overload a third of all turns went to client retries that had missed the latency objective before they
// were sent.
func TestLateRetryIsRejectedWhileSaturated(t *testing.T) {
	for _, test := range []struct {
		name      string
		timeout   time.Duration // 1 s for the client's first attempt; the objective is 300 ms
		saturated bool
		wantSent  bool
	}{
		{"first attempt", time.Second, true, true},
		{"retry with time left", 950 * ms, true, true},
		{"retry past the objective", 500 * ms, true, false},
		{"retry past the objective, endpoints free", 500 * ms, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b, effects := newTestBalancer(t, testSettings(), fleet(4))
			b.OnRequest(time.Hour, Request{ID: 1, Class: "write", Timeout: time.Second})
			now := time.Hour + time.Second
			if test.saturated {
				b.blocking.saturatedAt = now
			}
			b.OnRequest(now, Request{ID: 2, Class: "write", Timeout: test.timeout})
			sent, rejected := effects.count("send id=2"), effects.count("refuse id=2")
			if (sent == 1) != test.wantSent || sent+rejected != 1 {
				t.Errorf("sent %d times, rejected %d times, want sent: %v; last effect %v", sent, rejected, test.wantSent, effects.last())
			}
		})
	}
}

// Regression: a rejected client got no Retry-After and retried at once, while endpoints were still busy.
func TestRejectionCarriesRetryAfterWhereAllowed(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		settings := testSettings()
		settings.Limits.AllowRetryAfter = allowed
		settings.Limits.MaxRetryAfter = time.Second
		b, effects := newTestBalancer(t, settings, nil)
		var retryAfter time.Duration
		effects.hook = func(call effectCall) {
			if call.kind == rejectEffect {
				retryAfter = call.duration
			}
		}
		b.OnRequest(time.Hour, Request{ID: 1, Class: "read", Timeout: ms}) // too short to be queued
		if effects.count("refuse") != 1 || (retryAfter > 0) != allowed {
			t.Errorf("allowed %v: Retry-After %v, %v", allowed, retryAfter, effects.calls)
		}
	}
}
