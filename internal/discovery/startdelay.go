package discovery

import (
	"math/rand/v2"
	"time"

	"sprucehill/balancer"
)

// DefaultMaxStartDelay is the maximum random delay before the first call to discovery of a balancer that has restored its
// endpoint list, unless the settings require a shorter one. The delay spreads the calls of many balancers that start at
// once.
const DefaultMaxStartDelay = 250 * time.Millisecond

// maxStartDelay returns the maximum delay before the first call to discovery. In push mode, a drain that the agent knows of
// counts as notified from the start, so the call must be answered within the grace period for draining endpoints.
func maxStartDelay(s balancer.Settings) time.Duration {
	if s.PollDiscovery {
		return DefaultMaxStartDelay
	}
	return min(DefaultMaxStartDelay, s.Obligations.DrainGrace/2)
}

// DelayFirstCall delays the first call of the next watch by a random time, which the seed determines.
func (w *Watcher) DelayFirstCall(seed uint64, settings balancer.Settings) {
	random := rand.New(rand.NewPCG(seed, 1))
	w.client.delayFirstCall(time.Duration(random.Int64N(int64(maxStartDelay(settings)) + 1)))
}
