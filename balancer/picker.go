package balancer

import (
	"math"
	"time"
)

const (
	maxTurnDebtRounds = 1.0             // rounds of turns not taken that an endpoint may catch up on
	maxBlocked        = 2 * time.Second // of rejections only, before an endpoint in backoff gets an attempt
)

// trafficShare is an endpoint's part of the traffic, not scaled.
func (b *Balancer) trafficShare(e *endpoint, now time.Duration) float64 {
	return e.weight * e.shareFactor * b.slowStartCapacity(e, now) * e.zone.shareFactor()
}

// pickEndpoint gives the turn to the eligible endpoint that is due first: an even interleave by traffic shares. It tells,
// too, whether r is permitted an attempt at any endpoint of the subset, now or later.
func (b *Balancer) pickEndpoint(r *request, now time.Duration) (best *endpoint, permitted bool) {
	var total float64
	for _, e := range b.subset {
		if !e.inSubset {
			continue
		}
		total += b.trafficShare(e, now)
		if !b.mayAttempt(r, e, now) {
			continue
		}
		permitted = true
		if (best == nil || e.nextTurn < best.nextTurn) && b.isEligible(e, r, now) {
			best = e
		}
	}
	if best == nil && permitted {
		best = b.lastResort(r, now)
	}
	if best != nil {
		b.noteMissedTurns(best, now)
		b.takeTurn(best, total/b.trafficShare(best, now))
	}
	return best, permitted
}

// takeTurn sets an endpoint's next turn one round on. A round is the turns of all for one of its own, in virtual time.
func (b *Balancer) takeTurn(e *endpoint, round float64) {
	b.virtualTime = max(b.virtualTime, e.nextTurn)
	e.nextTurn = max(e.nextTurn, b.virtualTime-maxTurnDebtRounds*round) + round
}

// isEligible reports whether an endpoint may take r at this turn. The concurrency limit is a guard: shares decide below
// it.
func (b *Balancer) isEligible(e *endpoint, r *request, now time.Duration) bool {
	if e.zone.drained {
		return false
	}
	available := now >= e.limit.pausedUntil && now >= e.outlier.unreachableUntil &&
		float64(len(e.attempts)) < max(1, math.Floor(e.limit.current))
	if e.zone.health.ejected {
		return available && b.allowsTrial(e.zone, r, now) && b.fitsSlowStart(e, r, now)
	}
	if e.outlier.unresponsive { // the safest class goes first as a trial
		available = now >= e.outlier.nextTrialAt &&
			(r.class.Idempotency == b.safestClass || now >= e.outlier.nextTrialAt+e.outlier.backoff)
	}
	return available && b.canAnswerInTime(e, r, now) && b.fitsSlowStart(e, r, now)
}

// lastResort is the endpoint whose trial is due first, once this balancer has had to reject all that it got for
// maxBlocked: the backoff of single endpoints grows without a bound. The safest class goes first.
func (b *Balancer) lastResort(r *request, now time.Duration) (best *endpoint) {
	if b.lastAttemptAt >= b.blockedSince {
		b.blockedSince = now
	}
	wait := maxBlocked
	if r.class.Idempotency != b.safestClass {
		wait += maxBlocked / 2
	}
	if now-b.blockedSince < wait {
		return nil
	}
	for _, e := range b.subset {
		if !e.inSubset || !e.zone.inUse() || !b.mayAttempt(r, e, now) || !b.canAnswerInTime(e, r, now) {
			continue
		}
		if (best == nil || e.outlier.nextTrialAt < best.outlier.nextTrialAt) && b.fitsSlowStart(e, r, now) {
			best = e
		}
	}
	return best
}
