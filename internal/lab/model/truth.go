package model

import (
	"maps"
	"slices"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/lab/day"
)

// lookEvery is how often the policy that sees the truth looks what has become of its attempts.
const lookEvery = 20 * time.Millisecond

// seer is what no balancer can be: it knows from the timetable which upstreams serve and what each of them can do now,
// at every moment and without delay. It is what others are measured against.
type seer struct {
	*baseline
	node *node
}

// newSeer is a newPolicy. Its host is a node.
func newSeer(s balancer.Settings, seed uint64, now time.Duration, host balancer.Effects) (balancer.Events, error) {
	n := host.(*node)
	x := &seer{node: n}
	core, err := plain(func(b *baseline, up []balancer.Endpoint) balancer.EndpointID { return x.choose(up) })(s, seed, now, host)
	if err != nil {
		return nil, err
	}
	x.baseline = core.(*baseline)
	host.SetTimer(lookEvery, 0)
	return x, nil
}

// choose takes the upstream with the least out for what it can do now, at home first where two are alike.
func (x *seer) choose(up []balancer.Endpoint) balancer.EndpointID {
	home := x.node.sim.fleet.Balancers[x.node.index].Zone
	best, least := up[x.rng.IntN(len(up))].ID, -1.0
	for _, at := range x.rng.Perm(len(up)) {
		u := up[at]
		power := x.power(int(u.ID))
		if power == 0 {
			continue
		}
		load := float64(x.out[u.ID]+1) / power
		if x.node.sim.fleet.Upstreams[u.ID].Zone != home {
			load *= 1.1
		}
		if least < 0 || load < least {
			best, least = u.ID, load
		}
	}
	return best
}

// power is what an upstream can do for this balancer now, in cores by their speed; 0: no answer comes from it.
func (x *seer) power(u int) float64 {
	power := x.node.sim.fleet.Upstreams[u].Size
	for i := range x.node.sim.day.Faults {
		power *= x.faultFactor(i, u)
	}
	return power
}

// faultFactor is the part of an upstream's power that a fault leaves for this balancer now.
func (x *seer) faultFactor(i, u int) float64 {
	s := x.node.sim
	now := x.node.now
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
	case hit.Scope == day.OnLinks && active && fault.Kind == "cut":
		if x.node.hit(i, day.Party{Kind: day.UpstreamParty, Index: u}) {
			return 0
		}
		return 1
	case hit.Scope != day.OnUpstreams || !slices.Contains(hit.Targets, u):
		return 1
	}
	switch fault.Kind {
	case "down", "vanish":
		if active {
			return 0
		}
		return warmth(s.day.Models[s.fleet.Upstreams[u].Model], now-end)
	case "errors", "neighbour":
		if active {
			return 1 - fault.Size
		}
	case "drain":
		if active {
			return 0
		}
	}
	return 1
}

// warmth is the part of its full power that a server has a time after it started.
func warmth(m day.Model, since time.Duration) float64 {
	if since >= m.Warm.D() {
		return 1
	}
	return m.ColdFrom + (1-m.ColdFrom)*float64(since)/float64(m.Warm.D())
}

// Timer looks after what is out: an attempt whose answer can't come is stopped, and the request tried elsewhere as its
// class permits.
func (x *seer) OnTimer(time.Duration, uint64) {
	x.host.SetTimer(lookEvery, 0)
	for _, id := range slices.Sorted(maps.Keys(x.requests)) {
		if r := x.requests[id]; r.class.Idempotency == balancer.Idempotent && x.power(int(r.last)) == 0 {
			x.host.Cancel(id, r.attempts-1)
		}
	}
}
