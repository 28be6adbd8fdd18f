package balancer

import "time"

// turnOrder is the state of the weighted round robin by which endpoints take turns.
type turnOrder struct {
	virtualTime float64 // due time of the latest turn taken, counted in turns of all endpoints
}

// blockingTimes records when requests found no available endpoint.
type blockingTimes struct {
	saturatedAt   time.Duration // last time that admit found no endpoint
	lastAttemptAt time.Duration // start of the last attempt of any request
	blockedSince  time.Duration // first time since the last attempt that a request found no endpoint
}

// recordBlocked records that a request found no endpoint.
func (t *blockingTimes) recordBlocked(now time.Duration) {
	if t.lastAttemptAt >= t.blockedSince {
		t.blockedSince = now
	}
}

// blockedFor returns for how long no request has found an endpoint. It must follow recordBlocked.
func (t *blockingTimes) blockedFor(now time.Duration) time.Duration { return now - t.blockedSince }
