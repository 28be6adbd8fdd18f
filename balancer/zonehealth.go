package balancer

import (
	"slices"
	"time"
)

// Zone health. Fractions of endpoints and error rates are ratios, 0 to 1.
const (
	degradedFraction          = 0.5            // of a zone unhealthy, from which it gets only this part of its share
	ejectFraction             = 0.75           // of a zone unhealthy, from which it is ejected
	minUnhealthyEndpoints     = 2              // unhealthy endpoints that a degraded or ejected zone has at least
	zoneOutlierRatio          = 3              // times as unhealthy as the others that a zone at fault is
	minRemainingCapacityRatio = 0.4            // part of all weight that the other zones have when a zone is ejected
	unhealthyErrorRate        = 0.5            // from which an endpoint is unhealthy
	erringErrorRate           = 0.3            // from which an endpoint is erring; two errors in a row reach it
	overdueDeviations         = 2.0            // mean deviations over its mean latency after which a response is overdue
	minCorrelatedEndpoints    = 3              // endpoints of a zone that fail together in a correlated failure
	responsiveRatio           = 8              // responsive endpoints elsewhere for each late one, if a zone is at fault
	responsiveWithin          = 2 * bandPeriod // since its last response, for an endpoint to count as responsive
	trialsToRecover           = 3              // successful trials in a row that end an ejection
	firstTrialTicks           = 2              // ticks between the first two trials
	recoveryStep              = 0.25           // fraction of its share that a recovering zone gains at once
	minStepPeriods            = 3              // periods that a step lasts at least: reports of its effect take as long
	maxStepMultiple           = 8              // times as long that a step lasts at most, after setbacks
)

// isUnhealthy reports whether e gives no good responses now.
func (e *endpoint) isUnhealthy(now time.Duration) bool {
	return e.outlier.unresponsive || now < e.outlier.unreachableUntil || e.outlier.errorRate >= unhealthyErrorRate
}

// isErring reports whether e has failed since its zone last gave a good response, and not for the first time. Several such
// endpoints of a zone are unhealthy before unhealthyErrorRate: with little traffic to a zone that rate takes too long.
func (e *endpoint) isErring() bool {
	return e.outlier.failedAt > e.zone.health.succeededAt && e.outlier.errorRate >= erringErrorRate
}

// isOverdue reports whether e has not responded for well over its usual time. One endpoint alone may do so by chance;
// several of a zone at once do not. An endpoint that has been slow for a while is saturated, not overdue.
func (b *Balancer) isOverdue(e *endpoint, now time.Duration) bool {
	oldest := e.oldestAttempt()
	if oldest == nil || e.latency.mean == 0 || e.latency.isSlow() {
		return false
	}
	expected := max(e.latency.mean+overdueDeviations*e.latency.deviation, b.means.latency)
	return float64(e.waitingTime(oldest, now)) > max(1, oldest.request.workUnits)*expected
}

// countEndpoint counts one endpoint as evidence for its zone.
func (b *Balancer) countEndpoint(e *endpoint, now time.Duration) {
	health := &e.zone.health
	health.members++
	if e.isErring() {
		health.erring++
	}
	switch {
	case e.isUnhealthy(now):
		health.unhealthy++
	case b.isOverdue(e, now):
		health.overdue++
	case len(e.attempts) > 0 || now-e.outlier.respondedAt < responsiveWithin:
		health.responsive++
		if e.latency.isSlow() {
			health.slow++
		}
	}
}

// detectCorrelatedFailure ejects the overdue endpoints of a zone together, before each would be ejected alone, if:
//  1. Unhealthy and overdue endpoints are most of the zone, and at least one is overdue.
//  2. Enough endpoints of other zones respond, in all and for each late one. A faulty link of this balancer makes responses
//     late in all zones.
//
// Zones without any response do not count in the second condition.
func (b *Balancer) detectCorrelatedFailure(now time.Duration) {
	late, responsive := b.endpoints.countLate()
	for _, z := range b.endpoints.zones {
		suspects, lateElsewhere := z.health.unhealthy+z.health.overdue, late
		if z.health.responsive > 0 {
			lateElsewhere -= suspects + z.health.slow
		}
		responsiveElsewhere := responsive - z.health.responsive
		othersRespond := responsiveElsewhere >= minCorrelatedEndpoints && lateElsewhere*responsiveRatio <= responsiveElsewhere
		if z.health.overdue > 0 && z.health.mostlySuspect(suspects) && othersRespond {
			b.ejectOverdue(z, now)
		}
	}
}

// mostlySuspect reports whether so many unhealthy or overdue endpoints are most of a zone.
func (h *zoneHealth) mostlySuspect(suspects int) bool {
	minSuspects := ejectFraction * float64(suspects+h.responsive)
	return suspects >= minCorrelatedEndpoints && 2*suspects >= h.members && float64(suspects) >= minSuspects
}

// countErring counts erring endpoints as unhealthy where they are several.
func (h *zoneHealth) countErring() {
	if h.erring >= minCorrelatedEndpoints {
		h.unhealthy = max(h.unhealthy, h.erring)
		h.responsive = min(h.responsive, h.members-h.unhealthy)
	}
}

// updateZoneState moves a zone to another state if the evidence is sufficient, and reports whether that changed its share.
// unhealthyElsewhere is the unhealthy fraction of the other zones. totalWeight is the weight of all endpoints.
func (b *Balancer) updateZoneState(z *zone, unhealthyElsewhere, totalWeight float64, now time.Duration) (changed bool) {
	switch {
	case z.health.members == 0:
		z.health.ejected = false
		return false
	case z.health.ejected:
		return b.recoverZone(z, now)
	case z.drained || !z.health.isOutlier(unhealthyElsewhere):
		return false
	}
	return b.ejectOrDegrade(z, totalWeight, now)
}

