package balancer

import (
	"math"
	"time"
)

// notificationDelay is the longest time until an endpoint's change counts as notified, whether or not a call has brought
// it.
const notificationDelay = 6 * time.Second

// grow lengthens the backoff after a failed call, up to a longest one, and returns it.
func (d *discoveryRetry) grow(longest time.Duration) time.Duration {
	d.backoff = min(max(d.backoff*backoffGrowthFactor, longest/4), longest)
	return d.backoff
}

// retryDiscovery sets the time of the next call to discovery. The wait grows with each failure and is drawn, so that
// balancers do not call in step. It stays well under notificationDelay, or under the drain grace where discovery pushes:
// after that time a change counts as notified even if no call has succeeded.
func (b *Balancer) retryDiscovery(now time.Duration) {
	longest := min(b.settings.Obligations.PollInterval/8, notificationDelay/4)
	if !b.settings.PollDiscovery {
		longest = b.settings.Obligations.DrainGrace / 4
	}
	backoff := b.discovery.grow(longest)
	wait := backoff/2 + b.drawWait(backoff)
	b.effects.SetTimer(wait, discoveryToken)
	b.log.add(now, DiscoveryCallFailed{RetryIn: wait})
}

// applyEndpoint applies one entry of a list.
func (b *Balancer) applyEndpoint(entry Endpoint, now time.Duration) {
	e := b.endpoints.byID[entry.ID]
	if e == nil {
		if entry.State == Removed {
			return
		}
		e = b.addEndpoint(entry, now)
	}
	if entry.StartedAt > e.StartedAt { // new, or restarted under the same id
		e.outlier.unresponsive = false
		e.outlier.unreachableUntil = now
		e.limit.pausedUntil = now
		if now-entry.StartedAt < b.settings.Obligations.SlowStartWindow {
			b.beginSlowStart(e, entry.StartedAt)
		}
	}
	e.Endpoint = entry
	e.zone = b.endpoints.findOrAddZone(entry.Zone)
	weight := entry.Weight
	if b.settings.Weights == WeightLive { // late, and the same for all balancers: following it at once would oscillate
		weight = e.weight + smoothingFactor*(entry.Weight-e.weight)
	}
	e.weight = max(weight, math.SmallestNonzeroFloat32)
}
