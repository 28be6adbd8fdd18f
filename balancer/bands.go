package balancer

import (
	"cmp"
	"math"
	"time"
)

// Utilization is a ratio from 0 to 1. The unit of a band area is full utilization times bandPeriod.
const (
	bandWindowReadings   = 4           // readings in the moving window
	bandWidthDeviations  = 2.0         // standard deviations between the mean and either band
	bandPeriod           = time.Second // interval at which the band area is evaluated and traffic shares change
	minAreaThreshold     = 0.4         // band area up to which an endpoint never counts as saturated
	areaThresholdRatio   = 1.25        // multiple of the median band area above which an endpoint counts as saturated
	minExcessUtilization = 0.5         // mean utilization up to which the band gap is not widened
	minCutFactor         = 0.8         // smallest factor of a cut in one period: load reports lag, so the steps are small
	shareRegrowthFactor  = 1.04        // growth of a share factor in a period without a cut
	minShareFactor       = 0.1         // lower bound of the share factor
	smoothingFactor      = 0.1         // weight of a new sample in a moving average
)

// recordUtilization records a load report as a reading of utilization. If the report lacks the utilization, the reading is
// estimated from its requests in progress and queued. At sites without reports it is objectiveShare (0: no response).
func (b *Balancer) recordUtilization(e *endpoint, report LoadReport, objectiveShare float64, now time.Duration) {
	reading := report.Utilization
	switch {
	case report.Fields&HasUtilization != 0:
	case report.Fields&(HasInflight|HasQueue) != 0:
		reading = 1 - 1/(1+report.Inflight+report.Queue)
	case b.settings.Reports == ReportNone && objectiveShare > 0:
		reading = min(1, objectiveShare)
	}
	repeated := report.Fields != 0 && report == e.utilization.lastReport
	empty := report.Fields == 0 && reading == 0
	if repeated || empty {
		return
	}
	b.integrateBand(e, now)
	e.utilization.add(reading)
	e.utilization.lastReport = report
}

// integrateBand adds the band gap since the last call to the band area. The gap widens with the deviation of the readings
// and with the excess of their mean over the fleet's utilization, because readings at constant full load do not deviate.
func (b *Balancer) integrateBand(e *endpoint, now time.Duration) {
	u := &e.utilization
	excess := max(0, u.mean-max(minExcessUtilization, b.endpoints.stats.utilization))
	gap := 2 * bandWidthDeviations * (u.deviation + excess)
	u.area += gap * (now - u.integratedAt).Seconds() / bandPeriod.Seconds()
	u.integratedAt = now
}

// adjustShares cuts the share factors of saturated endpoints and lets the others grow back, both in steps. The threshold is
// relative to the fleet's median, so that a rise of utilization on all endpoints cuts no share.
func (s *endpointSet) adjustShares() {
	median := s.quantile(2, func(e *endpoint) float64 { return e.utilization.area })
	threshold := max(minAreaThreshold, areaThresholdRatio*median)
	for _, e := range s.tracked {
		if e.utilization.readings >= bandWindowReadings/2 && e.utilization.area > threshold {
			e.shareFactor = max(minShareFactor, e.shareFactor*max(minCutFactor, threshold/e.utilization.area))
		} else {
			e.shareFactor = min(1, e.shareFactor*shareRegrowthFactor)
		}
		e.utilization.area = 0
	}
}

// updateStats recomputes the statistics of the subset at the end of a period.
func (s *endpointSet) updateStats() {
	s.stats.utilization = s.quantile(2, func(e *endpoint) float64 { return e.utilization.mean })
	s.stats.baselineLatency = s.quantile(4, func(e *endpoint) float64 { return e.latency.baseline })
}

// estimateWorkPerWeight estimates how much work per unit of weight warm endpoints can do in a period at full utilization.
// Slow-start budgets are derived from it. It uses the current zone weights, so that the budgets of a zone's warming
// endpoints do not jump when the zone's weight does.
func (s *endpointSet) estimateWorkPerWeight() {
	var totalWork, totalWeight, maxPerWeight float64
	for e := range s.inUse() {
		if !e.isUsable() || e.slowStart.active || e.work.mean == 0 {
			continue
		}
		work := e.work.mean / min(max(cmp.Or(e.utilization.mean, 1), minExcessUtilization), 1)
		totalWork += work
		maxPerWeight = max(maxPerWeight, work/e.weight)
		totalWeight += e.weight * e.zone.shareFactor()
	}
	s.stats.workPerWeight = cmp.Or(totalWork/max(totalWeight, math.SmallestNonzeroFloat32), s.stats.workPerWeight)
	s.stats.maxWorkPerWeight = cmp.Or(maxPerWeight, s.stats.maxWorkPerWeight)
}
