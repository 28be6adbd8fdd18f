package balancer

import (
	"math"
	"time"

	"sprucehill/internal/stats"
)

// This file updates the moving averages and counters that the routing rules read.

// observeLatency updates the moving averages of the latency after a response. An endpoint with a limit below 1 responds
// rarely, so each of its samples has more weight.
func (b *Balancer) observeLatency(a *attempt, latency time.Duration) {
	e, sample := a.endpoint, float64(latency)
	weight := max(smoothingFactor, 1-e.limit.current)
	stats.UpdateEWMA(&e.latency.deviation, math.Abs(sample-e.latency.mean), weight) // starts at the first latency
	stats.UpdateEWMA(&e.latency.mean, sample, weight)
	stats.UpdateEWMA(&e.latency.workUnits, max(a.request.workUnits, minWorkUnits), weight)
	stats.UpdateEWMA(&b.means.latency, sample, smoothingFactor)
	stats.UpdateEWMA(&a.request.class.latency, sample, smoothingFactor)
	stats.UpdateEWMA(&e.latency.smoothed, e.latency.perUnit(), smoothingFactor)
	stats.UpdateEWMA(&e.latency.baseline, e.latency.smoothed, baselineSmoothingFactor)
	e.latency.baseline = min(e.latency.baseline, e.latency.smoothed)
}

// observeCostHint updates the moving average of cost hints.
func (b *Balancer) observeCostHint(q Request) {
	if q.CostHint > 0 {
		stats.UpdateEWMA(&b.means.costHint, float64(q.CostHint), costHintSmoothingFactor)
	}
}

// objectiveShare returns the latency of a successful response as a fraction of its latency objective, or 0 without one.
func (a *attempt) objectiveShare(result AttemptResult) float64 {
	if result.Status != OK {
		return 0
	}
	return float64(result.Latency) / float64(a.request.class.LatencyObjective)
}

// observeTrial updates the number of consecutive successful trials after an attempt in the zone.
func (z *zone) observeTrial(status Status) {
	if status == OK {
		z.health.trialSuccesses++
	} else if status.isFailure() {
		z.health.trialSuccesses = 0
	}
}
