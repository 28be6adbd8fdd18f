package balancer

import (
	"slices"
	"time"
)

// DrainZone stops new attempts in a zone until ReinstateZone, whatever discovery reports. It returns false, without an
// effect, if the zone is unknown or if no other zone could serve requests.
func (b *Balancer) DrainZone(now time.Duration, name string) bool {
	z := b.endpoints.findZone(name)
	othersServe := slices.ContainsFunc(b.endpoints.known, func(e *endpoint) bool {
		return e.State == Active && !e.zone.drained && e.zone != z
	})
	if z == nil || !othersServe {
		return false
	}
	z.drained = true
	b.applyZoneChange(now)
	return true
}

// ReinstateZone ends the drain of a zone. Its traffic share recovers in steps. It returns false if the zone is not drained.
func (b *Balancer) ReinstateZone(now time.Duration, name string) bool {
	z := b.endpoints.findZone(name)
	if z == nil || !z.drained {
		return false
	}
	z.drained = false
	z.health.recoveredShare = recoveryStep
	z.health.stepAgePeriods = 0
	b.applyZoneChange(now)
	return true
}

// applyZoneChange rebuilds the subset and the traffic shares at once after a zone was drained or reinstated.
func (b *Balancer) applyZoneChange(now time.Duration) {
	b.rebuildSubset(now)
	b.updateLocality(now)
	b.endpoints.estimateWorkPerWeight()
	b.dispatchQueue(now)
}
