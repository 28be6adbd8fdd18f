package balancer

import (
	"cmp"
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
	active := slices.DeleteFunc(slices.Clone(b.endpoints.known), func(e *endpoint) bool { return e.State != Active })
	slices.SortFunc(active, func(x, y *endpoint) int { return cmp.Compare(x.ringPosition, y.ringPosition) })
	count, balancers := float64(len(active)), float64(b.balancers.Balancers)
	fair := math.Ceil(count * balancersPerEndpoint / max(balancersPerEndpoint, balancers-balancersPerEndpoint))
	wanted := max(1, min(count, max(minSubsetEndpoints, fair)))
	b.locality.disabled = wanted < min(count, minLocalitySubsetEndpoints)
	b.endpoints.initialLimit = initialFleetLimitAttempts * max(count, 1) / wanted / float64(b.balancers.MaxBalancers)
	_, place := math.Modf(float64(b.balancers.Rank) * math.Phi)
	chosen := chooseStretch(b.localFirst(active, place, wanted), wanted)
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
