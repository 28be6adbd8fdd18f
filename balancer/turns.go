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

// noteBlocked records that a request found no endpoint.
func (t *blockingTimes) noteBlocked(now time.Duration) {
	if t.lastAttemptAt >= t.blockedSince {
		t.blockedSince = now
	}
}

// blockedFor returns for how long no request has found an endpoint. The last one must have found none.
func (t *blockingTimes) blockedFor(now time.Duration) time.Duration { return now - t.blockedSince }
