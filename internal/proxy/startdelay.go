package proxy

import (
	"time"

	"sprucehill/balancer"
)

// defaultMaxStartDelay is the maximum random delay before the first call to discovery of a balancer that has restored its
// endpoint list, unless the settings require a shorter one. The delay spreads the calls of many balancers that start at
// once.
const defaultMaxStartDelay = 250 * time.Millisecond

// maxStartDelay returns the maximum delay before the first call to discovery. In push mode, a drain that the agent knows of
// counts as notified from the start, so the call must be answered within the grace period for draining endpoints.
func maxStartDelay(s balancer.Settings) time.Duration {
	if s.PollDiscovery {
		return defaultMaxStartDelay
	}
	return min(defaultMaxStartDelay, s.Obligations.DrainGrace/2)
}
