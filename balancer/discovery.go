package balancer

import (
	"math"
	"time"
)

// notificationDelay is the time after which this balancer counts as notified of an endpoint's change, even if no call to
// discovery has returned it.
const notificationDelay = 6 * time.Second

// nextBackoff increases the backoff after a failed call, up to longest, and returns it.
func (d *discoveryRetry) nextBackoff(longest time.Duration) time.Duration {
	d.backoff = min(max(d.backoff*backoffGrowthFactor, longest/4), longest)
	return d.backoff
}

// retryDiscovery schedules the next call to discovery with exponential backoff and jitter, so that balancers do not call in
// lockstep. The wait stays well below notificationDelay, or below the drain grace where discovery pushes changes: after that
// time the balancer counts as notified even if no call has succeeded.
func (b *Balancer) retryDiscovery(now time.Duration) {
	longest := min(b.settings.Obligations.PollInterval/8, notificationDelay/4)
	if !b.settings.PollDiscovery {
		longest = b.settings.Obligations.DrainGrace / 4
	}
	backoff := b.discovery.nextBackoff(longest)
	wait := backoff/2 + b.randomDelay(backoff)
	b.effects.SetTimer(wait, discoveryToken)
	b.log.add(now, DiscoveryCallFailed{RetryIn: wait})
}

// applyEndpoint applies one entry of an endpoint list.
func (b *Balancer) applyEndpoint(entry Endpoint, now time.Duration) {
	e := b.endpoints.byID[entry.ID]
	if e == nil {
		if entry.State == Removed {
			return
		}
		e = b.addEndpoint(entry, now)
	}
	if entry.StartedAt > e.StartedAt { // new, or restarted with the same ID
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
	if b.settings.Weights == WeightLive { // all balancers get it with the same delay: unsmoothed, traffic would oscillate
		weight = e.weight + smoothingFactor*(entry.Weight-e.weight)
	}
	e.weight = max(weight, math.SmallestNonzeroFloat32)
}
