package balancer

import "time"

// turnOrder is the state of the interleave by which endpoints take turns.
type turnOrder struct {
	virtualTime float64 // the latest turn that was taken, in turns of all endpoints
}

// blockingTimes records when requests found no endpoint.
type blockingTimes struct {
	saturatedAt   time.Duration // last time that no endpoint could take a request
	lastAttemptAt time.Duration // of any request
	blockedSince  time.Duration // the first request after the last attempt that no endpoint could take
}

// blockedFor records that a request found no endpoint, and returns for how long all have.
func (t *blockingTimes) blockedFor(now time.Duration) time.Duration {
	if t.lastAttemptAt >= t.blockedSince {
		t.blockedSince = now
	}
	return now - t.blockedSince
}
