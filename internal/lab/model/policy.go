package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/lab/day"
)

// newPolicy makes what decides for a balancer.
type newPolicy func(s balancer.Settings, seed uint64, now time.Duration, host balancer.Effects) (balancer.Events, error)

// Policies names what a day can be modelled with: the program's own module, and plain baselines to set it against.
var Policies = []string{own, "round-robin", "least-loaded", "random-of-two", "true-state"}

const own = "sprucehill"

func policyOf(name string) (newPolicy, error) {
	switch name {
	case "", own:
		return func(s balancer.Settings, seed uint64, now time.Duration, host balancer.Effects) (balancer.Events, error) {
			return balancer.New(s, seed, now, host)
		}, nil
	case "round-robin":
		return plain((*baseline).inTurn), nil
	case "least-loaded":
		return plain((*baseline).leastLoaded), nil
	case "random-of-two":
		return plain((*baseline).randomOfTwo), nil
	case "true-state":
		return newSeer, nil
	}
	return nil, fmt.Errorf("%w: policy %q is not one of %s", day.ErrInput, name, strings.Join(Policies, ", "))
}

// baseline picks by one plain rule among the upstreams that its list calls up. It keeps the rules on repeats, tries
// another upstream where one proves that it did not run a request, and knows nothing of cold ones, use or silence.
type baseline struct {
	settings balancer.Settings
	host     balancer.Effects
	rng      *rand.Rand
	choose   func(b *baseline, up []balancer.Endpoint) balancer.EndpointID
	classes  map[string]balancer.Class
	list     []balancer.Endpoint // in order of ids
	up       []balancer.Endpoint
	out      map[balancer.EndpointID]int
	requests map[balancer.RequestID]*tried
	turn     int
}

// tried is a request that has no answer yet.
type tried struct {
	class    balancer.Class
	deadline time.Duration
	attempts int
	last     balancer.EndpointID
	ran      bool // it may have
}

func plain(choose func(*baseline, []balancer.Endpoint) balancer.EndpointID) newPolicy {
	return func(s balancer.Settings, seed uint64, _ time.Duration, host balancer.Effects) (balancer.Events, error) {
		b := &baseline{settings: s, host: host, rng: rand.New(rand.NewPCG(seed, 0)), choose: choose,
			classes: map[string]balancer.Class{}, out: map[balancer.EndpointID]int{}, requests: map[balancer.RequestID]*tried{}}
		for _, c := range s.Classes {
			b.classes[c.Name] = c
		}
		b.turn = b.rng.IntN(math.MaxInt32) // or all begin with the same one
		return b, nil
	}
}

func (b *baseline) inTurn(up []balancer.Endpoint) balancer.EndpointID {
	b.turn++
	return up[b.turn%len(up)].ID
}

func (b *baseline) leastLoaded(up []balancer.Endpoint) balancer.EndpointID {
	at := b.rng.IntN(len(up)) // of equals, any
	best := up[at]
	for i := range up {
		if u := up[(at+i)%len(up)]; float64(b.out[u.ID])/u.Weight < float64(b.out[best.ID])/best.Weight {
			best = u
		}
	}
	return best.ID
}

func (b *baseline) randomOfTwo(up []balancer.Endpoint) balancer.EndpointID {
	x, y := up[b.rng.IntN(len(up))], up[b.rng.IntN(len(up))]
	if float64(b.out[y.ID])/y.Weight < float64(b.out[x.ID])/x.Weight {
		x = y
	}
	return x.ID
}

// Members takes what discovery says.
func (b *baseline) OnEndpointUpdate(_ time.Duration, mode balancer.UpdateMode, list []balancer.Endpoint) {
	if mode == balancer.UpdateFailed {
		return
	}
	if mode != balancer.UpdateDelta {
		b.list = nil
	}
	for _, u := range list {
		i, known := slices.BinarySearchFunc(b.list, u.ID, func(x balancer.Endpoint, id balancer.EndpointID) int { return int(x.ID) - int(id) })
		if known {
			b.list[i] = u
		} else {
			b.list = slices.Insert(b.list, i, u)
		}
	}
	b.up = slices.DeleteFunc(slices.Clone(b.list), func(u balancer.Endpoint) bool { return u.State != balancer.Active })
}

// Request takes a client's request.
func (b *baseline) OnRequest(now time.Duration, q balancer.Request) {
	r := &tried{class: b.classes[q.Class], deadline: now + q.Timeout}
	b.requests[q.ID] = r
	b.try(now, q.ID, r)
}

func (b *baseline) try(now time.Duration, id balancer.RequestID, r *tried) {
	safe := !r.ran || r.class.Idempotency == balancer.Idempotent
	switch {
	case len(b.up) > 0 && now < r.deadline && r.attempts < b.settings.Limits.MaxAttempts && safe:
		up := b.up
		if others := slices.DeleteFunc(slices.Clone(up), func(u balancer.Endpoint) bool { return u.ID == r.last }); r.attempts > 0 && len(others) > 0 {
			up = others
		}
		r.last = b.choose(b, up)
		r.attempts++
		b.out[r.last]++
		b.host.Send(id, r.last, 0)
	case safe:
		delete(b.requests, id)
		b.host.Reject(id, 0)
	default:
		delete(b.requests, id)
		b.host.Fail(id)
	}
}

// Outcome takes the end of an attempt.
func (b *baseline) OnAttemptResult(now time.Duration, o balancer.AttemptResult) {
	b.out[o.Endpoint]--
	r := b.requests[o.ID]
	switch {
	case r == nil:
	case o.Status == balancer.OK || o.RequestClosed:
		delete(b.requests, o.ID)
	default:
		notRun := o.Status == balancer.Rejected || o.Status == balancer.ConnectFailed || o.Status == balancer.NotSent
		r.ran = r.ran || !notRun
		b.try(now, o.ID, r)
	}
}

// Gone drops a request whose client has left.
func (b *baseline) OnClientDisconnected(_ time.Duration, id balancer.RequestID) {
	delete(b.requests, id)
}

// The rest tells a baseline nothing.
func (b *baseline) OnBodySent(time.Duration, balancer.RequestID, int)             {}
func (b *baseline) OnStreamStarted(time.Duration, balancer.RequestID, int)        {}
func (b *baseline) OnHealthCheckResult(time.Duration, balancer.HealthCheckResult) {}
func (b *baseline) OnTimer(now time.Duration, token uint64)                       {}