// recoverZone lets an ejected zone recover after enough successful trials.
func (b *Balancer) recoverZone(z *zone, now time.Duration) (changed bool) {
	if z.health.trialSuccesses < trialsToRecover {
		return false
	}
	z.health.beginRecovery()
	b.log.add(now, ZoneRecoveryStarted{Zone: z.name, StepPeriods: minStepPeriods * z.health.stepMultiple})
	return true
}

// ejectOrDegrade reduces the share of an unhealthy zone that is in use.
func (b *Balancer) ejectOrDegrade(z *zone, totalWeight float64, now time.Duration) (changed bool) {
	health := &z.health
	switch {
	case b.mayEject(z, totalWeight):
		health.eject(now)
		health.backoff = firstTrialTicks * b.tick
		b.log.add(now, ZoneEjected{Zone: z.name, Unhealthy: health.unhealthy, Members: health.members})
		return true
	case health.isDegraded() && health.recoveredShare > degradedFraction:
		health.degrade()
		return true
	}
	return false
}

// ejectOverdue marks the overdue endpoints of a zone as unresponsive.
func (b *Balancer) ejectOverdue(z *zone, now time.Duration) {
	for _, e := range slices.Clone(b.endpoints.tracked) {
		if e.zone == z && !e.outlier.unresponsive && b.isOverdue(e, now) {
			z.health.unhealthy++
			z.health.overdue--
			b.markUnresponsive(e, 1, now)
		}
	}
}

// isOutlier reports whether a zone is much unhealthier than the others. Otherwise the fault may be in this balancer's link,
// or in all zones.
func (h *zoneHealth) isOutlier(unhealthyElsewhere float64) bool {
	return h.unhealthyFraction() >= zoneOutlierRatio*unhealthyElsewhere
}

// mayEject reports whether most of a zone is unhealthy, and the others have the capacity to go on without it.
func (b *Balancer) mayEject(z *zone, totalWeight float64) bool {
	mostlyUnhealthy := z.health.unhealthy >= minUnhealthyEndpoints && z.health.unhealthyFraction() >= ejectFraction
	return mostlyUnhealthy && b.endpoints.weightOutside(z) >= minRemainingCapacityRatio*totalWeight
}

// unhealthyFraction is the fraction of a zone that is unhealthy. Once half of the zone is, endpoints without evidence do not
// count as healthy any more.
func (h *zoneHealth) unhealthyFraction() float64 {
	of := h.members
	if 2*h.unhealthy >= h.members {
		of = h.unhealthy + h.responsive + h.overdue
	}
	return float64(h.unhealthy) / float64(max(1, of))
}

// isDegraded reports whether at least degradedFraction of a zone is unhealthy.
func (h *zoneHealth) isDegraded() bool {
	return h.unhealthy >= minUnhealthyEndpoints && h.unhealthyFraction() >= degradedFraction
}

// eject stops traffic to a zone but for trials. After a setback during recovery the next steps last longer.
func (h *zoneHealth) eject(now time.Duration) {
	if h.recovering {
		h.stepMultiple = min(2*h.stepMultiple, maxStepMultiple)
	}
	h.ejected = true
	h.recovering = false
	h.trialSuccesses = 0
	h.trial = nil
	h.nextTrialAt = now
}

// endRecovery ends the recovery of a zone that has all of its share, and after a long healthy time the memory of
// setbacks.
func (h *zoneHealth) endRecovery() {
	if h.recoveredShare < 1 {
		return
	}
	h.recovering = false
	if h.stepAgePeriods >= minStepPeriods*maxStepMultiple {
		h.stepMultiple = 1
	}
}

// advanceRecovery gives recovering zones their next step, once the last one has lasted long enough and their utilization is
// not over the fleet's.
func (b *Balancer) advanceRecovery() {
	all := b.endpoints.summarize(func(*zone) bool { return true })
	for _, z := range b.endpoints.zones {
		health := &z.health
		health.stepAgePeriods++
		waits := health.stepAgePeriods < minStepPeriods*health.stepMultiple || health.isDegraded()
		if !z.getsTraffic() || health.recoveredShare == 1 || waits {
			continue
		}
		maxUtilization := max(utilizationMarginFactor*all.utilization+utilizationNoise, minExcessUtilization)
		if !all.measured || z.measuredCapacity == 0 || z.meanUtilization() <= maxUtilization {
			health.recoveredShare = min(1, health.recoveredShare+recoveryStep)
			health.stepAgePeriods = 0
		}
	}
}

// allowsZoneTrial reports whether an ejected zone gets r as a trial: one at a time, of the safest class. Such a request may
// be sent elsewhere after a failure.
func (b *Balancer) allowsZoneTrial(z *zone, r *request, now time.Duration) bool {
	ended := z.health.trial == nil || z.health.trial.ended
	return ended && now >= z.health.nextTrialAt && r.class.Idempotency == b.clients.safestClass
}

// beginTrial records a trial of an ejected zone. While trials succeed the next follows at once.
func (z *zone) beginTrial(a *attempt) {
	z.health.trial = a
	z.health.nextTrialAt = a.sentAt + z.health.backoff
	z.health.backoff = min(z.health.backoff*backoffGrowthFactor, bandPeriod)
	if z.health.trialSuccesses > 0 {
		z.health.nextTrialAt = a.sentAt
	}
}
