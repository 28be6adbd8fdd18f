// Package model runs a scenario as a discrete-event simulation in virtual time. Each balancer is the real decision module.
// Upstreams and clients are those of the live engine. There are no sockets, so that a fleet may be larger than any machine
// could run.
//
// Each party is an actor with its own queue. Actors share no state and only send messages to each other. No message takes
// less than the shortest delay of the scenario's network. Therefore messages that are due within that delay from now can't
// affect each other across actors, and workers handle them in parallel. Each actor handles its messages in order of time,
// then of sender, then of sending. So the history is the same, byte for byte, with any number of workers. Between such
// steps, a single goroutine applies the timetable of faults.
package model

import (
	"cmp"
	"container/heap"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/scenario"
)

const (
	// tailDuration is how long the run continues after the last deadline, for late responses and retries.
	tailDuration = 2 * time.Second
	// actorStream separates the actors' random streams from other uses of the scenario's seed.
	actorStream = 0x6d6f64656c
)

// Options configures a run of the model engine.
type Options struct {
	Workers int    // goroutines that handle actors in parallel; 0: one
	Policy  string // a name of Policies; empty: the program's decision module
	// Progress, if set, is called whenever another second of virtual time has passed.
	Progress func(at time.Duration)
}

// sim is the state of a run.
type sim struct {
	scenario    *scenario.Scenario
	fleet       *scenario.Fleet
	paths       *scenario.Paths
	arrivals    []scenario.Arrival
	faultHits   []scenario.AffectedSet // by fault
	minDelay    time.Duration          // between any two parties
	ingresses   []*actor               // by zone
	nodes       []*actor               // by balancer
	servers     []*actor               // by upstream
	actors      []*actor               // all actors, by id
	queue       actorQueue
	faultEvents []history.Event
}

// Run runs a scenario in virtual time and returns its history.
func Run(ctx context.Context, sc *scenario.Scenario, o Options) ([]history.Event, error) {
	policy, err := policyByName(o.Policy)
	if err != nil {
		return nil, err
	}
	return runWithPolicy(ctx, sc, o, policy)
}

// runWithPolicy runs a scenario with the modules of a factory, whatever the options name.
func runWithPolicy(ctx context.Context, sc *scenario.Scenario, o Options, policy policyFactory) ([]history.Event, error) {
	s := &sim{scenario: sc, fleet: sc.Fleet(), arrivals: sc.Arrivals()}
	s.paths = sc.NewPaths(s.fleet)
	_, s.faultHits = sc.FaultSchedule()
	s.minDelay = s.paths.MinDelay()
	if err := s.populate(policy); err != nil {
		return nil, err
	}
	if err := s.run(ctx, o); err != nil {
		return nil, err
	}
	events := s.faultEvents
	for _, a := range s.actors {
		events = append(events, a.events...)
	}
	slices.SortStableFunc(events, func(a, b history.Event) int { return cmp.Compare(a.At, b.At) })
	return events, nil
}

// populate creates the actors, in a fixed order, with their first messages.
func (s *sim) populate(policy policyFactory) error {
	for z := range s.fleet.Zones {
		s.ingresses = append(s.ingresses, s.addActor(scenario.ClientsParty, z))
	}
	for b := range s.fleet.Balancers {
		s.nodes = append(s.nodes, s.addActor(scenario.BalancerParty, b))
	}
	for u := range s.fleet.Upstreams {
		s.servers = append(s.servers, s.addActor(scenario.UpstreamParty, u))
	}
	for z, a := range s.ingresses {
		a.handler = newIngress(a, z)
	}
	for u, a := range s.servers {
		a.handler = newUpstream(a, u)
	}
	for b, a := range s.nodes {
		n, err := newNode(a, b, policy)
		if err != nil {
			return err
		}
		a.handler = n
	}
	for i, arrival := range s.arrivals {
		in := s.ingresses[arrival.Zone]
		in.queue = append(in.queue, message{at: arrival.At, from: in.id, to: in.id, seq: in.nextSeq(), kind: msgArrival, index: int32(i)})
	}
	for _, a := range s.actors {
		s.deliver(a)
	}
	for _, a := range s.actors {
		heap.Init(&a.queue)
		if len(a.queue) > 0 {
			heap.Push(&s.queue, a)
		}
	}
	return nil
}

// addActor adds an actor for a party, with a random stream of its own.
func (s *sim) addActor(kind scenario.PartyKind, index int) *actor {
	id := len(s.actors)
	a := &actor{
		sim:       s,
		id:        int32(id),
		party:     scenario.Party{Kind: kind, Index: index},
		rng:       rand.New(rand.NewPCG(s.scenario.Seed, uint64(id)<<32|actorStream)),
		heapIndex: -1,
	}
	s.actors = append(s.actors, a)
	return a
}

