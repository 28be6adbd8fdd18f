package balancer

import (
	"testing"
	"time"
)

// The time of an upload begins when it has been written: until then its upstream owes nothing, there is no second copy,
// and its deadline is open. Once a part of it is gone it is not sent again.
func TestUpload(t *testing.T) {
	s := testSettings()
	s.Limits.AllowHedging = true
	b, effects := newTestBalancer(t, s, fleet(4))
	now := time.Hour
	b.OnRequest(now, Request{ID: 1, Class: "read", Timeout: time.Second, Upload: true})
	r := b.requests[1]
	e := r.attempts[0].endpoint
	now += 10 * time.Second
	b.OnTimer(now, tickToken)
	if e.outlier.unresponsive || r.finished || effects.count("send id=1") != 1 {
		t.Fatalf("while it is written: silent %v, done %v, %v", e.outlier.unresponsive, r.finished, effects.calls)
	}
	b.OnAttemptResult(now, AttemptResult{ID: 1, Endpoint: e.ID, Latency: 10 * time.Second, Status: ConnectFailed})
	if effects.count("send id=1") != 2 {
		t.Error("not sent again, though nothing of it is gone")
	}
	b.OnBodySent(now, 1, 1)
	if r.deadline != now+time.Second || r.attempts[1].sentAt != now {
		t.Errorf("deadline %v, sent at %v, want its time to begin at %v", r.deadline, r.attempts[1].sentAt, now)
	}
	now += time.Second / 2
	b.OnTimer(now, tickToken)
	if !r.attempts[1].endpoint.outlier.unresponsive || effects.count("send id=1") != 2 {
		t.Errorf("silent %v, sends %d: an upload has no second copy", r.attempts[1].endpoint.outlier.unresponsive, effects.count("send id=1"))
	}
	b.OnAttemptResult(now, AttemptResult{ID: 1, Endpoint: r.attempts[1].endpoint.ID, Attempt: 1, Latency: time.Second / 2, Status: Rejected, BodyConsumed: true})
	if effects.count("send id=1") != 2 || effects.count("refuse id=1") != 1 {
		t.Errorf("a spent one: %v", effects.calls)
	}
}
