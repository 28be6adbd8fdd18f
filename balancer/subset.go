package balancer

import (
	"math"
	"slices"
	"time"

	"sprucehill/internal/ring"
)

const (
	balancersPerEndpoint = 4.0 // balancers that use one endpoint, where there are enough of both
	minSubsetEndpoints   = 2   // endpoints that a balancer uses at least
)

// rebuildSubset chooses the endpoints that this balancer uses. All balancers see the same ring and take a stretch from a
// place of their own; the golden ratio spreads these evenly for any run of ranks.
func (b *Balancer) rebuildSubset(now time.Duration) {
	active := b.endpoints.activeByRingPosition()
	wanted := wantedEndpoints(float64(len(active)), float64(b.balancers.Balancers))
	b.setSubsetSize(float64(len(active)), wanted)
	_, place := math.Modf(float64(b.balancers.Rank) * math.Phi)
	chosen := chooseStretch(b.localFirst(active, place, wanted), wanted)
	b.useEndpoints(chosen, wanted, now)
}

// wantedEndpoints is how many of the active endpoints each balancer uses.
func wantedEndpoints(active, balancers float64) float64 {
	fair := math.Ceil(active * balancersPerEndpoint / max(balancersPerEndpoint, balancers-balancersPerEndpoint))
	return max(1, min(active, max(minSubsetEndpoints, fair)))
}

// setSubsetSize adapts locality and the initial limit to the number of endpoints that are wanted of the active ones.
func (b *Balancer) setSubsetSize(active, wanted float64) {
	b.locality.disabled = wanted < min(active, minLocalitySubsetEndpoints)
	b.endpoints.initialLimit = initialFleetLimitAttempts * max(active, 1) / wanted / float64(b.balancers.MaxBalancers)
}

// chooseStretch takes endpoints in order until enough of them are warm and responsive, at most twice as many.
func chooseStretch(ordered []*endpoint, wanted float64) map[*endpoint]bool {
	chosen := map[*endpoint]bool{}
	usable := 0.0
	for i, e := range ordered {
		if i >= int(2*wanted) || usable >= wanted {
			break
		}
		chosen[e] = true
		if !e.slowStart.active && e.isUsable() {
			usable++
		}
	}
	return chosen
}

// localFirst orders the endpoints for a balancer at a place from 0 to 1 on the ring that uses a wanted number of them. First
// come endpoints of its own zone, as many as its part if the balancers of every zone send as much. Then come the others.
// Local and remote endpoints are two rings, so that every endpoint of a zone has about as many balancers. Without zones,
// or where all endpoints are used, there is one ring.
func (b *Balancer) localFirst(active []*endpoint, place, wanted float64) []*endpoint {
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
	if len(local) == 0 || len(remote) == 0 || int(wanted) >= len(active) || b.locality.disabled {
		return ring.From(active, place)
	}
	part := wanted * float64(len(local)*len(zones)) / float64(len(active))
	part = math.Round(max(1, min(wanted-1, part))) // readings from the others are needed too
	n := min(len(local), int(part))
	local, remote = ring.From(local, place), ring.From(remote, place)
	return slices.Concat(local[:n], remote, local[n:])
}
