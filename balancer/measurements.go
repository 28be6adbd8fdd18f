package balancer

import (
	"math"
	"time"

	"sprucehill/internal/stats"
)

// This file updates running means and counters by what requests and results say. The rules read them.

// observeLatency updates the running means by a response. The rarer an endpoint's responses, the more weight each has for
// it.
func (b *Balancer) observeLatency(a *attempt, latency time.Duration) {
	e, sample := a.endpoint, float64(latency)
	weight := max(smoothingFactor, 1-e.limit.current)
	stats.UpdateEWMA(&e.latency.deviation, math.Abs(sample-e.latency.mean), weight) // at first as large as the mean
	stats.UpdateEWMA(&e.latency.mean, sample, weight)
	stats.UpdateEWMA(&e.latency.workUnits, max(a.request.workUnits, minWorkUnits), weight)
	stats.UpdateEWMA(&b.means.latency, sample, smoothingFactor)
	stats.UpdateEWMA(&a.request.class.latency, sample, smoothingFactor)
	stats.UpdateEWMA(&e.latency.smoothed, e.latency.perUnit(), smoothingFactor)
	stats.UpdateEWMA(&e.latency.baseline, e.latency.smoothed, baselineSmoothingFactor)
	e.latency.baseline = min(e.latency.baseline, e.latency.smoothed)
}

// observeCostHint updates the running mean of cost hints.
func (b *Balancer) observeCostHint(q Request) {
	if q.CostHint > 0 {
		stats.UpdateEWMA(&b.means.costHint, float64(q.CostHint), costHintSmoothingFactor)
	}
}

// objectiveShare is the part of its latency objective that a good response has taken; 0: there was none.
func (a *attempt) objectiveShare(result AttemptResult) float64 {
	if result.Status != OK {
		return 0
	}
	return float64(result.Latency) / float64(a.request.class.LatencyObjective)
}

// observeTrial counts successful trials in a row by the status of an attempt.
func (z *zone) observeTrial(status Status) {
	if status == OK {
		z.health.trialSuccesses++
	} else if status.isFailure() {
		z.health.trialSuccesses = 0
	}
}
