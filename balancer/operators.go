package balancer

import (
	"slices"
	"time"
)

// DrainZone sends nothing new to a zone until ReinstateZone, whatever discovery says meanwhile. It returns false for a
// zone that is not known, and for the last one with endpoints that is not drained: then nobody could be served.
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

// ReinstateZone takes a drained zone back, by steps. It returns false for a zone that is not drained.
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

// applyZoneChange moves the traffic at once to what the zones are now.
func (b *Balancer) applyZoneChange(now time.Duration) {
	b.rebuildSubset(now)
	b.updateLocality(now)
	b.endpoints.estimateWorkPerWeight()
	b.dispatchQueue(now)
}
