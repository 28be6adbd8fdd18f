package proxy

import (
	"time"

	"sprucehill/balancer"
)

// longestStartDelay is how long, at most, a balancer that knows its upstreams from before waits before its first call
// to discovery: of many that start at once each waits for a time of its own.
const longestStartDelay = 250 * time.Millisecond

// maxStartDelay bounds the wait before the first call to discovery. Where lists are pushed, a drain that the agent knows
// of counts as notified from the first moment, so the call has to be answered within the grace for draining endpoints.
func maxStartDelay(s balancer.Settings) time.Duration {
	if s.PollDiscovery {
		return longestStartDelay
	}
	return min(longestStartDelay, s.Obligations.DrainGrace/2)
}
