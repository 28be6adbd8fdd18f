package balancer

import (
	"math"
	"testing"
	"time"

	"sprucehill/internal/stats"
)

func TestMeanDeviation(t *testing.T) {
	mean, deviation := stats.MeanStdDev([]float64{0.2, 0.4, 0.4, 0.4, 0.5, 0.5, 0.7, 0.9})
	// The squares of the deviations sum to 0.32.
	if math.Abs(mean-0.5) > tolerance || math.Abs(deviation-0.2) > tolerance {
		t.Errorf("mean %v, deviation %v; want 0.5, 0.2", mean, deviation)
	}
}

// The band area depends on the time between readings, not on their number.
func TestBandAreaIsIntegratedOverTime(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fleet(1))
	e := b.endpoints.known[0]
	e.utilization.deviation = 0.1
	e.utilization.mean = 0.3
	e.utilization.integratedAt = time.Hour
	b.integrateBand(e, time.Hour+250*ms)
	b.integrateBand(e, time.Hour+500*ms)
	want := 2 * bandWidthDeviations * 0.1 * 0.5
	if !approximately(e.utilization.area, want) {
		t.Errorf("area %v, want %v", e.utilization.area, want)
	}
}

// The readings of an endpoint at constant full load do not deviate, so its share is cut because of their mean alone.
func TestShareOfPinnedEndpointIsCutGraduallyAndRegrows(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fleet(3))
	pinned, other := b.endpoints.known[0], b.endpoints.known[1]
	runPinned := func(periods int) {
		for range periods {
			for _, e := range b.endpoints.known {
				setUtilization(e, bandWindowReadings, 0.3)
			}
			pinned.utilization.mean = 1
			b.closePeriod(b.periodStartedAt + bandPeriod)
		}
	}
	runPinned(2)
	first := pinned.shareFactor
	runPinned(40)
	if first >= 1 || first < minCutFactor*minCutFactor {
		t.Errorf("share factor %v after two periods at full load, want %v at least and less than 1", first, minCutFactor*minCutFactor)
	}
	if pinned.shareFactor != minShareFactor || other.shareFactor != 1 {
		t.Errorf("share factor %v after 42 periods at full load, %v of another endpoint; want %v, 1",
			pinned.shareFactor, other.shareFactor, minShareFactor)
	}
	for range 80 {
		pinned.utilization.mean = 0.3
		b.closePeriod(b.periodStartedAt + bandPeriod)
	}
	if pinned.shareFactor != 1 {
		t.Errorf("share factor %v after 80 periods at normal load, want 1", pinned.shareFactor)
	}
}

func TestFleetWideUtilizationRiseCutsNoShare(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fleet(4))
	for range 10 {
		for _, e := range b.endpoints.known {
			setUtilization(e, bandWindowReadings, 0.95)
			e.utilization.deviation = 0.2
		}
		b.closePeriod(b.periodStartedAt + bandPeriod)
	}
	for _, e := range b.endpoints.known {
		if e.shareFactor != 1 {
			t.Errorf("endpoint %d has share factor %v, want 1", e.ID, e.shareFactor)
		}
	}
}

func TestRepeatedLoadReportIsNotCountedAsReading(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fleet(1))
	e := b.endpoints.known[0]
	for i, utilization := range []float64{0.5, 0.5, 0.6, 0.6, 0.5} {
		report := LoadReport{Fields: HasUtilization, Utilization: utilization}
		b.recordUtilization(e, report, 0, time.Hour+time.Duration(i)*ms)
	}
	if e.utilization.readings != 3 {
		t.Errorf("%d readings, want 3", e.utilization.readings)
	}
}

// A reading without a reported utilization is derived from the other values of the report or from the response's latency.
func TestUtilizationFallbacks(t *testing.T) {
	for _, test := range []struct {
		name           string
		source         ReportSource
		report         LoadReport
		objectiveShare float64
		want           float64
	}{
		{"utilization", ReportInResponses, LoadReport{Fields: HasUtilization | HasQueue, Utilization: 0.7, Queue: 9}, 0.2, 0.7},
		{"requests in flight", ReportInResponses, LoadReport{Fields: HasInflight, Inflight: 3}, 0.2, 0.75},
		{"requests queued", ReportInResponses, LoadReport{Fields: HasQueue, Queue: 1}, 0.2, 0.5},
		{"no reports: latency as a fraction of its objective", ReportNone, LoadReport{}, 0.2, 0.2},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings := testSettings()
			settings.Reports = test.source
			b, _ := newTestBalancer(t, settings, fleet(1))
			e := b.endpoints.known[0]
			b.recordUtilization(e, test.report, test.objectiveShare, time.Hour)
			if !approximately(e.utilization.mean, test.want) {
				t.Errorf("reading %v, want %v", e.utilization.mean, test.want)
			}
		})
	}
}
