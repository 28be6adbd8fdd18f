package balancer

import "time"

// Utilization, traffic shares and locality weights are ratios.
const (
	minLocalitySubsetEndpoints = 8    // smallest subset with locality-aware routing
	maxLocalShare              = 0.92 // upper bound of the share that stays in a zone or region: the rest measures other zones
	utilizationMarginFactor    = 1.05 // multiple of the fleet's utilization that a zone may have without spillover
	utilizationNoise           = 0.02 // utilization that is tolerated beyond that multiple
	maxLocalUtilization        = 0.7  // utilization above which the local share always shrinks
	localShareGainRatio        = 0.5  // change of the local share per period and unit of excess utilization
	maxLocalShareStep          = 0.05 // largest change of the local share in a period
	minLocalityWeight          = 1e-3 // lower bound of a locality weight: every zone gets some traffic
	maxSpareFactor             = 2    // largest factor by which spare utilization raises or lowers a locality weight
)

// updateLocality adjusts the shares of the traffic that stay in the zone and in the region to the utilization there and
// elsewhere. Steps are small, because all balancers of a zone react in the same way to the same delayed reports.
func (b *Balancer) updateLocality(now time.Duration) {
	home := b.endpoints.findOrAddZone(b.settings.Zone)
	b.locality.home = home
	b.summarizeZones(now)
	all := b.endpoints.summarize(func(*zone) bool { return true })
	region := b.endpoints.summarize(func(z *zone) bool { return z.region == home.region })
	if home.capacity == 0 || home.capacity == all.capacity || b.locality.disabled {
		b.turnOffLocality()
		return
	}
	b.adjustLocalShares(region, all)
	b.setLocalityWeights(region.capacity-home.capacity, all.capacity-region.capacity)
}

// adjustLocalShares adjusts the shares of the traffic that stay in the zone and in the region. The initial local share
// assumes that the clients of all zones send equal load.
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

// adjustShare returns the new share of the traffic that stays in a group of zones. It grows up to maxLocalShare while the
// group has spare utilization. Otherwise it shrinks down to the group's share of the capacity, or to half of that while the
// group is more utilized than all zones together.
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

// setLocalityWeights sets the locality weight of each zone. It is 1 for the home zone. The weights of the others follow from
// the traffic that leaves the home zone, and from the capacity of the rest of the region and of other regions. Among zones
// of the same region the less utilized ones get more.
func (b *Balancer) setLocalityWeights(regionCapacity, outsideCapacity float64) {
	home := b.locality.home
	outsideTraffic := 1 - b.locality.regionShare
	regionTraffic := 1 - b.locality.localShare - outsideTraffic
	if regionCapacity == 0 { // no other zone in this region
		outsideTraffic = 1 - b.locality.localShare
		regionTraffic = 0
	}
	others := b.endpoints.summarize(func(z *zone) bool { return z != home })
	for _, z := range b.endpoints.zones {
		traffic, capacity := regionTraffic, regionCapacity
		if z.region != home.region {
			traffic, capacity = outsideTraffic, outsideCapacity
		}
		if z == home {
			z.localityWeight = 1
		} else if capacity > 0 {
			weight := traffic / b.locality.localShare * home.capacity / capacity * z.spareFactor(others.utilization)
			z.localityWeight = max(minLocalityWeight, weight)
		}
	}
}

// spareFactor is above 1 for a zone that is less utilized than the others on average, and below 1 for one that is more.
func (z *zone) spareFactor(others float64) float64 {
	if z.measuredCapacity == 0 || others == 0 {
		return 1
	}
	factor := (others + utilizationNoise) / (z.meanUtilization() + utilizationNoise)
	return max(1.0/maxSpareFactor, min(maxSpareFactor, factor))
}

// canAnswerInTime reports whether a response from e can arrive before the deadline of r. It is false for endpoints of other
// regions only: every response from there includes the round trip, while a nearby endpoint may respond faster than its mean.
func (b *Balancer) canAnswerInTime(e *endpoint, r *request, now time.Duration) bool {
	if b.locality.home == nil || e.zone.region == b.locality.home.region || e.latency.workUnits == 0 {
		return true
	}
	return r.deadline-now >= time.Duration(e.latency.perUnit()*r.workUnits)
}

// recordMissedTurns marks the local endpoints that were due before best, if best is in another zone. Only their concurrency
// limits have caused the spillover, so these limits may grow.
func (b *Balancer) recordMissedTurns(best *endpoint, now time.Duration) {
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
		best.zone.spilledCount++
	}
}
