package balancer

import (
	"slices"
	"time"
)

// Fractions, shares and error rates are ratios, 0 to 1.
const (
	degradedFraction          = 0.5            // unhealthy fraction that degrades a zone, and the share that it then keeps
	ejectFraction             = 0.75           // unhealthy fraction from which a zone is ejected
	minUnhealthyEndpoints     = 2              // minimum of unhealthy endpoints in a degraded or ejected zone
	zoneOutlierRatio          = 3              // minimum ratio of the unhealthy fraction of a zone at fault to that elsewhere
	minRemainingCapacityRatio = 0.4            // part of the total weight that must remain when a zone is ejected
	unhealthyErrorRate        = 0.5            // error rate from which an endpoint is unhealthy
	failingErrorRate          = 0.3            // error rate from which an endpoint is failing; two consecutive errors reach it
	overdueDeviations         = 2.0            // mean deviations above the mean latency after which a response is overdue
	minCorrelatedEndpoints    = 3              // minimum of endpoints that fail together in a correlated failure
	responsiveRatio           = 8              // minimum ratio of responsive to late endpoints elsewhere if a zone is at fault
	responsiveWithin          = 2 * bandPeriod // maximum time since the last response of a responsive endpoint
	trialsToRecover           = 3              // consecutive successful trials that end an ejection
	firstTrialTicks           = 2              // ticks between the first two trials
	recoveryStep              = 0.25           // growth of a recovering zone's share in one step
	minStepPeriods            = 3              // minimum duration of a step: reports of its effect take as long
	maxStepMultiple           = 8              // maximum duration of a step after setbacks, in units of minStepPeriods
)

// isUnhealthy reports whether e is unresponsive, unreachable or has a high error rate.
func (e *endpoint) isUnhealthy(now time.Duration) bool {
	return e.outlier.unresponsive || now < e.outlier.unreachableUntil || e.outlier.errorRate >= unhealthyErrorRate
}

// isFailing reports whether e has failed repeatedly, and since the last successful response in its zone. Several failing
// endpoints of a zone count as unhealthy, because with little traffic it takes too long to reach unhealthyErrorRate.
func (e *endpoint) isFailing() bool {
	return e.outlier.failedAt > e.zone.health.succeededAt && e.outlier.errorRate >= failingErrorRate
}

// isOverdue reports whether e has not responded for well over its mean latency. A single endpoint may be overdue by chance,
// but not several of a zone at once. An endpoint that has been slow for a while is saturated, not overdue.
func (b *Balancer) isOverdue(e *endpoint, now time.Duration) bool {
	oldest := e.oldestAttempt()
	if oldest == nil || e.latency.mean == 0 || e.latency.isSlow() {
		return false
	}
	expected := max(e.latency.mean+overdueDeviations*e.latency.deviation, b.means.latency)
	return float64(e.waitingTime(oldest, now)) > max(1, oldest.request.workUnits)*expected
}

