package balancer

import (
	"math"
	"time"
)

const (
	maxTurnDebtRounds = 1.0             // rounds of turns not taken that an endpoint may catch up on
	maxBlocked        = 2 * time.Second // without an attempt, before an endpoint in backoff gets one
)

// trafficShare is an endpoint's part of the traffic, not scaled.
func (b *Balancer) trafficShare(e *endpoint, now time.Duration) float64 {
	return e.weight * e.shareFactor * b.slowStartCapacity(e, now) * e.zone.shareFactor()
}

// takeTurn chooses an endpoint for r and charges it a turn; nil: none can take r now. permitted reports whether r may have
// an attempt at any endpoint of the subset, now or later.
func (b *Balancer) takeTurn(r *request, now time.Duration) (best *endpoint, permitted bool) {
	best, shares, permitted := b.chooseEndpoint(r, now)
	if best != nil {
		b.noteMissedTurns(best, now)
		b.turns.charge(best, shares/b.trafficShare(best, now))
	}
	return best, permitted
}

// chooseEndpoint is the endpoint that is due first, or the last resort where none is eligible. It charges nothing. shares is
// the sum of all traffic shares.
func (b *Balancer) chooseEndpoint(r *request, now time.Duration) (best *endpoint, shares float64, permitted bool) {
	best, shares, permitted = b.firstDue(r, now)
	if best == nil && permitted {
		b.blocking.noteBlocked(now)
		best = b.lastResort(r, now)
	}
	return best, shares, permitted
}

// firstDue is the eligible endpoint whose turn is due first, and the sum of all traffic shares.
func (b *Balancer) firstDue(r *request, now time.Duration) (best *endpoint, shares float64, permitted bool) {
	for e := range b.endpoints.inUse() {
		b.expireSlowStart(e, now)
		shares += b.trafficShare(e, now)
		if !b.mayAttempt(r, e, now) {
			continue
		}
		permitted = true
		if (best == nil || e.nextTurn < best.nextTurn) && b.isEligible(e, r, now) {
			best = e
		}
	}
	return best, shares, permitted
}

// charge sets an endpoint's next turn one round on. A round is the turns of all for one of its own, in virtual time:
// turns are an even interleave by traffic shares.
func (t *turnOrder) charge(e *endpoint, round float64) {
	t.virtualTime = max(t.virtualTime, e.nextTurn)
	e.nextTurn = max(e.nextTurn, t.virtualTime-maxTurnDebtRounds*round) + round
}

// isEligible reports whether an endpoint may take r at this turn.
func (b *Balancer) isEligible(e *endpoint, r *request, now time.Duration) bool {
	switch {
	case e.zone.drained:
		return false
	case e.zone.health.ejected:
		return e.hasFreeSlot(now) && b.allowsZoneTrial(e.zone, r, now) && b.fitsSlowStart(e, r, now)
	case e.outlier.unresponsive:
		return b.allowsTrial(e, r, now) && b.canAnswerInTime(e, r, now) && b.fitsSlowStart(e, r, now)
	}
	return e.hasFreeSlot(now) && b.canAnswerInTime(e, r, now) && b.fitsSlowStart(e, r, now)
}

// hasFreeSlot reports whether an endpoint is not paused or in backoff, and is under its concurrency limit. The limit is a
// guard: shares decide below it.
func (e *endpoint) hasFreeSlot(now time.Duration) bool {
	waits := now < e.limit.pausedUntil || now < e.outlier.unreachableUntil
	return !waits && float64(len(e.attempts)) < max(1, math.Floor(e.limit.current))
}

// lastResort is the endpoint whose trial is due first, for a balancer that has found no endpoint for maxBlocked. Without it
// no attempt would be made for as long as every endpoint is in backoff. The safest class goes first, others after another
// half of maxBlocked.
func (b *Balancer) lastResort(r *request, now time.Duration) (best *endpoint) {
	wait := maxBlocked
	if r.class.Idempotency != b.clients.safestClass {
		wait += maxBlocked / 2
	}
	if b.blocking.blockedFor(now) < wait {
		return nil
	}
	for e := range b.endpoints.inUse() {
		if !e.zone.getsTraffic() || !b.mayAttempt(r, e, now) || !b.canAnswerInTime(e, r, now) {
			continue
		}
		if (best == nil || e.outlier.nextTrialAt < best.outlier.nextTrialAt) && b.fitsSlowStart(e, r, now) {
			best = e
		}
	}
	return best
}
