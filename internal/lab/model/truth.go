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

// power is what an upstream can do for this balancer now: cores by their speed. 0: no answer of it comes.
func (x *seer) power(u int) float64 {
	s, now := x.node.sim, x.node.now
	model := s.day.Models[s.fleet.Upstreams[u].Model]
	power := s.fleet.Upstreams[u].Size
	for i, f := range s.day.Faults {
		hit, end := s.hits[i], f.At.D()+f.For.D()
		if f.For == 0 {
			end = s.day.Length.D()
		}
		on := now >= f.At.D() && now < end
		switch {
		case now < f.At.D():
		case hit.Scope == day.OnLinks && on && f.Kind == "cut":
			b, p := x.node.party, day.Party{Kind: day.UpstreamParty, Index: u}
			if s.paths.Hits(i, b, p) || s.paths.Hits(i, p, b) {
				return 0
			}
		case hit.Scope != day.OnUpstreams || !slices.Contains(hit.Targets, u):
		case f.Kind == "down" || f.Kind == "vanish":
			if on {
				return 0
			}
			if since := now - end; since < model.Warm.D() { // it is cold
				power *= model.ColdFrom + (1-model.ColdFrom)*float64(since)/float64(model.Warm.D())
			}
		case on && (f.Kind == "errors" || f.Kind == "neighbour"):
			power *= 1 - f.Size
		case on && f.Kind == "drain":
			return 0
		}
	}
	return power
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
