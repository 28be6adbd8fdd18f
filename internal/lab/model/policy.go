package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/lab/scenario"
)

// policyFactory makes the module that decides for a balancer: the program's decision module, or a baseline with the same
// interface.
type policyFactory func(s balancer.Settings, seed uint64, now time.Duration, effects balancer.Effects) (balancer.Events, error)

// Policies are the names of the policies that the model engine can run: the program's decision module, and baselines to
// compare it with.
var Policies = []string{ownPolicy, "round-robin", "least-loaded", "random-of-two", "true-state"}

// ownPolicy is the name of the program's decision module.
const ownPolicy = "sprucehill"

// policyByName returns the factory of a policy. The empty name is ownPolicy.
func policyByName(name string) (policyFactory, error) {
	switch name {
	case "", ownPolicy:
		return func(s balancer.Settings, seed uint64, now time.Duration, effects balancer.Effects) (balancer.Events, error) {
			return balancer.New(s, seed, now, effects)
		}, nil
	case "round-robin":
		return newBaseline((*baseline).roundRobin), nil
	case "least-loaded":
		return newBaseline((*baseline).leastLoaded), nil
	case "random-of-two":
		return newBaseline((*baseline).randomOfTwo), nil
	case "true-state":
		return newTrueState, nil
	}
	return nil, fmt.Errorf("%w: policy %q is not one of %s", scenario.ErrInput, name, strings.Join(Policies, ", "))
}

// baseline is a module that chooses among the active endpoints by a single rule. It retries only requests that are
// idempotent or have not been executed, on another endpoint if there is one. It has no slow start, ignores load reports and
// detects no outliers.
type baseline struct {
	settings  balancer.Settings
	effects   balancer.Effects
	rng       *rand.Rand
	choose    func(b *baseline, active []balancer.Endpoint) balancer.EndpointID
	classes   map[string]balancer.Class
	endpoints []balancer.Endpoint // by id
	active    []balancer.Endpoint
	inFlight  map[balancer.EndpointID]int
	requests  map[balancer.RequestID]*baselineRequest
	next      int // round-robin position
}

// baselineRequest is a request that has no response yet.
type baselineRequest struct {
	class        balancer.Class
	deadline     time.Duration
	attempts     int
	lastEndpoint balancer.EndpointID
	mayHaveRun   bool // an upstream may have executed an attempt
}

// newBaseline returns the factory of baselines that choose by a rule.
func newBaseline(choose func(*baseline, []balancer.Endpoint) balancer.EndpointID) policyFactory {
	return func(s balancer.Settings, seed uint64, _ time.Duration, effects balancer.Effects) (balancer.Events, error) {
		b := &baseline{
			settings: s,
			effects:  effects,
			rng:      rand.New(rand.NewPCG(seed, 0)),
			choose:   choose,
			classes:  map[string]balancer.Class{},
			inFlight: map[balancer.EndpointID]int{},
			requests: map[balancer.RequestID]*baselineRequest{},
		}
		for _, c := range s.Classes {
			b.classes[c.Name] = c
		}
		b.next = b.rng.IntN(math.MaxInt32) // so that the balancers do not all start with the same endpoint
		return b, nil
	}
}

// roundRobin chooses the endpoints in turn.
func (b *baseline) roundRobin(active []balancer.Endpoint) balancer.EndpointID {
	b.next++
	return active[b.next%len(active)].ID
}

// weightedLoad is the number of requests in flight to an endpoint from this balancer, divided by its weight.
func (b *baseline) weightedLoad(e balancer.Endpoint) float64 {
	return float64(b.inFlight[e.ID]) / e.Weight
}

// leastLoaded chooses the endpoint with the lowest weighted load.
func (b *baseline) leastLoaded(active []balancer.Endpoint) balancer.EndpointID {
	first := b.rng.IntN(len(active)) // a random one of equally loaded endpoints wins
	best := active[first]
	for i := range active {
		if e := active[(first+i)%len(active)]; b.weightedLoad(e) < b.weightedLoad(best) {
			best = e
		}
	}
	return best.ID
}

