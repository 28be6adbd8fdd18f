package balancer

import (
	"cmp"
	"math"
	"time"
)

// Bollinger bands of utilisation. Those without a unit are ratios.
const (
	bandReadings   = 4           // N: readings in the moving window
	bandWidth      = 2.0         // alpha: half the band gap in standard deviations, as usual for these bands
	bandPeriod     = time.Second // the band gap is integrated over it, then shares move
	minThreshold   = 0.4         // areas below it are noise: a deviation of a tenth of full utilisation
	thresholdRatio = 1.25        // saturated: an area over this multiple of the fleet's median
	minExcessLevel = 0.5         // utilisation below it never counts as an excess level
	minCutFactor   = 0.8         // the deepest cut in one period: reports lag, so steps are small
	shareRegrowth  = 1.04        // shares grow back more slowly than they are cut
	minShareFactor = 0.1         // a share is never cut below this fraction of its start
	ewmaWeight     = 0.1         // weight of a new sample in running means
)

// recordUtilization records a load report as a reading of utilisation. Where it has none, requests in progress and waiting
// stand in; at sites without reports it is the response's share of its latency objective (0: no response).
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

// integrateBand adds the band gap since the last reading to the area. An endpoint pinned at full load has a flat band, so
// its level over the fleet's counts too.
func (b *Balancer) integrateBand(e *endpoint, now time.Duration) {
	u := &e.utilization
	excess := max(0, u.mean-max(minExcessLevel, b.fleet.utilization))
	gap := 2 * bandWidth * (u.deviation + excess)
	u.area += gap * (now - u.integratedAt).Seconds() / bandPeriod.Seconds()
	u.integratedAt = now
}

// adjustShares cuts the traffic shares of saturated endpoints by degrees and lets the others grow back. The threshold
// follows the fleet's median, so a rise on all endpoints cuts none.
func (b *Balancer) adjustShares() {
	median := b.valueAbove(2, func(e *endpoint) float64 { return e.utilization.area })
	threshold := max(minThreshold, thresholdRatio*median)
	for _, e := range b.subset {
		if e.utilization.readings >= bandReadings/2 && e.utilization.area > threshold {
			e.shareFactor = max(minShareFactor, e.shareFactor*max(minCutFactor, threshold/e.utilization.area))
		} else {
			e.shareFactor = min(1, e.shareFactor*shareRegrowth)
		}
		e.utilization.area = 0
	}
}

// updateFleetStats computes the statistics of the subset at the end of a period.
func (b *Balancer) updateFleetStats() {
	b.fleet.utilization = b.valueAbove(2, func(e *endpoint) float64 { return e.utilization.mean })
	b.fleet.baselineLatency = b.valueAbove(4, func(e *endpoint) float64 { return e.latency.baseline })
}

// estimateWorkPerWeight estimates the work that warm endpoints do for their weight, by present zone weights: a warming
// endpoint's budget is derived from it, and a zone whose weight jumps must not send its warming endpoints more than
// that.
func (b *Balancer) estimateWorkPerWeight() {
	var work, weight, most float64
	for _, e := range b.subset {
		if !e.inSubset || !e.isUsable() || e.slowStart.active || e.work.mean == 0 {
			continue
		}
		capable := e.work.mean / min(max(cmp.Or(e.utilization.mean, 1), minExcessLevel), 1)
		work += capable
		most = max(most, capable/e.weight)
		weight += e.weight * e.zone.shareFactor()
	}
	b.fleet.workPerWeight = cmp.Or(work/max(weight, math.SmallestNonzeroFloat32), b.fleet.workPerWeight)
	b.fleet.maxWorkPerWeight = cmp.Or(most, b.fleet.maxWorkPerWeight)
}
