package balancer

import (
	"cmp"
	"math"
	"time"

	"sprucehill/internal/stats"
)

// The adaptive concurrency limit. Those without a unit are ratios.
const (
	initialFleetLimit       = 8.0   // attempts in flight at one endpoint, over all balancers, at first
	minFleetLimit           = 0.25  // over all balancers: with pauses, so that a saturated endpoint can recover
	limitReduction          = 0.8   // on a saturated response
	limitGrowth             = 0.5   // attempts, on a response of an endpoint with headroom while the fleet is saturated
	fullUtilization         = 0.8   // mean utilisation over which more attempts in flight bring no more
	saturatedRatio          = 1.6   // latency over this multiple of the baseline means saturated or unhealthy
	saturatedObjectiveShare = 0.5   // if it is also over this part of the objective: below, saturation does no harm
	baselineDrift           = 0.005 // weight of a sample by which the baseline latency drifts up
	minWorkUnits            = 0.5   // even the smallest request has a fixed part

	rejectionReduction = limitReduction * limitReduction // on a full queue or a timeout
)

// hasHeadroom reports whether the readings show spare utilisation; without readings there is none.
func (e *endpoint) hasHeadroom() bool {
	u := &e.utilization
	return u.readings > 0 && u.mean < fullUtilization && u.lastReport.Queue <= 0
}

// observeLatency updates the running means by a response. The rarer an endpoint's responses, the more weight each has for
// it.
func (b *Balancer) observeLatency(a *attempt, latency time.Duration) {
	e, sample := a.endpoint, float64(latency)
	weight := max(ewmaWeight, 1-e.limit.current)
	stats.UpdateEWMA(&e.latency.deviation, math.Abs(sample-e.latency.mean), weight) // at first as large as the mean
	stats.UpdateEWMA(&e.latency.mean, sample, weight)
	stats.UpdateEWMA(&e.latency.workUnits, max(a.request.workUnits, minWorkUnits), weight)
	stats.UpdateEWMA(&b.latency, sample, ewmaWeight)
	stats.UpdateEWMA(&a.request.class.latency, sample, ewmaWeight)
	stats.UpdateEWMA(&e.latency.smoothed, e.latency.perUnit(), ewmaWeight)
	stats.UpdateEWMA(&e.latency.baseline, e.latency.smoothed, baselineDrift)
	e.latency.baseline = min(e.latency.baseline, e.latency.smoothed)
}

// isSlow reports whether latency is far over its baseline.
func (l *latencyStats) isSlow() bool { return l.smoothed > saturatedRatio*l.baseline }

// adjustLimit moves the limit by a response. A slow response alone proves no saturation, since work and waits vary by as
// much: where readings show headroom the limit grows instead. An endpoint that was saturated from the first knows no
// better baseline of itself, so the fleet's counts too.
func (b *Balancer) adjustLimit(a *attempt, now time.Duration) {
	e := a.endpoint
	baseline := min(e.latency.baseline, cmp.Or(b.fleet.baselineLatency, e.latency.baseline))
	objective := float64(a.request.class.LatencyObjective)
	saturated := e.latency.perUnit() > max(saturatedRatio*baseline, saturatedObjectiveShare*objective)
	switch {
	case saturated && !e.hasHeadroom():
		b.reduceLimit(e, now, limitReduction)
	case e.limit.current < b.initialLimit: // recovered
		e.limit.current = b.initialLimit
	case e.hasHeadroom() && b.needsHigherLimit(e, now):
		e.limit.current = max(e.limit.current, min(e.limit.current+limitGrowth, e.limit.ceiling))
	}
}

// needsHigherLimit reports whether requests find no endpoint, or leave the zone only because of the limit of e.
func (b *Balancer) needsHigherLimit(e *endpoint, now time.Duration) bool {
	if b.isSaturated(now) {
		return true
	}
	missedTurn := now-e.limit.missedTurnAt < time.Duration(b.latency)
	return missedTurn && e.utilization.mean < minExcessLevel && e.limit.current < e.neededConcurrency()
}

// neededConcurrency is how many attempts are in flight at e for its own traffic, with a margin for bursts. It
// goes by the baseline latency: an endpoint that holds many because it is slow needs no more.
func (e *endpoint) neededConcurrency() float64 {
	mean := e.work.mean / bandPeriod.Seconds() * e.latency.baseline / float64(time.Second)
	return mean + 2*math.Sqrt(mean) + 1
}

// reduceLimit lowers the limit by a factor, once for the attempts that were in flight together.
func (b *Balancer) reduceLimit(e *endpoint, now time.Duration, factor float64) {
	if now-e.limit.reducedAt < time.Duration(e.latency.mean) {
		return
	}
	used := float64(len(e.attempts) + 1)
	e.limit.current = max(b.minLimit(), min(e.limit.current, used)*factor)
	e.limit.reducedAt = now
}

// minLimit is the least limit of an endpoint.
func (b *Balancer) minLimit() float64 { return b.initialLimit * minFleetLimit / initialFleetLimit }

// raiseLimitCeilings lets each limit at most double in the next period, before a reading can tell of full utilisation.
func (b *Balancer) raiseLimitCeilings() {
	for _, e := range b.subset {
		e.limit.ceiling = max(2*e.limit.current, initialFleetLimit)
	}
}

// attemptInterval is the wait between attempts at an endpoint whose limit is under one.
func (b *Balancer) attemptInterval(e *endpoint) time.Duration {
	return time.Duration(max(0, 1/e.limit.current-1) * cmp.Or(e.latency.mean, b.latency))
}

// pauseAfter sets the pause that follows an attempt, where the limit is under one. An endpoint that was idle has one
// attempt in hand, since requests come by chance.
func (b *Balancer) pauseAfter(a *attempt, now time.Duration) {
	e, interval := a.endpoint, b.attemptInterval(a.endpoint)
	begun := max(e.limit.pausedUntil, a.sentAt-interval)
	ended := min(now, begun+now-a.sentAt)
	e.limit.pausedUntil = max(e.limit.pausedUntil, ended+interval)
}
