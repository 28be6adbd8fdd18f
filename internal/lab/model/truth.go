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
	// stuckCheckInterval is how often the policy looks for attempts whose reply can't come.
	stuckCheckInterval = 20 * time.Millisecond
	// remoteZonePenalty is how much more loaded an upstream of another zone counts, so that of equals a local one is chosen.
	remoteZonePenalty = 1.1
)

// trueStatePolicy is what no balancer can be: it knows from the timetable which upstreams serve and what each of them
// can do now, at every moment and without delay. The others are compared with it.
type trueStatePolicy struct {
	*baseline
	node *node
}

// newTrueState is a newPolicy. Its effects are a node.
func newTrueState(s balancer.Settings, seed uint64, now time.Duration, effects balancer.Effects) (balancer.Events, error) {
	p := &trueStatePolicy{node: effects.(*node)}
	newModule := newBaseline(func(_ *baseline, active []balancer.Endpoint) balancer.EndpointID { return p.chooseEndpoint(active) })
	module, err := newModule(s, seed, now, effects)
	if err != nil {
		return nil, err
	}
	p.baseline = module.(*baseline)
	effects.SetTimer(stuckCheckInterval, 0)
	return p, nil
}

// chooseEndpoint takes the endpoint with the least in flight for what it can do now.
func (p *trueStatePolicy) chooseEndpoint(active []balancer.Endpoint) balancer.EndpointID {
	fleet := p.node.sim.fleet
	localZone := fleet.Balancers[p.node.index].Zone
	best := active[p.rng.IntN(len(active))].ID
	leastLoad := -1.0
	for _, i := range p.rng.Perm(len(active)) {
		id := active[i].ID
		power := p.power(int(id))
		if power == 0 {
			continue
		}
		load := float64(p.inFlight[id]+1) / power
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

// power is the capacity of an upstream for this balancer now, in cores of speed 1. It is 0 if no answer would arrive.
func (p *trueStatePolicy) power(u int) float64 {
	power := p.node.sim.fleet.Upstreams[u].Size
	for i := range p.node.sim.day.Faults {
		power *= p.faultFactor(i, u)
	}
	return power
}

// faultFactor is the part of an upstream's power that a fault leaves for this balancer now.
func (p *trueStatePolicy) faultFactor(i, u int) float64 {
	s := p.node.sim
	now := p.node.now
	fault := s.day.Faults[i]
	end := fault.At.D() + fault.For.D()
	if fault.For == 0 {
		end = s.day.Length.D()
	}
	active := now >= fault.At.D() && now < end
	hit := s.hits[i]
	switch {
	case now < fault.At.D():
		return 1
	case hit.Scope == scenario.OnLinks && active && fault.Kind == scenario.LinkCut:
		if p.node.onLinkFault(i, scenario.Party{Kind: scenario.UpstreamParty, Index: u}) {
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
		return server.Warmth(s.day.Models[s.fleet.Upstreams[u].Model], now-end)
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

// OnTimer cancels the attempts whose reply can't come, so that the request is retried as its class permits.
func (p *trueStatePolicy) OnTimer(time.Duration, uint64) {
	p.effects.SetTimer(stuckCheckInterval, 0)
	for _, id := range slices.Sorted(maps.Keys(p.requests)) {
		r := p.requests[id]
		if r.class.Idempotency == balancer.Idempotent && p.power(int(r.lastEndpoint)) == 0 {
			p.effects.Cancel(id, r.attempts-1)
		}
	}
}
