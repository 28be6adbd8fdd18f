package balancer

import "time"

// Utilization, shares of the traffic and locality weights are ratios.
const (
	minLocalitySubsetEndpoints = 8    // endpoints in use from which they are divided by locality
	maxLocalShare              = 0.92 // of the traffic that stays in a zone or region: the rest brings readings from elsewhere
	utilizationMarginFactor    = 1.05 // multiple of the fleet's utilization that a zone may have without spilling over
	utilizationNoise           = 0.02 // utilization that it may have beyond that multiple
	maxLocalUtilization        = 0.7  // utilization over which the local share always shrinks
	localShareGainRatio        = 0.5  // change of the local share in a period for an excess of full utilization
	maxLocalShareStep          = 0.05 // largest change of the local share in a period
	minLocalityWeight          = 1e-3 // least locality weight: every zone gets some traffic
	maxSpareFactor             = 2    // by which zones alike in distance differ at most for their utilization
)

// updateLocality adjusts how much of the traffic stays in the zone and in the region, by the utilization there and
// elsewhere. All balancers of a zone adjust alike, by the same late reports, so each step is small.
func (b *Balancer) updateLocality(now time.Duration) {
	home := b.endpoints.findOrAddZone(b.settings.Zone)
	b.locality.home = home
	b.summarizeZones(now)
	all := b.endpoints.summarize(func(*zone) bool { return true })
	region := b.endpoints.summarize(func(z *zone) bool { return z.region == home.region })
	if home.capacity == 0 || home.capacity == all.capacity || b.locality.disabled {
		b.endLocality()
		return
	}
	b.adjustLocalShares(region, all)
	b.setLocalityWeights(region.capacity-home.capacity, all.capacity-region.capacity)
}

// adjustLocalShares adjusts the shares of the traffic that stay in the zone and in the region. At first it assumes that the
// clients of each zone send equal load.
func (b *Balancer) adjustLocalShares(region, all zoneGroup) {
	locality := &b.locality
	if locality.localShare == 0 {
		locality.localShare = min(maxLocalShare, b.endpoints.usableZones()*locality.home.capacity/all.capacity)
		locality.regionShare = maxLocalShare
	}
	local := b.endpoints.summarize(func(z *zone) bool { return z == locality.home })
	if all.measured && local.measured {
		locality.localShare = adjustShare(locality.localShare, local, all)
	}
	if all.measured && region.measured {
		locality.regionShare = adjustShare(locality.regionShare, region, all)
	}
	if region.capacity == all.capacity {
		locality.regionShare = 1
	}
	locality.regionShare = max(locality.regionShare, locality.localShare)
}

// adjustShare adjusts the share of the traffic that stays in a group of zones. It grows, up to maxLocalShare, while the
// group has spare utilization. Without spare utilization it shrinks to an even share, and to half of that while the group
// is more utilized than all zones together.
func adjustShare(share float64, group, all zoneGroup) float64 {
	minShare := group.capacity / all.capacity
	acceptable := utilizationMarginFactor*all.utilization + utilizationNoise
	if group.utilization > acceptable {
		minShare /= 2
	}
	change := localShareGainRatio * (min(acceptable, maxLocalUtilization) - group.utilization)
	change = max(-maxLocalShareStep, min(maxLocalShareStep, change))
	return max(minShare, min(maxLocalShare, share+change))
}

// setLocalityWeights sets the locality weight of each zone: 1 for the balancer's own. Weights elsewhere follow from the
// parts of the traffic that leave, and from the capacity near (the rest of the region) and far (other regions). Of zones
// at the same distance the less utilized gets more.
func (b *Balancer) setLocalityWeights(near, far float64) {
	home := b.locality.home
	toFar := 1 - b.locality.regionShare
	toNear := 1 - b.locality.localShare - toFar
	if near == 0 { // whatever leaves goes far
		toFar = 1 - b.locality.localShare
		toNear = 0
	}
	others := b.endpoints.summarize(func(z *zone) bool { return z != home })
	for _, z := range b.endpoints.zones {
		traffic, capacity := toNear, near
		if z.region != home.region {
			traffic, capacity = toFar, far
		}
		if z == home {
			z.localityWeight = 1
		} else if capacity > 0 {
			weight := traffic / b.locality.localShare * home.capacity / capacity * z.spareFactor(others.utilization)
			z.localityWeight = max(minLocalityWeight, weight)
		}
	}
}

// spareFactor is over 1 for a zone with less utilization than the others' mean, and under 1 for one with more.
func (z *zone) spareFactor(others float64) float64 {
	if z.measuredCapacity == 0 || others == 0 {
		return 1
	}
	factor := (others + utilizationNoise) / (z.meanUtilization() + utilizationNoise)
	return max(1.0/maxSpareFactor, min(maxSpareFactor, factor))
}

// canAnswerInTime reports whether a response from e can come before the client gives up. It excludes other regions only:
// their round trip is part of every response, while an endpoint nearby may respond faster than its mean.
func (b *Balancer) canAnswerInTime(e *endpoint, r *request, now time.Duration) bool {
	if b.locality.home == nil || e.zone.region == b.locality.home.region || e.latency.workUnits == 0 {
		return true
	}
	return r.deadline-now >= time.Duration(e.latency.perUnit()*r.workUnits)
}

// noteMissedTurns records which local endpoints were due before a remote one that gets the turn. Only their concurrency
// limits have caused the spillover, so these limits may grow.
func (b *Balancer) noteMissedTurns(best *endpoint, now time.Duration) {
	if b.locality.localShare == 0 || best.Zone == b.settings.Zone {
		return
	}
	missed := false
	for e := range b.endpoints.inUse() {
		if e.Zone == b.settings.Zone && e.nextTurn < best.nextTurn {
			e.limit.missedTurnAt = now
			missed = true
		}
	}
	if missed {
		best.zone.spilled++
	}
}
