package balancer

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"sprucehill/internal/stats"
)

// endpointSet is what this balancer knows of all endpoints and their zones, and which endpoints it uses.
type endpointSet struct {
	byID         map[EndpointID]*endpoint
	known        []*endpoint // in order of arrival
	tracked      []*endpoint // those in use, and others that still have attempts in flight
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

// inUse yields the endpoints that get traffic: those of the subset, in order of arrival.
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

// useEndpoints makes the chosen endpoints the subset, and tracks those that leave it for as long as they have attempts in
// flight. wanted is how many endpoints the subset needs.
func (b *Balancer) useEndpoints(chosen map[*endpoint]bool, wanted float64, now time.Duration) {
	b.endpoints.tracked = b.endpoints.tracked[:0]
	for _, e := range b.endpoints.known {
		if chosen[e] && !e.inSubset {
			b.joinSubset(e, wanted, now)
		}
		e.inSubset = chosen[e]
		if e.inSubset || len(e.attempts) > 0 {
			b.endpoints.tracked = append(b.endpoints.tracked, e)
		}
	}
}

// forgetRemoved drops endpoints that are removed and have no attempt in flight.
func (s *endpointSet) forgetRemoved() {
	s.known = slices.DeleteFunc(s.known, func(e *endpoint) bool {
		forgotten := e.State == Removed && len(e.attempts) == 0
		if forgotten {
			delete(s.byID, e.ID)
		}
		return forgotten
	})
}

// valueAbove is the value over one in n of the endpoints that have readings: the median for n = 2.
func (s *endpointSet) valueAbove(n int, value func(*endpoint) float64) float64 {
	samples := make([]float64, 0, len(s.tracked)+1)
	for e := range s.inUse() {
		if e.utilization.readings > 0 {
			samples = append(samples, value(e))
		}
	}
	return stats.ValueAbove(n, samples)
}
