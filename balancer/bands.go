package balancer

import (
	"cmp"
	"math"
	"time"
)

// Utilization is a ratio, 0 to 1. The area of a band gap is in full utilization times bandPeriod.
const (
	bandWindowReadings   = 4           // readings in the moving window
	bandWidthDeviations  = 2.0         // standard deviations of the window that make half of the band gap
	bandPeriod           = time.Second // over which the band gap is integrated before shares change
	minAreaThreshold     = 0.4         // area up to which an endpoint never counts as saturated
	areaThresholdRatio   = 1.25        // multiple of the median area over which an endpoint counts as saturated
	minExcessUtilization = 0.5         // utilization up to which a mean adds nothing to the band gap
	minCutFactor         = 0.8         // least factor of a share in one period: reports lag, so steps are small
	shareRegrowthFactor  = 1.04        // factor of a share in a period without a cut
	minShareFactor       = 0.1         // least fraction of its traffic share that cuts leave an endpoint
	smoothingFactor      = 0.1         // weight ratio of a new sample in a running mean
)

// recordUtilization records a load report as a reading of utilization. A report without utilization counts by the requests
// in progress and waiting. At sites without reports the response's share of its latency objective counts (0: no response).
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

// integrateBand adds the band gap since the last reading to the area. The gap widens with the deviation of the readings and
// with their mean over the fleet's utilization. The mean counts because readings at constant full load do not deviate.
func (b *Balancer) integrateBand(e *endpoint, now time.Duration) {
	u := &e.utilization
	excess := max(0, u.mean-max(minExcessUtilization, b.endpoints.stats.utilization))
	gap := 2 * bandWidthDeviations * (u.deviation + excess)
	u.area += gap * (now - u.integratedAt).Seconds() / bandPeriod.Seconds()
	u.integratedAt = now
}

// adjustShares cuts the traffic shares of saturated endpoints and lets the others grow back, both in steps. The threshold
// follows the fleet's median: a rise on all endpoints cuts none.
func (s *endpointSet) adjustShares() {
	median := s.valueAbove(2, func(e *endpoint) float64 { return e.utilization.area })
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

// updateStats computes the statistics of the subset at the end of a period.
func (s *endpointSet) updateStats() {
	s.stats.utilization = s.valueAbove(2, func(e *endpoint) float64 { return e.utilization.mean })
	s.stats.baselineLatency = s.valueAbove(4, func(e *endpoint) float64 { return e.latency.baseline })
}

// estimateWorkPerWeight estimates the work that warm endpoints could do for a unit of weight at full utilization. Budgets of
// slow start are derived from it. It goes by the present zone weights: when a zone's weight jumps, the budgets of its
// warming endpoints must not jump with it.
func (s *endpointSet) estimateWorkPerWeight() {
	var work, weight, most float64
	for e := range s.inUse() {
		if !e.isUsable() || e.slowStart.active || e.work.mean == 0 {
			continue
		}
		capable := e.work.mean / min(max(cmp.Or(e.utilization.mean, 1), minExcessUtilization), 1)
		work += capable
		most = max(most, capable/e.weight)
		weight += e.weight * e.zone.shareFactor()
	}
	s.stats.workPerWeight = cmp.Or(work/max(weight, math.SmallestNonzeroFloat32), s.stats.workPerWeight)
	s.stats.maxWorkPerWeight = cmp.Or(most, s.stats.maxWorkPerWeight)
}
