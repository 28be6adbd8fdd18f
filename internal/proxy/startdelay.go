package proxy

import (
	"time"

	"sprucehill/balancer"
)

// longestStartDelay is the maximum random delay before the first call to discovery of a balancer that has restored its
// endpoint list. It spreads the calls of many balancers that start at once.
const longestStartDelay = 250 * time.Millisecond

// maxStartDelay returns the maximum delay before the first call to discovery. In push mode, a drain that the agent knows of
// counts as notified from the start, so the call must be answered within the grace period for draining endpoints.
func maxStartDelay(s balancer.Settings) time.Duration {
	if s.PollDiscovery {
		return longestStartDelay
	}
	return min(longestStartDelay, s.Obligations.DrainGrace/2)
}
