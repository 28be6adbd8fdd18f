package proxy

import (
	"time"

	"sprucehill/internal/framing"
	"sprucehill/internal/timelimit"
)

const (
	// clientSendBuffer is how many bytes that its client regards as sent may not have arrived: what a client's system buffers.
	// Linux buffers 4 MiB at most by default, and what is on the way.
	clientSendBuffer = 4<<20 + 512<<10
	// maxEmptyTime is how long there may be no unread bytes while the client waits for the balancer to read: it sends again only
	// after its system has learned that there is room. For a client with little time it is less: see newUploadProgress.
	maxEmptyTime = 2 * timelimit.UploadCheckInterval
	// emptyShare is the part of the client's time for which there may be no unread bytes.
	emptyShare = 4
	// maxProgressSamples bounds the samples that are kept of one upload.
	maxProgressSamples = 64
)

// progressSample is how many bytes of a connection had arrived at a time.
type progressSample struct {
	at      time.Duration // on the loop's clock
	arrived int64
}

// uploadProgress estimates when a client has sent its upload while the upstream reads it more slowly than the client sends: the last
// bytes may wait in the client's system, where the balancer can't see them. It is not safe for concurrent
// use.
//
// If an upstream needs more than the client's time for clientSendBuffer bytes, it can't read the rest of the upload in time either,
// since at least so many bytes are left when the client has sent the last one.
type uploadProgress struct {
	interval     time.Duration // between two samples, at least
	maxEmptyTime time.Duration
	// samples are those of the time in which the client has been waiting, the oldest first.
	samples    []progressSample
	backlogAt  time.Duration // when there were last unread bytes, later by the time for which nothing was observed after that
	observedAt time.Duration // when observe was last called
}

// newUploadProgress returns the estimate for a client that waits for the given time after the last byte.
func newUploadProgress(timeout time.Duration) uploadProgress {
	return uploadProgress{interval: timeout / maxProgressSamples, maxEmptyTime: min(maxEmptyTime, timeout/emptyShare)}
}

// observe records the state of the connection at the time now.
func (p *uploadProgress) observe(now time.Duration, b framing.Backlog) {
	unobserved := now - p.observedAt
	p.observedAt = now
	switch {
	case b.Unread > 0:
		p.backlogAt = now
	case len(p.samples) > 0 && unobserved > maxEmptyTime: // this process was held up
		p.backlogAt += unobserved
	}
	if now-p.backlogAt > p.maxEmptyTime || b.Missing > clientSendBuffer {
		p.samples = nil // the client has not sent everything: it is slower than the upstream, or has too much left
		return
	}
	if len(p.samples) > 0 && now-p.samples[len(p.samples)-1].at < p.interval {
		return
	}
	if len(p.samples) == maxProgressSamples {
		p.samples = append(p.samples[:1], p.samples[2:]...) // the first one bounds the time in which the client has been waiting
	}
	p.samples = append(p.samples, progressSample{at: now, arrived: b.Arrived})
}

// sentAt returns the earliest time at which the client may have sent the last byte, given that so many bytes have arrived now. ok is
// false if it is known to be sending.
func (p *uploadProgress) sentAt(arrived int64) (at time.Duration, ok bool) {
	if len(p.samples) == 0 {
		return 0, false
	}
	at = p.samples[0].at
	for _, sample := range p.samples {
		if sample.arrived+clientSendBuffer <= arrived {
			at = sample.at
		}
	}
	return at, true
}
