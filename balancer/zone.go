package balancer

import (
	"slices"
	"strings"
	"time"
)

// zone is what this balancer knows of the endpoints of one zone together.
type zone struct {
	name             string
	region           string  // the part of the name before the slash; without one all zones are of one region
	listed           int     // endpoints
	localityWeight   float64 // by which traffic shares in the zone count; 1 everywhere: no locality
	capacity         float64 // of its usable endpoints: traffic shares without the locality weight
	utilizationSum   float64 // of those with readings, weighted by their capacity
	measuredCapacity float64 // of those with readings
	drained          bool    // by operators: it gets nothing new
	health           zoneHealth
	attempts         int // so far
	spilled          int // those of them that only the limits of local endpoints sent here
}

// zoneHealth is the evidence on a zone as a whole, and its state.
type zoneHealth struct {
	ejected        bool    // on the evidence of its endpoints: it gets trials only
	recovering     bool    // it was ejected, and its share grows again
	recoveredShare float64 // fraction of its share that it has; 1: all
	stepAgePeriods int     // since its last recovery step
	stepMultiple   int     // how long a step lasts, in units of minStepPeriods
	members        int     // endpoints of the subset
	unhealthy      int     // members that give no good responses
	responsive     int     // other members that have responded lately, or have an attempt in flight
	overdue        int     // other members whose response is overdue
	slow           int     // responsive members whose latency is far over its baseline
	erring         int     // members that have failed since the zone last gave a good response
	succeededAt    time.Duration
	trialSuccesses int // in a row
	trial          *attempt
	nextTrialAt    time.Duration
	backoff        time.Duration // between trials
}

// resetEvidence clears the counters of evidence.
func (h *zoneHealth) resetEvidence() {
	h.members = 0
	h.unhealthy = 0
	h.responsive = 0
	h.overdue = 0
	h.slow = 0
	h.erring = 0
}

// beginRecovery gives an ejected zone the first step of its share.
func (h *zoneHealth) beginRecovery() {
	h.ejected = false
	h.recovering = true
	h.recoveredShare = recoveryStep
	h.stepAgePeriods = 0
}

// degrade reduces the share of a zone to degradedFraction.
func (h *zoneHealth) degrade() {
	h.recoveredShare = degradedFraction
	h.stepAgePeriods = 0
}

// findOrAddZone returns the zone of a name, and adds it if it is not known yet.
func (s *endpointSet) findOrAddZone(name string) *zone {
	known := s.findZone(name)
	if known != nil {
		return known
	}
	region, _, found := strings.Cut(name, "/")
	if !found {
		region = ""
	}
	z := &zone{name: name, region: region, localityWeight: 1, health: zoneHealth{recoveredShare: 1, stepMultiple: 1}}
	s.zones = append(s.zones, z)
	return z
}

// findZone is a zone that is known, or nil.
func (s *endpointSet) findZone(name string) *zone {
	i := slices.IndexFunc(s.zones, func(z *zone) bool { return z.name == name })
	if i < 0 {
		return nil
	}
	return s.zones[i]
}

// meanUtilization is that of its endpoints with readings; it needs some.
func (z *zone) meanUtilization() float64 { return z.utilizationSum / z.measuredCapacity }

// getsTraffic reports whether a zone gets traffic beyond trials.
func (z *zone) getsTraffic() bool { return !z.drained && !z.health.ejected }

// isUsable reports whether an endpoint counts for the capacity of its zone.
func (e *endpoint) isUsable() bool { return !e.outlier.unresponsive && e.zone.getsTraffic() }

// shareFactor is what traffic shares count for in a zone that is in use.
func (z *zone) shareFactor() float64 { return z.localityWeight * z.health.recoveredShare }

// endLocality leaves the distribution between zones to the traffic shares alone.
func (b *Balancer) endLocality() {
	b.locality.localShare = 0
	for _, z := range b.endpoints.zones {
		z.localityWeight = 1
	}
}

// summarizeZones sums up what is known of each zone, and forgets those without endpoints.
func (b *Balancer) summarizeZones(now time.Duration) {
	for _, z := range b.endpoints.zones {
		z.listed = 0
		z.capacity = 0
		z.utilizationSum = 0
		z.measuredCapacity = 0
	}
	for _, e := range b.endpoints.known {
		e.zone.listed++
	}
	b.endpoints.zones = slices.DeleteFunc(b.endpoints.zones, func(z *zone) bool {
		return z.listed == 0 && z.name != b.settings.Zone && !z.drained
	})
	for e := range b.endpoints.inUse() {
		if !e.isUsable() {
			continue
		}
		b.expireSlowStart(e, now)
		capacity := b.trafficShare(e, now) / e.zone.localityWeight
		e.zone.capacity += capacity
		if e.utilization.readings > 0 && !e.slowStart.active {
			e.zone.utilizationSum += e.utilization.mean * capacity
			e.zone.measuredCapacity += capacity
		}
	}
}

// zoneGroup is what some zones have together.
type zoneGroup struct {
	capacity    float64
	utilization float64 // the mean
	measured    bool    // there are readings
}

// summarize adds up the zones that a function selects.
func (s *endpointSet) summarize(selects func(*zone) bool) zoneGroup {
	var group zoneGroup
	var utilizationSum, measuredCapacity float64
	for _, z := range s.zones {
		if selects(z) {
			group.capacity += z.capacity
			utilizationSum += z.utilizationSum
			measuredCapacity += z.measuredCapacity
		}
	}
	if measuredCapacity > 0 {
		group.utilization = utilizationSum / measuredCapacity
		group.measured = true
	}
	return group
}

// usableZones is how many zones have capacity.
func (s *endpointSet) usableZones() (count float64) {
	for _, z := range s.zones {
		if z.capacity > 0 {
			count++
		}
	}
	return count
}

// countEvidence counts the evidence of all endpoints for their zones, and returns their number and weight.
func (b *Balancer) countEvidence(now time.Duration) (members int, totalWeight float64) {
	for _, z := range b.endpoints.zones {
		z.health.resetEvidence()
	}
	for e := range b.endpoints.inUse() {
		members++
		totalWeight += e.weight
		b.countEndpoint(e, now)
	}
	return members, totalWeight
}

// weightOutside is the weight of all usable endpoints outside a zone.
func (s *endpointSet) weightOutside(z *zone) (weight float64) {
	for e := range s.inUse() {
		if e.zone != z && e.isUsable() {
			weight += e.weight
		}
	}
	return weight
}

// updateZoneHealth judges every zone by its endpoints.
func (b *Balancer) updateZoneHealth(now time.Duration) {
	members, totalWeight := b.countEvidence(now)
	b.detectCorrelatedFailure(now)
	unhealthy := 0
	for _, z := range b.endpoints.zones {
		z.health.countErring()
		unhealthy += z.health.unhealthy
	}
	changed := false
	for _, z := range b.endpoints.zones {
		unhealthyElsewhere := float64(unhealthy-z.health.unhealthy) / float64(max(1, members-z.health.members))
		if b.updateZoneState(z, unhealthyElsewhere, totalWeight, now) {
			changed = true
		}
		z.health.endRecovery()
	}
	if changed {
		b.endpoints.estimateWorkPerWeight()
	}
}

// countLate counts the endpoints that respond late or not at all, and the responsive ones, in zones that respond.
func (s *endpointSet) countLate() (late, responsive int) {
	for _, z := range s.zones {
		if z.health.responsive > 0 {
			late += z.health.unhealthy + z.health.overdue + z.health.slow
			responsive += z.health.responsive
		}
	}
	return late, responsive
}