// countEndpoint adds the evidence from one endpoint to its zone.
func (b *Balancer) countEndpoint(e *endpoint, now time.Duration) {
	health := &e.zone.health
	health.members++
	if e.isFailing() {
		health.failing++
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

// detectCorrelatedFailure ejects the overdue endpoints of a zone together, before each one would be ejected alone, if:
//  1. Most endpoints of the zone are unhealthy or overdue, and at least one is overdue.
//  2. Enough endpoints of the other zones are responsive, in total and relative to late ones. Otherwise the fault may be in
//     this balancer's network link, which makes responses late in all zones.
//
// Zones without any responsive endpoint are ignored in the second condition.
func (b *Balancer) detectCorrelatedFailure(now time.Duration) {
	late, responsive := b.endpoints.countLate()
	for _, z := range b.endpoints.zones {
		suspects, lateElsewhere := z.health.unhealthy+z.health.overdue, late
		if z.health.responsive > 0 {
			lateElsewhere -= suspects + z.health.slow
		}
		responsiveElsewhere := responsive - z.health.responsive
		othersRespond := responsiveElsewhere >= minCorrelatedEndpoints && lateElsewhere*responsiveRatio <= responsiveElsewhere
		if z.health.overdue > 0 && z.health.isMostlySuspect(suspects) && othersRespond {
			b.ejectOverdue(z, now)
		}
	}
}

// isMostlySuspect reports whether the suspects, a number of unhealthy or overdue endpoints, are most of a zone.
func (h *zoneHealth) isMostlySuspect(suspects int) bool {
	minSuspects := ejectFraction * float64(suspects+h.responsive)
	return suspects >= minCorrelatedEndpoints && 2*suspects >= h.members && float64(suspects) >= minSuspects
}

// countFailingAsUnhealthy counts the failing endpoints as unhealthy if there are at least minCorrelatedEndpoints.
func (h *zoneHealth) countFailingAsUnhealthy() {
	if h.failing >= minCorrelatedEndpoints {
		h.unhealthy = max(h.unhealthy, h.failing)
		h.responsive = min(h.responsive, h.members-h.unhealthy)
	}
}

// updateZoneState changes the state of a zone if the evidence is sufficient, and reports whether that changed its share.
// unhealthyElsewhere is the unhealthy fraction of the other zones. totalWeight is the weight of all members of all zones.
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

// recoverZone starts the recovery of an ejected zone after enough successful trials.
func (b *Balancer) recoverZone(z *zone, now time.Duration) (changed bool) {
	if z.health.trialSuccesses < trialsToRecover {
		return false
	}
	z.health.beginRecovery()
	b.log.add(now, ZoneRecoveryStarted{Zone: z.name, StepPeriods: minStepPeriods * z.health.stepMultiple})
	return true
}

// ejectOrDegrade ejects or degrades an unhealthy zone that is in use.
func (b *Balancer) ejectOrDegrade(z *zone, totalWeight float64, now time.Duration) (changed bool) {
	health := &z.health
	switch {
	case b.mayEject(z, totalWeight):
		health.eject(now)
		health.backoff = firstTrialTicks * b.tick
		b.log.add(now, ZoneEjected{Zone: z.name, Unhealthy: health.unhealthy, Endpoints: health.members})
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

// isOutlier reports whether a zone is much unhealthier than the others. Otherwise the fault may be in this balancer's
// network link, or in all zones.
func (h *zoneHealth) isOutlier(unhealthyElsewhere float64) bool {
	return h.unhealthyFraction() >= zoneOutlierRatio*unhealthyElsewhere
}

// mayEject reports whether most of a zone is unhealthy, and the other zones have the capacity to serve without it.
func (b *Balancer) mayEject(z *zone, totalWeight float64) bool {
	mostlyUnhealthy := z.health.unhealthy >= minUnhealthyEndpoints && z.health.unhealthyFraction() >= ejectFraction
	return mostlyUnhealthy && b.endpoints.weightOutside(z) >= minRemainingCapacityRatio*totalWeight
}

// unhealthyFraction returns the unhealthy fraction of a zone. Once half of its members are unhealthy, members without recent
// evidence no longer count as healthy.
func (h *zoneHealth) unhealthyFraction() float64 {
	counted := h.members
	if 2*h.unhealthy >= h.members {
		counted = h.unhealthy + h.responsive + h.overdue
	}
	return float64(h.unhealthy) / float64(max(1, counted))
}

// isDegraded reports whether at least degradedFraction of a zone is unhealthy.
func (h *zoneHealth) isDegraded() bool {
	return h.unhealthy >= minUnhealthyEndpoints && h.unhealthyFraction() >= degradedFraction
}

// eject stops all traffic to a zone except trials. If the zone was recovering, the steps of its next recovery last longer.
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

// endRecovery ends the recovery of a zone that has its full share. After a long time without setbacks it resets the
// duration of recovery steps.
func (h *zoneHealth) endRecovery() {
	if h.recoveredShare < 1 {
		return
	}
	h.recovering = false
	if h.stepAgePeriods >= minStepPeriods*maxStepMultiple {
		h.stepMultiple = 1
	}
}

// advanceRecovery gives a recovering zone its next step once the last one has lasted long enough, unless the zone is
// degraded or its utilization is above the fleet's.
func (b *Balancer) advanceRecovery() {
	all := b.endpoints.summarize(func(*zone) bool { return true })
	for _, z := range b.endpoints.zones {
		health := &z.health
		health.stepAgePeriods++
		mustWait := health.stepAgePeriods < minStepPeriods*health.stepMultiple || health.isDegraded()
		if !z.getsTraffic() || health.recoveredShare == 1 || mustWait {
			continue
		}
		maxUtilization := max(utilizationMarginFactor*all.utilization+utilizationNoise, minExcessUtilization)
		if !all.measured || z.measuredCapacity == 0 || z.meanUtilization() <= maxUtilization {
			health.recoveredShare = min(1, health.recoveredShare+recoveryStep)
			health.stepAgePeriods = 0
		}
	}
}

// allowsZoneTrial reports whether r may be a trial of an ejected zone. Trials are sent one at a time. Only requests with the
// safest kind of idempotency are allowed, because they may be retried elsewhere after a failure.
func (b *Balancer) allowsZoneTrial(z *zone, r *request, now time.Duration) bool {
	ended := z.health.trial == nil || z.health.trial.ended
	return ended && now >= z.health.nextTrialAt && r.class.Idempotency == b.clients.safestIdempotency
}

// beginTrial records a trial of an ejected zone. The next one is due after a backoff, or at once while trials succeed.
func (z *zone) beginTrial(a *attempt) {
	z.health.trial = a
	z.health.nextTrialAt = a.sentAt + z.health.backoff
	z.health.backoff = min(z.health.backoff*backoffGrowthFactor, bandPeriod)
	if z.health.trialSuccesses > 0 {
		z.health.nextTrialAt = a.sentAt
	}
}
