package balancer

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"sprucehill/internal/stats"
)

// endpointSet holds all known endpoints and zones, and the subset that this balancer uses.
type endpointSet struct {
	byID         map[EndpointID]*endpoint
	known        []*endpoint // in the order in which they were first listed
	tracked      []*endpoint // the subset, and other endpoints with attempts in flight
	zones        []*zone     // in the order in which they became known
	stats        fleetStats
	initialLimit float64 // concurrency limit of an endpoint without measurements, attempts
}

// fleetStats holds statistics over the endpoints of the subset, as of the last period.
type fleetStats struct {
	utilization      float64 // median of the endpoints' means
	workPerWeight    float64 // work per weight that warm endpoints do in a period at full utilization; 0: unknown
	maxWorkPerWeight float64 // the same of the endpoint with the most work per weight
	baselineLatency  float64 // lower quartile of the endpoints' baselines, ns
}

// inUse yields the endpoints of the subset, in the order in which they were first listed.
func (s *endpointSet) inUse() iter.Seq[*endpoint] {
	return func(yield func(*endpoint) bool) {
		for _, e := range s.tracked {
			if e.inSubset && !yield(e) {
				return
			}
		}
	}
}

// activeByRingPosition returns the active endpoints in the order of the hash ring.
func (s *endpointSet) activeByRingPosition() []*endpoint {
	active := slices.DeleteFunc(slices.Clone(s.known), func(e *endpoint) bool { return e.State != Active })
	slices.SortFunc(active, func(x, y *endpoint) int { return cmp.Compare(x.ringPosition, y.ringPosition) })
	return active
}

// setSubset makes the chosen endpoints the subset. Endpoints that leave the subset stay tracked while they have attempts in
// flight. size is the target size of the subset.
func (b *Balancer) setSubset(chosen map[*endpoint]bool, size float64, now time.Duration) {
	b.endpoints.tracked = b.endpoints.tracked[:0]
	for _, e := range b.endpoints.known {
		if chosen[e] && !e.inSubset {
			b.joinSubset(e, size, now)
		}
		e.inSubset = chosen[e]
		if e.inSubset || len(e.attempts) > 0 {
			b.endpoints.tracked = append(b.endpoints.tracked, e)
		}
	}
}

// dropRemoved drops removed endpoints that have no attempt in flight.
func (s *endpointSet) dropRemoved() {
	s.known = slices.DeleteFunc(s.known, func(e *endpoint) bool {
		dropped := e.State == Removed && len(e.attempts) == 0
		if dropped {
			delete(s.byID, e.ID)
		}
		return dropped
	})
}

// quantile returns the 1/n quantile of a value over the endpoints of the subset that have readings: the median for n = 2.
func (s *endpointSet) quantile(n int, value func(*endpoint) float64) float64 {
	samples := make([]float64, 0, len(s.tracked)+1)
	for e := range s.inUse() {
		if e.utilization.readings > 0 {
			samples = append(samples, value(e))
		}
	}
	return stats.Quantile(n, samples)
}
