package balancer

import (
	"math"
	"slices"
	"time"

	"sprucehill/internal/ring"
)

const (
	balancersPerEndpoint = 4.0 // balancers that use each endpoint in a fleet with enough of both
	minSubsetEndpoints   = 2   // minimum size of a subset
)

// rebuildSubset chooses the endpoints that this balancer uses. All balancers see the same hash ring, and each takes a
// section of it from its own start. The golden ratio spreads the starts evenly for any number of consecutive ranks.
func (b *Balancer) rebuildSubset(now time.Duration) {
	active := b.endpoints.activeByRingPosition()
	size := subsetSize(float64(len(active)), float64(b.balancers.Balancers))
	b.adaptToSubsetSize(float64(len(active)), size)
	_, start := math.Modf(float64(b.balancers.Rank) * math.Phi)
	chosen := chooseSubset(b.orderLocalFirst(active, start, size), size)
	b.setSubset(chosen, size, now)
}

// subsetSize returns how many of the active endpoints each balancer uses.
func subsetSize(active, balancers float64) float64 {
	evenSize := math.Ceil(active * balancersPerEndpoint / max(balancersPerEndpoint, balancers-balancersPerEndpoint))
	return max(1, min(active, max(minSubsetEndpoints, evenSize)))
}

// adaptToSubsetSize sets whether locality is disabled and the initial limit, from the numbers of active and used endpoints.
func (b *Balancer) adaptToSubsetSize(active, size float64) {
	b.locality.disabled = size < min(active, minLocalitySubsetEndpoints)
	b.endpoints.initialLimit = initialFleetLimitAttempts * max(active, 1) / size / float64(b.balancers.MaxBalancers)
}

// chooseSubset takes endpoints in order until size of them are warm and usable, but at most twice as many in total.
func chooseSubset(ordered []*endpoint, size float64) map[*endpoint]bool {
	chosen := map[*endpoint]bool{}
	usable := 0.0
	for i, e := range ordered {
		if i >= int(2*size) || usable >= size {
			break
		}
		chosen[e] = true
		if !e.slowStart.active && e.isUsable() {
			usable++
		}
	}
	return chosen
}

// orderLocalFirst returns the order in which a subset of size takes the active endpoints, from a start on the ring, 0 to 1.
// Endpoints of the local zone come first, as many as an even share if the balancers of every zone send as much. Local and
// remote endpoints form separate rings, so that the endpoints of a zone have about as many balancers each. Without zones,
// or where the subset has all endpoints, there is one ring.
func (b *Balancer) orderLocalFirst(active []*endpoint, start, size float64) []*endpoint {
	var local, remote []*endpoint
	zones := map[*zone]bool{}
	for _, e := range active {
		zones[e.zone] = true
		if e.Zone == b.settings.Zone {
			local = append(local, e)
		} else {
			remote = append(remote, e)
		}
	}
	if len(local) == 0 || len(remote) == 0 || int(size) >= len(active) || b.locality.disabled {
		return ring.Rotate(active, start)
	}
	localSize := size * float64(len(local)*len(zones)) / float64(len(active))
	localSize = math.Round(max(1, min(size-1, localSize))) // at least one remote endpoint, for its readings
	n := min(len(local), int(localSize))
	local, remote = ring.Rotate(local, start), ring.Rotate(remote, start)
	return slices.Concat(local[:n], remote, local[n:])
}
