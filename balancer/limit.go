package balancer

import (
	"cmp"
	"math"
	"time"
)

// The fleet limits are concurrency limits of one endpoint, summed over all balancers.
const (
	initialFleetLimitAttempts = 8.0   // initial limit
	minFleetLimitAttempts     = 0.25  // minimum; a limit below 1 means pauses, in which a saturated endpoint can recover
	limitReductionFactor      = 0.8   // factor of a limit after a saturated response
	limitGrowthAttempts       = 0.5   // growth of a limit after a response of an endpoint with headroom
	fullUtilizationRatio      = 0.8   // mean utilization from which an endpoint has no headroom
	saturatedLatencyRatio     = 1.6   // multiple of the baseline latency above which an endpoint is saturated or slow
	saturatedObjectiveRatio   = 0.5   // part of the latency objective up to which latency never counts as saturated
	baselineSmoothingFactor   = 0.005 // weight of a new sample when the baseline latency drifts up
	minWorkUnits              = 0.5   // lower bound of a response's work in mean requests: each has a fixed cost

	rejectionReductionFactor = limitReductionFactor * limitReductionFactor // factor of a limit after a rejection or a timeout
)

// hasHeadroom reports whether the readings show spare utilization. It is false without readings.
func (e *endpoint) hasHeadroom() bool {
	u := &e.utilization
	return u.readings > 0 && u.mean < fullUtilizationRatio && u.lastReport.Queue <= 0
}

// isSlow reports whether the latency is far above its baseline.
func (l *latencyStats) isSlow() bool { return l.smoothed > saturatedLatencyRatio*l.baseline }

// adjustLimit adjusts the limit of an endpoint after an attempt. A timeout at an endpoint with headroom does not reduce the
// limit: the response was lost, not delayed by load.
func (b *Balancer) adjustLimit(a *attempt, status Status, now time.Duration) {
	switch {
	case status == OK:
		b.adjustLimitByLatency(a, now)
	case status == Rejected || (status == Timeout && !a.endpoint.hasHeadroom()):
		b.reduceLimit(a.endpoint, now, rejectionReductionFactor)
	}
}

// adjustLimitByLatency adjusts the limit of an endpoint after a successful response. A slow response alone is no sign of
// saturation, because work and queueing vary by as much; with headroom the limit may grow. The baseline is at most that of
// the fleet, because an endpoint that has been saturated from the start has no low baseline of its own.
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

// needsHigherLimit reports whether requests find no free endpoint, or spill over to another zone only because of e's limit.
func (b *Balancer) needsHigherLimit(e *endpoint, now time.Duration) bool {
	if b.isSaturated(now) {
		return true
	}
	missedTurn := now-e.limit.missedTurnAt < time.Duration(b.means.latency)
	return missedTurn && e.utilization.mean < minExcessUtilization && e.limit.current < e.neededConcurrency()
}

// neededConcurrency returns the concurrency that e needs for its own traffic, with a margin for bursts. It is based on the
// baseline latency: an endpoint with many attempts in flight because it is slow needs no higher limit.
func (e *endpoint) neededConcurrency() float64 {
	mean := e.work.mean / bandPeriod.Seconds() * e.latency.baseline / float64(time.Second)
	return mean + 2*math.Sqrt(mean) + 1
}

// reduceLimit multiplies the limit by a factor, at most once per mean latency: attempts in flight together count once.
func (b *Balancer) reduceLimit(e *endpoint, now time.Duration, factor float64) {
	if now-e.limit.reducedAt < time.Duration(e.latency.mean) {
		return
	}
	inFlight := float64(len(e.attempts) + 1) // with the attempt that has just ended
	e.limit.current = max(b.endpoints.minLimit(), min(e.limit.current, inFlight)*factor)
	e.limit.reducedAt = now
}

// minLimit returns this balancer's part of the minimum limit of an endpoint.
func (s *endpointSet) minLimit() float64 {
	return s.initialLimit * minFleetLimitAttempts / initialFleetLimitAttempts
}

// raiseLimitCeilings lets each limit at most double in the next period, because load reports show the effect of a higher
// limit only a period later.
func (s *endpointSet) raiseLimitCeilings() {
	for _, e := range s.tracked {
		e.limit.ceiling = max(2*e.limit.current, initialFleetLimitAttempts)
	}
}

// attemptInterval returns the pause between attempts at an endpoint whose limit is below 1.
func (b *Balancer) attemptInterval(e *endpoint) time.Duration {
	return time.Duration(max(0, 1/e.limit.current-1) * cmp.Or(e.latency.mean, b.means.latency))
}

// pauseAfter sets the pause after an attempt if the limit is below 1. There is no pause after the first attempt at an idle
// endpoint, because requests arrive at random.
func (b *Balancer) pauseAfter(a *attempt, now time.Duration) {
	e, interval := a.endpoint, b.attemptInterval(a.endpoint)
	start := max(e.limit.pausedUntil, a.sentAt-interval)
	end := min(now, start+now-a.sentAt)
	e.limit.pausedUntil = max(e.limit.pausedUntil, end+interval)
}
