package model

import (
	"maps"
	"slices"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/lab/scenario"
	"sprucehill/internal/lab/server"
)

const (
	// unreachableCheckInterval is how often the policy looks for attempts to upstreams that can't reply.
	unreachableCheckInterval = 20 * time.Millisecond
	// remoteZonePenalty multiplies the load of upstreams in other zones, so that a local one wins among equally loaded ones.
	remoteZonePenalty = 1.1
)

// trueStatePolicy is an oracle, a reference for the other policies that no real balancer can reach. From the timetable of
// faults it knows, at every moment and without delay, which upstreams serve and the capacity of each.
type trueStatePolicy struct {
	*baseline
	node *node
}

// newTrueState is the policyFactory of trueStatePolicy. The effects have to be a *node.
func newTrueState(s balancer.Settings, seed uint64, now time.Duration, effects balancer.Effects) (balancer.Events, error) {
	p := &trueStatePolicy{node: effects.(*node)}
	newModule := newBaseline(func(_ *baseline, active []balancer.Endpoint) balancer.EndpointID { return p.chooseEndpoint(active) })
	module, err := newModule(s, seed, now, effects)
	if err != nil {
		return nil, err
	}
	p.baseline = module.(*baseline)
	effects.SetTimer(unreachableCheckInterval, 0)
	return p, nil
}

// chooseEndpoint returns the endpoint with the fewest requests in flight from this balancer per capacity.
func (p *trueStatePolicy) chooseEndpoint(active []balancer.Endpoint) balancer.EndpointID {
	fleet := p.node.sim.fleet
	localZone := fleet.Balancers[p.node.index].Zone
	best := active[p.rng.IntN(len(active))].ID
	leastLoad := -1.0
	for _, i := range p.rng.Perm(len(active)) {
		id := active[i].ID
		capacity := p.capacity(int(id))
		if capacity == 0 {
			continue
		}
		load := float64(p.inFlight[id]+1) / capacity
		if fleet.Upstreams[id].Zone != localZone {
			load *= remoteZonePenalty
		}
		if leastLoad < 0 || load < leastLoad {
			best = id
			leastLoad = load
		}
	}
	return best
}

// capacity is what an upstream can serve for this balancer now, in cores of speed 1. It is 0 if no reply would arrive.
func (p *trueStatePolicy) capacity(u int) float64 {
	capacity := p.node.sim.fleet.Upstreams[u].Size
	for i := range p.node.sim.scenario.Faults {
		capacity *= p.capacityFactor(i, u)
	}
	return capacity
}

// capacityFactor is the fraction of an upstream's capacity that a fault leaves for this balancer now.
func (p *trueStatePolicy) capacityFactor(faultIndex, u int) float64 {
	s := p.node.sim
	now := p.node.now
	fault := s.scenario.Faults[faultIndex]
	end := fault.At.D() + fault.For.D()
	if fault.For == 0 {
		end = s.scenario.Length.D()
	}
	active := now >= fault.At.D() && now < end
	hit := s.faultHits[faultIndex]
	switch {
	case now < fault.At.D():
		return 1
	case hit.Scope == scenario.OnLinks && active && fault.Kind == scenario.LinkCut:
		if p.node.onLinkFault(faultIndex, scenario.Party{Kind: scenario.UpstreamParty, Index: u}) {
			return 0
		}
		return 1
	case hit.Scope != scenario.OnUpstreams || !slices.Contains(hit.Targets, u):
		return 1
	}
	switch fault.Kind {
	case scenario.UpstreamDown, scenario.UpstreamVanish:
		if active {
			return 0
		}
		return server.Warmth(s.scenario.Models[s.fleet.Upstreams[u].Model], now-end)
	case scenario.UpstreamErrors, scenario.NoisyNeighbour:
		if active {
			return 1 - fault.Size
		}
	case scenario.UpstreamDrain:
		if active {
			return 0
		}
	}
	return 1
}

// OnTimer cancels the attempts of idempotent requests to upstreams that can't reply, so that they are retried.
func (p *trueStatePolicy) OnTimer(time.Duration, uint64) {
	p.effects.SetTimer(unreachableCheckInterval, 0)
	for _, id := range slices.Sorted(maps.Keys(p.requests)) {
		r := p.requests[id]
		if r.class.Idempotency == balancer.Idempotent && p.capacity(int(r.lastEndpoint)) == 0 {
			p.effects.Cancel(id, r.attempts-1)
		}
	}
}