// randomOfTwo chooses the less loaded of two random endpoints (power of two choices).
func (b *baseline) randomOfTwo(active []balancer.Endpoint) balancer.EndpointID {
	one := active[b.rng.IntN(len(active))]
	other := active[b.rng.IntN(len(active))]
	if b.weightedLoad(other) < b.weightedLoad(one) {
		return other.ID
	}
	return one.ID
}

// OnEndpointUpdate applies an update of the endpoint list.
func (b *baseline) OnEndpointUpdate(_ time.Duration, mode balancer.UpdateMode, list []balancer.Endpoint) {
	if mode == balancer.UpdateFailed {
		return
	}
	if mode != balancer.UpdateDelta {
		b.endpoints = nil
	}
	for _, e := range list {
		i, known := slices.BinarySearchFunc(b.endpoints, e.ID, func(x balancer.Endpoint, id balancer.EndpointID) int { return int(x.ID) - int(id) })
		if known {
			b.endpoints[i] = e
		} else {
			b.endpoints = slices.Insert(b.endpoints, i, e)
		}
	}
	b.active = slices.DeleteFunc(slices.Clone(b.endpoints), func(e balancer.Endpoint) bool { return e.State != balancer.Active })
}

// OnRequest starts the first attempt of a client's request.
func (b *baseline) OnRequest(now time.Duration, request balancer.Request) {
	r := &baselineRequest{class: b.classes[request.Class], deadline: now + request.Timeout}
	b.requests[request.ID] = r
	b.attemptOrRespond(now, request.ID, r)
}

// attemptOrRespond starts another attempt of a request, or responds if no further attempt is permitted.
func (b *baseline) attemptOrRespond(now time.Duration, id balancer.RequestID, r *baselineRequest) {
	repeatable := !r.mayHaveRun || r.class.Idempotency == balancer.Idempotent
	switch {
	case len(b.active) > 0 && now < r.deadline && r.attempts < b.settings.Limits.MaxAttempts && repeatable:
		r.lastEndpoint = b.choose(b, b.candidates(r))
		r.attempts++
		b.inFlight[r.lastEndpoint]++
		b.effects.Send(id, r.lastEndpoint, 0)
	case repeatable:
		delete(b.requests, id)
		b.effects.Reject(id, 0)
	default:
		delete(b.requests, id)
		b.effects.Fail(id)
	}
}

// candidates returns the active endpoints without that of the last attempt, unless it is the only one.
func (b *baseline) candidates(r *baselineRequest) []balancer.Endpoint {
	if r.attempts == 0 {
		return b.active
	}
	others := slices.DeleteFunc(slices.Clone(b.active), func(e balancer.Endpoint) bool { return e.ID == r.lastEndpoint })
	if len(others) == 0 {
		return b.active
	}
	return others
}

// OnAttemptResult handles the outcome of an attempt.
func (b *baseline) OnAttemptResult(now time.Duration, result balancer.AttemptResult) {
	b.inFlight[result.Endpoint]--
	r := b.requests[result.ID]
	switch {
	case r == nil:
	case result.Status == balancer.OK || result.RequestClosed:
		delete(b.requests, result.ID)
	default:
		notRun := result.Status == balancer.Rejected || result.Status == balancer.ConnectFailed || result.Status == balancer.NotSent
		r.mayHaveRun = r.mayHaveRun || !notRun
		b.attemptOrRespond(now, result.ID, r)
	}
}

// OnClientDisconnected drops a request whose client has disconnected.
func (b *baseline) OnClientDisconnected(_ time.Duration, id balancer.RequestID) {
	delete(b.requests, id)
}

// OnBodyReceived does nothing.
func (b *baseline) OnBodyReceived(time.Duration, balancer.RequestID, time.Duration) {}

// OnBodySent does nothing.
func (b *baseline) OnBodySent(time.Duration, balancer.RequestID, int) {}

// OnStreamStarted does nothing.
func (b *baseline) OnStreamStarted(time.Duration, balancer.RequestID, int) {}

// OnHealthCheckResult does nothing.
func (b *baseline) OnHealthCheckResult(time.Duration, balancer.HealthCheckResult) {}

// OnTimer does nothing.
func (b *baseline) OnTimer(time.Duration, uint64) {}
