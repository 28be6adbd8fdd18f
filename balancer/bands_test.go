package balancer

import (
	"math"
	"testing"
	"time"

	"sprucehill/internal/stats"
)

func TestMeanDeviation(t *testing.T) {
	mean, dev := stats.MeanDeviation([]float64{0.2, 0.4, 0.4, 0.4, 0.5, 0.5, 0.7, 0.9})
	if math.Abs(mean-0.5) > 1e-9 || math.Abs(dev-0.2) > 1e-9 { // worked by hand: squares sum to 0.32
		t.Errorf("mean %v, deviation %v; want 0.5, 0.2", mean, dev)
	}
}

func TestBandAreaIsIntegratedOverTime(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fleet(1))
	e := b.endpoints[0]
	e.utilization.deviation, e.utilization.mean, e.utilization.integratedAt = 0.1, 0.3, time.Hour
	b.integrateBand(e, time.Hour+250*ms)
	b.integrateBand(e, time.Hour+500*ms)
	if want := 2 * bandWidth * 0.1 * 0.5; math.Abs(e.utilization.area-want) > 1e-9 {
		t.Errorf("area %v, want %v", e.utilization.area, want)
	}
}

func TestShareOfPinnedEndpointIsCutGraduallyAndRegrows(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fleet(3))
	step := func(n int) {
		for range n {
			for _, e := range b.endpoints {
				e.utilization.readings, e.utilization.mean = bandReadings, 0.3
			}
			b.endpoints[0].utilization.mean = 1 // flat readings at full load: no deviation at all
			b.closePeriod(b.periodStartedAt + bandPeriod)
		}
	}
	step(2)
	first := b.endpoints[0].shareFactor
	step(40)
	if first >= 1 || first < minCutFactor*minCutFactor || b.endpoints[0].shareFactor != minShareFactor || b.endpoints[1].shareFactor != 1 {
		t.Errorf("shares left: %v at first, then %v and %v", first, b.endpoints[0].shareFactor, b.endpoints[1].shareFactor)
	}
	for range 80 {
		b.endpoints[0].utilization.mean = 0.3
		b.closePeriod(b.periodStartedAt + bandPeriod)
	}
	if b.endpoints[0].shareFactor != 1 {
		t.Errorf("share left after rest: %v, want 1", b.endpoints[0].shareFactor)
	}
}

func TestFleetWideUtilizationRiseCutsNoShare(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fleet(4))
	for range 10 {
		for _, e := range b.endpoints {
			e.utilization.readings, e.utilization.mean, e.utilization.deviation = bandReadings, 0.95, 0.2
		}
		b.closePeriod(b.periodStartedAt + bandPeriod)
	}
	for _, e := range b.endpoints {
		if e.shareFactor != 1 {
			t.Errorf("upstream %d is left %v of its share", e.ID, e.shareFactor)
		}
	}
}

func TestRepeatedLoadReportIsNotCountedAsReading(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fleet(1))
	e := b.endpoints[0]
	for i, util := range []float64{0.5, 0.5, 0.6, 0.6, 0.5} {
		b.recordUtilization(e, LoadReport{Fields: HasUtilization, Utilization: util}, 0, time.Hour+time.Duration(i)*ms)
	}
	if e.utilization.readings != 3 {
		t.Errorf("%d readings, want 3", e.utilization.readings)
	}
}

func TestUtilizationFallbacks(t *testing.T) {
	for _, c := range []struct {
		name string
		via  ReportSource
		load LoadReport
		late float64
		want float64
	}{
		{"utilisation", ReportInResponses, LoadReport{Fields: HasUtilization | HasQueue, Utilization: 0.7, Queue: 9}, 0.2, 0.7},
		{"held", ReportInResponses, LoadReport{Fields: HasInflight, Inflight: 3}, 0.2, 0.75},
		{"waiting", ReportInResponses, LoadReport{Fields: HasQueue, Queue: 1}, 0.2, 0.5},
		{"no reports: latency against the aim", ReportNone, LoadReport{}, 0.2, 0.2},
	} {
		s := testSettings()
		s.Reports = c.via
		b, _ := newTestBalancer(t, s, fleet(1))
		if b.recordUtilization(b.endpoints[0], c.load, c.late, time.Hour); math.Abs(b.endpoints[0].utilization.mean-c.want) > 1e-9 {
			t.Errorf("%s: reading %v, want %v", c.name, b.endpoints[0].utilization.mean, c.want)
		}
	}
}
