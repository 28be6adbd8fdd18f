package balancer

import (
	"math"
	"time"
)

const (
	maxTurnDebtRounds = 1.0             // rounds of missed turns that an endpoint may catch up on
	maxBlocked        = 2 * time.Second // time without an attempt before an endpoint in backoff gets one
)

// trafficShare returns an endpoint's share of the traffic, relative to those of the other endpoints.
func (b *Balancer) trafficShare(e *endpoint, now time.Duration) float64 {
	return e.weight * e.shareFactor * b.slowStartCapacity(e, now) * e.zone.shareFactor()
}

// takeTurn chooses an endpoint for r and charges it a turn. best is nil if no endpoint can take r now. permitted reports
// whether r may have an attempt at any endpoint of the subset, now or later.
func (b *Balancer) takeTurn(r *request, now time.Duration) (best *endpoint, permitted bool) {
	best, shares, permitted := b.chooseEndpoint(r, now)
	if best != nil {
		b.recordMissedTurns(best, now)
		b.turns.charge(best, shares/b.trafficShare(best, now))
	}
	return best, permitted
}

// chooseEndpoint returns the eligible endpoint whose turn is due first, or the last resort if there is none. It does not
// charge the turn. shares is the sum of all traffic shares. permitted is the same as for takeTurn.
func (b *Balancer) chooseEndpoint(r *request, now time.Duration) (best *endpoint, shares float64, permitted bool) {
	best, shares, permitted = b.firstDue(r, now)
	if best == nil && permitted {
		b.blocking.recordBlocked(now)
		best = b.lastResort(r, now)
	}
	return best, shares, permitted
}

// firstDue returns the eligible endpoint whose turn is due first. The other results are those of chooseEndpoint.
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

// charge moves an endpoint's next turn one round ahead in virtual time. A round is the number of turns of all endpoints for
// each turn of e, so that turns interleave evenly in proportion to the traffic shares.
func (t *turnOrder) charge(e *endpoint, round float64) {
	t.virtualTime = max(t.virtualTime, e.nextTurn)
	e.nextTurn = max(e.nextTurn, t.virtualTime-maxTurnDebtRounds*round) + round
}

// isEligible reports whether an endpoint can take r now.
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

// hasFreeSlot reports whether an endpoint is neither paused nor in backoff, and below its concurrency limit. The limit only
// guards against overload: below it, traffic shares decide.
func (e *endpoint) hasFreeSlot(now time.Duration) bool {
	paused := now < e.limit.pausedUntil || now < e.outlier.unreachableUntil
	return !paused && float64(len(e.attempts)) < max(1, math.Floor(e.limit.current))
}

// lastResort returns the endpoint whose trial is due first, once no endpoint has been available for maxBlocked, or nil.
// Without it there would be no attempt while every endpoint is in backoff. Requests with the safest kind of idempotency are
// allowed first, others half of maxBlocked later.
func (b *Balancer) lastResort(r *request, now time.Duration) (best *endpoint) {
	wait := maxBlocked
	if r.class.Idempotency != b.clients.safestIdempotency {
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
