package balancer

import (
	"slices"
	"strings"
	"time"
)

// zone is the state of a zone and summarizes its endpoints.
type zone struct {
	name             string
	region           string  // part of the name before the slash; zones without one belong to one unnamed region
	listed           int     // number of known endpoints
	localityWeight   float64 // factor of the traffic shares in the zone; 1 in all zones without locality
	capacity         float64 // sum of the usable endpoints' traffic shares without the locality weight
	utilizationSum   float64 // of endpoints with readings, weighted by their capacity
	measuredCapacity float64 // capacity of the endpoints with readings
	drained          bool    // by operators: it gets no new attempts
	health           zoneHealth
	attemptCount     int // since the start
	spilledCount     int // attempts that spilled over from the local zone only because of its concurrency limits
}

// zoneHealth is the health state of a zone, with the evidence from its endpoints in the subset, its members.
type zoneHealth struct {
	ejected        bool    // on the evidence of its members: it gets trials only
	recovering     bool    // it was ejected, and its traffic share is growing again
	recoveredShare float64 // fraction of its traffic share that it gets; 1: all
	stepAgePeriods int     // periods since its last recovery step
	stepMultiple   int     // duration of a recovery step, in units of minStepPeriods
	members        int
	unhealthy      int // members without successful responses now
	responsive     int // other members that have responded recently or have an attempt in flight
	overdue        int // other members with an overdue response
	slow           int // responsive members whose latency is far above its baseline
	failing        int // members that have failed since the last successful response in the zone
	succeededAt    time.Duration
	trialSuccesses int // consecutive
	trial          *attempt
	nextTrialAt    time.Duration
	backoff        time.Duration // between trials
}

// resetEvidence sets the counters of evidence to 0.
func (h *zoneHealth) resetEvidence() {
	h.members = 0
	h.unhealthy = 0
	h.responsive = 0
	h.overdue = 0
	h.slow = 0
	h.failing = 0
}

// beginRecovery ends the ejection of a zone with the first step of its traffic share.
func (h *zoneHealth) beginRecovery() {
	h.ejected = false
	h.recovering = true
	h.recoveredShare = recoveryStep
	h.stepAgePeriods = 0
}

// degrade reduces the traffic share of a zone to degradedFraction.
func (h *zoneHealth) degrade() {
	h.recoveredShare = degradedFraction
	h.stepAgePeriods = 0
}

// findOrAddZone returns the zone with a name, and adds it if it is not known yet.
func (s *endpointSet) findOrAddZone(name string) *zone {
	existing := s.findZone(name)
	if existing != nil {
		return existing
	}
	region, _, found := strings.Cut(name, "/")
	if !found {
		region = ""
	}
	z := &zone{name: name, region: region, localityWeight: 1, health: zoneHealth{recoveredShare: 1, stepMultiple: 1}}
	s.zones = append(s.zones, z)
	return z
}

// findZone returns the zone with a name, or nil.
func (s *endpointSet) findZone(name string) *zone {
	i := slices.IndexFunc(s.zones, func(z *zone) bool { return z.name == name })
	if i < 0 {
		return nil
	}
	return s.zones[i]
}

// meanUtilization returns the mean utilization of the endpoints with readings. measuredCapacity must not be 0.
func (z *zone) meanUtilization() float64 { return z.utilizationSum / z.measuredCapacity }

// getsTraffic reports whether a zone gets traffic beyond trials.
func (z *zone) getsTraffic() bool { return !z.drained && !z.health.ejected }

// isUsable reports whether an endpoint counts towards the capacity of its zone.
func (e *endpoint) isUsable() bool { return !e.outlier.unresponsive && e.zone.getsTraffic() }

// shareFactor returns the factor of the traffic shares of the zone's endpoints.
func (z *zone) shareFactor() float64 { return z.localityWeight * z.health.recoveredShare }

// turnOffLocality gives all zones the same locality weight.
func (b *Balancer) turnOffLocality() {
	b.locality.localShare = 0
	for _, z := range b.endpoints.zones {
		z.localityWeight = 1
	}
}

// summarizeZones recomputes the totals of each zone, and drops zones without endpoints.
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

// zoneGroup holds the totals of a group of zones.
type zoneGroup struct {
	capacity    float64
	utilization float64 // mean, if measured
	measured    bool    // there are readings
}

// summarize returns the totals of the zones for which selects returns true.
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

// usableZones returns the number of zones with capacity.
func (s *endpointSet) usableZones() (count float64) {
	for _, z := range s.zones {
		if z.capacity > 0 {
			count++
		}
	}
	return count
}

// countEvidence recounts the evidence from all members of all zones, and returns their number and total weight.
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

// weightOutside returns the total weight of the usable endpoints outside a zone.
func (s *endpointSet) weightOutside(z *zone) (weight float64) {
	for e := range s.inUse() {
		if e.zone != z && e.isUsable() {
			weight += e.weight
		}
	}
	return weight
}

// updateZoneHealth updates the health state of every zone from the evidence of its members.
func (b *Balancer) updateZoneHealth(now time.Duration) {
	members, totalWeight := b.countEvidence(now)
	b.detectCorrelatedFailure(now)
	unhealthy := 0
	for _, z := range b.endpoints.zones {
		z.health.countFailingAsUnhealthy()
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

// countLate counts the late members (unhealthy, overdue or slow) and the responsive ones. Zones without any responsive
// member are left out.
func (s *endpointSet) countLate() (late, responsive int) {
	for _, z := range s.zones {
		if z.health.responsive > 0 {
			late += z.health.unhealthy + z.health.overdue + z.health.slow
			responsive += z.health.responsive
		}
	}
	return late, responsive
}
