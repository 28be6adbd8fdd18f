package balancer

import (
	"testing"
	"time"
)

// The time of an upload begins when it has been written: until then its upstream owes nothing, there is no second copy,
// and its deadline is open. Once a part of it is gone it is not sent again.
func TestUpload(t *testing.T) {
	s := settings()
	s.Limits.AllowHedging = true
	b, h := start(t, s, fleet(4))
	now := time.Hour
	b.OnRequest(now, Request{ID: 1, Class: "read", Timeout: time.Second, Upload: true})
	r := b.requests[1]
	u := r.attempts[0].endpoint
	now += 10 * time.Second
	b.OnTimer(now, tickToken)
	if u.outlier.unresponsive || r.finished || h.count("send id=1") != 1 {
		t.Fatalf("while it is written: silent %v, done %v, %v", u.outlier.unresponsive, r.finished, h.lines)
	}
	b.OnAttemptResult(now, AttemptResult{ID: 1, Endpoint: u.ID, Latency: 10 * time.Second, Status: ConnectFailed})
	if h.count("send id=1") != 2 {
		t.Error("not sent again, though nothing of it is gone")
	}
	b.OnBodySent(now, 1, 1)
	if r.deadline != now+time.Second || r.attempts[1].sentAt != now {
		t.Errorf("deadline %v, sent at %v, want its time to begin at %v", r.deadline, r.attempts[1].sentAt, now)
	}
	now += time.Second / 2
	b.OnTimer(now, tickToken)
	if !r.attempts[1].endpoint.outlier.unresponsive || h.count("send id=1") != 2 {
		t.Errorf("silent %v, sends %d: an upload has no second copy", r.attempts[1].endpoint.outlier.unresponsive, h.count("send id=1"))
	}
	b.OnAttemptResult(now, AttemptResult{ID: 1, Endpoint: r.attempts[1].endpoint.ID, Attempt: 1, Latency: time.Second / 2, Status: Rejected, BodyConsumed: true})
	if h.count("send id=1") != 2 || h.count("refuse id=1") != 1 {
		t.Errorf("a spent one: %v", h.lines)
	}
}