// run processes messages and faults in steps of at most minDelay, until the end of the run.
func (s *sim) run(ctx context.Context, o Options) error {
	changes, _ := s.scenario.FaultSchedule()
	end := s.scenario.Length.D() + s.scenario.MaxDeadline() + tailDuration
	progress := progressReporter{report: o.Progress, length: s.scenario.Length.D()}
	workers := newPool(max(1, o.Workers))
	defer workers.close()
	var batch []*actor
	for len(s.queue) > 0 || len(changes) > 0 {
		at := end
		if len(s.queue) > 0 {
			at = s.queue[0].queue[0].at
		}
		if len(changes) > 0 && changes[0].At <= at {
			s.applyChange(changes[0])
			changes = changes[1:]
			continue
		}
		if at >= end {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		progress.advanceTo(at)
		until := at + s.minDelay
		if len(changes) > 0 {
			until = min(until, changes[0].At)
		}
		batch = s.takeDue(batch[:0], until)
		s.step(workers, batch, until)
	}
	return nil
}

// step has the actors of a batch handle their messages that are due before a time, and then delivers what they sent.
func (s *sim) step(workers *pool, batch []*actor, until time.Duration) {
	workers.forEach(batch, func(a *actor) { a.handleUntil(until) })
	for _, a := range batch {
		s.deliver(a)
	}
	for _, a := range batch {
		s.schedule(a)
	}
}

// progressReporter calls Options.Progress whenever another second of virtual time has passed.
type progressReporter struct {
	report   func(at time.Duration) // may be nil
	length   time.Duration          // of the scenario
	reported time.Duration          // in whole seconds
}

func (p *progressReporter) advanceTo(at time.Duration) {
	second := at.Truncate(time.Second)
	if p.report == nil || second <= p.reported {
		return
	}
	p.reported = second
	p.report(min(second, p.length))
}

// takeDue removes from the queue the actors that have a message due before a time, and appends them to batch.
func (s *sim) takeDue(batch []*actor, until time.Duration) []*actor {
	for len(s.queue) > 0 && s.queue[0].queue[0].at < until {
		batch = append(batch, heap.Pop(&s.queue).(*actor))
	}
	return batch
}

// deliver moves the messages that an actor has sent into the queues of their receivers.
func (s *sim) deliver(a *actor) {
	for _, m := range a.outbox {
		to := s.actors[m.to]
		heap.Push(&to.queue, m)
		if to != a {
			s.schedule(to)
		}
	}
	a.outbox = a.outbox[:0]
}

// schedule inserts an actor into the queue of actors, or moves it to its new position.
func (s *sim) schedule(a *actor) {
	switch {
	case len(a.queue) == 0:
	case a.heapIndex < 0:
		heap.Push(&s.queue, a)
	default:
		heap.Fix(&s.queue, a.heapIndex)
	}
}

// applyChange applies the begin or the end of a fault.
func (s *sim) applyChange(c scenario.FaultTransition) {
	fault := s.scenario.Faults[c.Fault]
	hit := s.faultHits[c.Fault]
	event := history.Event{At: c.At, Kind: history.FaultEnded, Fault: int32(c.Fault), Arrival: history.None, Balancer: history.None, Upstream: history.None}
	m := message{at: c.At, kind: msgFaultEnds, index: int32(c.Fault)}
	if c.Transition == scenario.Begin {
		event.Kind = history.FaultBegan
		m.kind = msgFaultBegins
	}
	s.faultEvents = append(s.faultEvents, event)
	var targets []*actor
	switch hit.Scope {
	case scenario.OnLinks:
		s.paths.Apply(c.Fault, c.Transition)
		if fault.Kind == scenario.LinkReset {
			targets = s.nodes
		}
		s.releaseBlocked(c.At)
	case scenario.OnUpstreams:
		targets = selectActors(s.servers, hit.Targets)
		s.announceUpdate(c, fault, hit)
	case scenario.OnBalancers, scenario.OnDiscovery:
		targets = selectActors(s.nodes, hit.Targets)
	}
	for _, a := range targets {
		m.from = a.id
		m.to = a.id
		m.seq = a.nextSeq()
		heap.Push(&a.queue, m)
		s.schedule(a)
	}
}

// selectActors returns the actors at the given indices.
func selectActors(actors []*actor, indices []int) []*actor {
	selected := make([]*actor, 0, len(indices))
	for _, i := range indices {
		selected = append(selected, actors[i])
	}
	return selected
}

// announceUpdate sends every discovery agent the change of the endpoint list that a fault causes, after the delay with
// which discovery notices it.
func (s *sim) announceUpdate(c scenario.FaultTransition, fault scenario.Fault, hit scenario.AffectedSet) {
	phase, delay, warmsUp := s.scenario.EndpointPhase(fault, c.Transition)
	if phase == "" {
		return
	}
	update := &endpointUpdate{upstreams: hit.Targets, phase: phase}
	if warmsUp {
		update.startedAt = c.At
	}
	for _, a := range s.nodes {
		a.now = max(a.now, c.At)
		a.after(c.At+delay-a.now, message{kind: msgEndpointUpdate, update: update})
		s.schedule(a)
	}
}

// releaseBlocked sends again all messages that waited for a cut link. Those whose link is still cut wait on.
func (s *sim) releaseBlocked(now time.Duration) {
	for _, a := range s.actors {
		blocked := a.blocked
		a.blocked = nil
		if len(blocked) == 0 {
			continue
		}
		a.now = max(a.now, now)
		for _, b := range blocked {
			a.send(b.to, b.message)
		}
		s.deliver(a)
	}
}
