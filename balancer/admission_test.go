package balancer

import (
	"strings"
	"testing"
	"time"
)

// A request with a short budget was once held past its deadline, since holds are looked at once a tick.
func TestShortTimeoutIsRejectedImmediately(t *testing.T) {
	b, effects := newTestBalancer(t, testSettings(), fleet(1))
	b.endpoints[0].limit.pausedUntil = 2 * time.Hour
	b.OnRequest(time.Hour, Request{ID: 1, Class: "write", Timeout: 10 * ms})
	if effects.count("refuse id=1") != 1 {
		t.Errorf("not refused at once: %v", effects.calls)
	}
}

// Without a list, with an emptied one, and for a budget that is used up, the answer is true and comes at once or
// within the budget.
func TestRequestsWithoutEndpointsAreRejected(t *testing.T) {
	b, effects := newTestBalancer(t, testSettings(), nil)
	b.OnRequest(time.Hour, Request{ID: 1, Class: "write", Timeout: 0})
	b.OnRequest(time.Hour, Request{ID: 2, Class: "write", Timeout: -time.Second})
	b.OnRequest(time.Hour, Request{ID: 3, Class: "no such class", Timeout: time.Second})
	if effects.count("refuse") != 3 {
		t.Errorf("not refused at once: %v", effects.calls)
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
		t.Errorf("with an emptied list: %v", effects.calls)
	}
}

func TestQueuedRequestsAreSentByPriorityOnceEndpointsAreKnown(t *testing.T) {
	b, effects := newTestBalancer(t, testSettings(), nil)
	for i, class := range []string{"read", "write", "keyed"} {
		b.OnRequest(time.Hour, Request{ID: RequestID(i + 1), Class: class, Timeout: time.Second})
	}
	b.OnEndpointUpdate(time.Hour+50*ms, UpdateComplete, fleet(8))
	var order []string
	for _, l := range effects.calls {
		if strings.HasPrefix(l, "send") {
			order = append(order, strings.Fields(l)[1])
		}
	}
	if strings.Join(order, " ") != "id=3 id=2 id=1" {
		t.Errorf("sent in order %v", order)
	}
}

// A short class was once refused whenever no turn was free: the mean latency of all classes exceeded its aim, so
// there never seemed to be time to hold it.
func TestQueueingGoesByTheLatencyOfTheClass(t *testing.T) {
	s := testSettings()
	s.Classes[2].LatencyObjective = 200 * ms
	b, effects := newTestBalancer(t, s, fleet(1))
	for i := range 60 {
		for j, c := range []struct {
			class string
			lat   time.Duration
		}{{"read", 240 * ms}, {"write", 40 * ms}} {
			now := time.Hour + time.Duration(2*i+j+1)*time.Second
			id := RequestID(2*i + j + 1)
			b.OnRequest(now, Request{ID: id, Class: c.class, Timeout: time.Second})
			b.OnAttemptResult(now+c.lat, AttemptResult{ID: id, Endpoint: 1, Latency: c.lat, Status: OK, RequestClosed: true})
		}
	}
	now := 2 * time.Hour
	b.endpoints[0].limit.pausedUntil = now + time.Minute
	b.OnRequest(now, Request{ID: 1000, Class: "write", Timeout: time.Second})
	if r := b.requests[1000]; r == nil || !r.queued || r.workUnits > 0.5 {
		t.Errorf("a request with five times its usual latency left to its aim was not held: %v", effects.calls[len(effects.calls)-1])
	}
}

// In overload a third of all turns went to clients' later tries whose aim had passed before they were sent.
func TestLateRetryIsRejectedWhileSaturated(t *testing.T) {
	for _, c := range []struct {
		name   string
		budget time.Duration // of 1 s; the aim is 300 ms
		tight  bool
		sent   bool
	}{
		{"first try", time.Second, true, true},
		{"later try with time left", 950 * ms, true, true},
		{"later try past the aim", 500 * ms, true, false},
		{"later try past the aim, turns free", 500 * ms, false, true},
	} {
		b, effects := newTestBalancer(t, testSettings(), fleet(4))
		b.OnRequest(time.Hour, Request{ID: 1, Class: "write", Timeout: time.Second})
		now := time.Hour + time.Second
		if c.tight {
			b.saturatedAt = now
		}
		b.OnRequest(now, Request{ID: 2, Class: "write", Timeout: c.budget})
		if (effects.count("send id=2") == 1) != c.sent || effects.count("send id=2")+effects.count("refuse id=2") != 1 {
			t.Errorf("%s: %v", c.name, effects.calls[len(effects.calls)-1])
		}
	}
}

// A refused client was told nothing, and came back at once to the same full turns.
func TestRejectionCarriesRetryAfterWhereAllowed(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		s := testSettings()
		s.Limits.AllowRetryAfter, s.Limits.MaxRetryAfter = allowed, time.Second
		b, effects := newTestBalancer(t, s, nil)
		var advice time.Duration
		effects.hook = func(kind string, _ RequestID, _ EndpointID, d time.Duration, _ uint64) {
			if kind == "refuse" {
				advice = d
			}
		}
		b.OnRequest(time.Hour, Request{ID: 1, Class: "read", Timeout: ms}) // too short to wait for anybody
		if effects.count("refuse") != 1 || (advice > 0) != allowed {
			t.Errorf("allowed %v: advised %v by %v", allowed, advice, effects.calls)
		}
	}
}
