package balancer

import (
	"cmp"
	"math"
	"time"
)

// Limits of attempts in flight at one endpoint are of all balancers together.
const (
	initialFleetLimitAttempts = 8.0   // the first limit
	minFleetLimitAttempts     = 0.25  // the least limit; below 1 there are pauses, in which an endpoint can recover
	limitReductionFactor      = 0.8   // factor of a limit on a saturated response
	limitGrowthAttempts       = 0.5   // attempts by which a response of an endpoint with headroom raises its limit
	fullUtilizationRatio      = 0.8   // mean utilization from which there is no headroom
	saturatedLatencyRatio     = 1.6   // multiple of the baseline over which latency counts as saturated or slow
	saturatedObjectiveRatio   = 0.5   // part of the latency objective up to which latency never counts as saturated
	baselineSmoothingFactor   = 0.005 // weight ratio of a new sample by which the baseline latency drifts up
	minWorkUnits              = 0.5   // mean requests that a response counts as at least, for its fixed part

	rejectionReductionFactor = limitReductionFactor * limitReductionFactor // factor of a limit on a full queue or a timeout
)

// hasHeadroom reports whether the readings show spare utilization; without readings there is none.
func (e *endpoint) hasHeadroom() bool {
	u := &e.utilization
	return u.readings > 0 && u.mean < fullUtilizationRatio && u.lastReport.Queue <= 0
}

// isSlow reports whether latency is far over its baseline.
func (l *latencyStats) isSlow() bool { return l.smoothed > saturatedLatencyRatio*l.baseline }

// adjustLimit moves the limit of an endpoint by the status of an attempt. With headroom a response that did not come was
// lost, not delayed by load.
func (b *Balancer) adjustLimit(a *attempt, status Status, now time.Duration) {
	switch {
	case status == OK:
		b.adjustLimitByLatency(a, now)
	case status == Rejected || (status == Timeout && !a.endpoint.hasHeadroom()):
		b.reduceLimit(a.endpoint, now, rejectionReductionFactor)
	}
}

// adjustLimitByLatency moves the limit by a good response. A slow one alone proves no saturation, because work and waits
// vary by as much. With headroom the limit grows instead. The fleet's baseline counts too: an endpoint that was saturated
// from the first has no lower one of its own.
func (b *Balancer) adjustLimitByLatency(a *attempt, now time.Duration) {
	e := a.endpoint
	baseline := min(e.latency.baseline, cmp.Or(b.endpoints.stats.baselineLatency, e.latency.baseline))
	objective := float64(a.request.class.LatencyObjective)
	saturated := e.latency.perUnit() > max(saturatedLatencyRatio*baseline, saturatedObjectiveRatio*objective)
	switch {
	case saturated && !e.hasHeadroom():
		b.reduceLimit(e, now, limitReductionFactor)
	case e.limit.current < b.endpoints.initialLimit: // recovered
		e.limit.current = b.endpoints.initialLimit
	case e.hasHeadroom() && b.needsHigherLimit(e, now):
		e.limit.current = max(e.limit.current, min(e.limit.current+limitGrowthAttempts, e.limit.ceiling))
	}
}

// needsHigherLimit reports whether requests find no endpoint, or go to another zone only because of the limit of e.
func (b *Balancer) needsHigherLimit(e *endpoint, now time.Duration) bool {
	if b.isSaturated(now) {
		return true
	}
	missedTurn := now-e.limit.missedTurnAt < time.Duration(b.means.latency)
	return missedTurn && e.utilization.mean < minExcessUtilization && e.limit.current < e.neededConcurrency()
}

// neededConcurrency is how many attempts are in flight at e for its own traffic, with a margin for bursts. It goes by the
// baseline latency: an endpoint with many in flight because it is slow needs no higher limit.
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
	e.limit.current = max(b.endpoints.minLimit(), min(e.limit.current, used)*factor)
	e.limit.reducedAt = now
}

// minLimit is the least limit of an endpoint.
func (s *endpointSet) minLimit() float64 {
	return s.initialLimit * minFleetLimitAttempts / initialFleetLimitAttempts
}

// raiseLimitCeilings sets how far each limit may grow in the next period: to twice its present value. Load reports show
// the effect of a higher limit only after a period.
func (s *endpointSet) raiseLimitCeilings() {
	for _, e := range s.tracked {
		e.limit.ceiling = max(2*e.limit.current, initialFleetLimitAttempts)
	}
}

// attemptInterval is the wait between attempts at an endpoint whose limit is under one.
func (b *Balancer) attemptInterval(e *endpoint) time.Duration {
	return time.Duration(max(0, 1/e.limit.current-1) * cmp.Or(e.latency.mean, b.means.latency))
}

// pauseAfter sets the pause that follows an attempt, where the limit is under one. An endpoint that was idle may get one
// attempt before the pause, because requests arrive at random.
func (b *Balancer) pauseAfter(a *attempt, now time.Duration) {
	e, interval := a.endpoint, b.attemptInterval(a.endpoint)
	begun := max(e.limit.pausedUntil, a.sentAt-interval)
	ended := min(now, begun+now-a.sentAt)
	e.limit.pausedUntil = max(e.limit.pausedUntil, ended+interval)
}
