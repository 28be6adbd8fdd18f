package balancer

import (
	"slices"

	"sprucehill/internal/stats"
)

// fleetState is what this balancer knows of all endpoints, and which of them it uses.
type fleetState struct {
	size         FleetSize // of the balancers
	byID         map[EndpointID]*endpoint
	endpoints    []*endpoint // in order of arrival
	subset       []*endpoint // those in use, and what has left the subset with attempts in flight
	zones        []*zone     // in order of arrival
	stats        fleetStats
	initialLimit float64 // an endpoint's concurrency limit before anything is known of it, attempts
}

// fleetStats is what the endpoints of the subset have in common, as of the last period.
type fleetStats struct {
	utilization      float64 // the median
	workPerWeight    float64 // work in a period that warm endpoints do for weight and utilization; 0: not known
	maxWorkPerWeight float64 // the most that one does for its weight and utilization
	baselineLatency  float64 // the lower quartile of the endpoints', ns
}

// forgetRemoved drops endpoints that are removed and have no attempt in flight.
func (f *fleetState) forgetRemoved() {
	f.endpoints = slices.DeleteFunc(f.endpoints, func(e *endpoint) bool {
		forgotten := e.State == Removed && len(e.attempts) == 0
		if forgotten {
			delete(f.byID, e.ID)
		}
		return forgotten
	})
}

// valueAbove is the value over one in n of the endpoints that have readings: the median for n = 2.
func (f *fleetState) valueAbove(n int, value func(*endpoint) float64) float64 {
	samples := make([]float64, 0, len(f.subset)+1)
	for _, e := range f.subset {
		if e.inSubset && e.utilization.readings > 0 {
			samples = append(samples, value(e))
		}
	}
	return stats.ValueAbove(n, samples)
}
