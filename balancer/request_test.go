package balancer

import (
	"testing"
	"time"
)

// The timeout of an upload begins when its body has been sent. Until then the request has no deadline, and its endpoint does
// not count as unresponsive. An upload is never hedged, and not retried once part of its body has been consumed.
func TestUpload(t *testing.T) {
	settings := testSettings()
	settings.Limits.AllowHedging = true
	b, effects := newTestBalancer(t, settings, fleet(4))
	now := time.Hour
	b.OnRequest(now, Request{ID: 1, Class: "read", Timeout: time.Second, Upload: true})
	r := b.requests[1]
	first := r.attempts[0].endpoint
	now += 10 * time.Second
	b.OnTimer(now, tickToken)
	if first.outlier.unresponsive || r.finished || effects.count("send id=1") != 1 {
		t.Fatalf("before its body is sent: unresponsive %v, finished %v, %v", first.outlier.unresponsive, r.finished, effects.calls)
	}
	b.OnAttemptResult(now, AttemptResult{ID: 1, Endpoint: first.ID, Latency: 10 * time.Second, Status: ConnectFailed})
	if effects.count("send id=1") != 2 {
		t.Error("not retried, though no part of its body was consumed")
	}
	b.OnBodySent(now, 1, 1)
	if r.deadline != now+time.Second || r.attempts[1].sentAt != now {
		t.Errorf("deadline %v, sent at %v; want the timeout to begin at %v", r.deadline, r.attempts[1].sentAt, now)
	}
	now += time.Second / 2
	b.OnTimer(now, tickToken)
	second := r.attempts[1].endpoint
	if !second.outlier.unresponsive || effects.count("send id=1") != 2 {
		t.Errorf("unresponsive %v, %d sends, want 2: an upload is not hedged", second.outlier.unresponsive, effects.count("send id=1"))
	}
	b.OnAttemptResult(now, AttemptResult{
		ID: 1, Endpoint: second.ID, Attempt: 1, Latency: time.Second / 2, Status: Rejected, BodyConsumed: true,
	})
	if effects.count("send id=1") != 2 || effects.count("refuse id=1") != 1 {
		t.Errorf("after its body was consumed: %v", effects.calls)
	}
}

// The timeout of an upload begins when its body has been received, before or after it is sent. A later OnBodySent does not extend
// it. Guards against an upload that is sent, or waits in the queue, after its client has given up.
func TestUploadTimeoutBeginsWhenTheBodyIsReceived(t *testing.T) {
	const received, left = time.Hour + 100*time.Millisecond, 700 * time.Millisecond
	upload := Request{ID: 1, Class: "read", Timeout: time.Second, Upload: true}
	t.Run("in flight", func(t *testing.T) {
		b, effects := newTestBalancer(t, testSettings(), fleet(4))
		b.OnRequest(time.Hour, upload)
		r := b.requests[1]
		b.OnBodyReceived(received, 1, left)
		b.OnBodySent(received+50*time.Millisecond, 1, 0)
		if r.deadline != received+left {
			t.Errorf("deadline %v, want %v", r.deadline, received+left)
		}
		b.OnAttemptResult(received+left, AttemptResult{ID: 1, Endpoint: r.attempts[0].endpoint.ID, Status: ConnectFailed})
		if effects.count("send id=1") != 1 || effects.count("refuse id=1") != 1 {
			t.Errorf("after its deadline: %v", effects.calls)
		}
	})
	t.Run("queued", func(t *testing.T) {
		b, effects := newTestBalancer(t, testSettings(), nil)
		b.OnRequest(time.Hour, upload)
		if !b.requests[1].queued {
			t.Fatal("not queued")
		}
		b.OnBodyReceived(time.Hour, 1, 2*b.tick)
		b.OnTimer(time.Hour+b.tick, tickToken)
		if effects.count("refuse id=1") != 1 {
			t.Errorf("one tick before its deadline: %v", effects.calls)
		}
	})
	t.Run("unknown or finished", func(t *testing.T) {
		b, _ := newTestBalancer(t, testSettings(), fleet(4))
		b.OnBodyReceived(time.Hour, 77, left)
		b.OnRequest(time.Hour, upload)
		b.OnClientDisconnected(time.Hour, 1)
		b.OnBodyReceived(received, 1, left)
	})
}
