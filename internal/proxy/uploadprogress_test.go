package proxy

import (
	"testing"
	"time"

	"sprucehill/internal/framing"
	"sprucehill/internal/timelimit"
)

// A client that waits for the balancer to read is taken to wait since it began to, although this process is held up and then finds
// nothing unread once: its upstream has read in the meantime. Guards against a final response that is late by the time before that.
func TestHeldUpProcessDoesNotRestartTheTimeOfAnUpload(t *testing.T) {
	const (
		step    = timelimit.UploadCheckInterval
		heldUp  = timelimit.MaxSchedulingDelay
		arrived = 1 << 20
	)
	p := newUploadProgress(2 * time.Second)
	now := time.Minute
	began := now
	observe := func(unread int, until time.Duration) {
		for ; now < until; now += step {
			p.observe(now, framing.Backlog{Unread: unread, Arrived: arrived})
		}
	}
	for range 3 {
		observe(100_000, now+10*step)
		now += heldUp
		observe(0, now+step)
	}
	observe(100_000, now+step)
	if at, waiting := p.sentAt(arrived); !waiting || at != began {
		t.Errorf("waits %v, since %v after the beginning; want since the beginning", waiting, at-began)
	}
	observe(0, now+10*step) // the client sends no more although there is room
	if at, waiting := p.sentAt(arrived); waiting {
		t.Errorf("waits since %v after the beginning although there has been room for %v", at-began, 10*step)
	}
}
