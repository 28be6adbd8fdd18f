// Package model plays a day in virtual time. Each balancer is the decision module itself. Upstreams and clients are those of
// the live engine. There are no sockets, so that a fleet may be larger than any machine could run.
//
// Each party is an actor with its own queue. Actors share no state and only send messages to each other. No message takes
// less than the shortest delay of the day's network. Therefore messages that are due within that delay from now can't
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
	// dayTail is how long after the last deadline the day still runs, for late answers and retries.
	dayTail = 2 * time.Second
	// actorStream sets the actors' random streams apart from other uses of the day's seed.
	actorStream = 0x6d6f64656c
)

// Options is how a day is modelled.
type Options struct {
	Workers int    // at most this many at once; 0: one
	Policy  string // a name of Policies; empty: the program's own
	// Progress is called for each second of the day that has passed. It may be nil.
	Progress func(at time.Duration)
}

// sim is a day being modelled.
type sim struct {
	day         *scenario.Scenario
	fleet       *scenario.Fleet
	paths       *scenario.Paths
	arrivals    []scenario.Arrival
	hits        []scenario.Hit
	minDelay    time.Duration // no message is faster
	fronts      []*actor      // by zone
	nodes       []*actor      // by balancer
	servers     []*actor      // by upstream
	actors      []*actor      // all of them, by id
	queue       actorQueue
	faultEvents []history.Event
}

// Play models a day and returns its history.
func Play(ctx context.Context, d *scenario.Scenario, o Options) ([]history.Event, error) {
	policy, err := policyNamed(o.Policy)
	if err != nil {
		return nil, err
	}
	return playWith(ctx, d, o, policy)
}

// playWith is Play with the given policy in every balancer.
func playWith(ctx context.Context, d *scenario.Scenario, o Options, policy newPolicy) ([]history.Event, error) {
	s := &sim{day: d, fleet: d.Fleet(), arrivals: d.Arrivals()}
	s.paths = d.NewPaths(s.fleet)
	_, s.hits = d.Timetable()
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

// populate makes the actors in a fixed order and gives each its first messages.
func (s *sim) populate(policy newPolicy) error {
	for z := range s.fleet.Zones {
		s.fronts = append(s.fronts, s.addActor(scenario.ClientsParty, z))
	}
	for b := range s.fleet.Balancers {
		s.nodes = append(s.nodes, s.addActor(scenario.BalancerParty, b))
	}
	for u := range s.fleet.Upstreams {
		s.servers = append(s.servers, s.addActor(scenario.UpstreamParty, u))
	}
	for z, a := range s.fronts {
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
		f := s.fronts[arrival.Zone]
		f.queue = append(f.queue, message{at: arrival.At, from: f.id, to: f.id, seq: f.nextSeq(), kind: msgArrival, index: int32(i)})
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

// addActor adds an actor for a party, with random draws of its own.
func (s *sim) addActor(kind scenario.PartyKind, index int) *actor {
	id := len(s.actors)
	a := &actor{
		sim:       s,
		id:        int32(id),
		party:     scenario.Party{Kind: kind, Index: index},
		rng:       rand.New(rand.NewPCG(s.day.Seed, uint64(id)<<32|actorStream)),
		heapIndex: -1,
	}
	s.actors = append(s.actors, a)
	return a
}

// run plays the day, a step at a time.
func (s *sim) run(ctx context.Context, o Options) error {
	changes, _ := s.day.Timetable()
	end := s.day.Length.D() + s.day.MaxDeadline() + dayTail
	progress := progressReporter{report: o.Progress, length: s.day.Length.D()}
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

// step has the actors of a batch handle what is due before a time, and then delivers what they sent.
func (s *sim) step(workers *pool, batch []*actor, until time.Duration) {
	workers.each(batch, func(a *actor) { a.handleUntil(until) })
	for _, a := range batch {
		s.deliver(a)
	}
	for _, a := range batch {
		s.schedule(a)
	}
}

// progressReporter calls Options.Progress once for each second of the day that has passed.
type progressReporter struct {
	report   func(at time.Duration) // may be nil
	length   time.Duration          // of the day
	reported time.Duration          // whole seconds
}

func (p *progressReporter) advanceTo(at time.Duration) {
	second := at.Truncate(time.Second)
	if p.report == nil || second <= p.reported {
		return
	}
	p.reported = second
	p.report(min(second, p.length))
}

// takeDue takes off the queue the actors that have a message due before a time, and appends them to batch.
func (s *sim) takeDue(batch []*actor, until time.Duration) []*actor {
	for len(s.queue) > 0 && s.queue[0].queue[0].at < until {
		batch = append(batch, heap.Pop(&s.queue).(*actor))
	}
	return batch
}

// deliver puts what an actor has sent into its receivers' queues.
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

// schedule puts an actor at its place in the queue.
func (s *sim) schedule(a *actor) {
	switch {
	case len(a.queue) == 0:
	case a.heapIndex < 0:
		heap.Push(&s.queue, a)
	default:
		heap.Fix(&s.queue, a.heapIndex)
	}
}

// applyChange carries out a row of the timetable.
func (s *sim) applyChange(c scenario.Change) {
	fault := s.day.Faults[c.Fault]
	hit := s.hits[c.Fault]
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
		targets = pickActors(s.servers, hit.Targets)
		s.announceUpdate(c, fault, hit)
	case scenario.OnBalancers, scenario.OnDiscovery:
		targets = pickActors(s.nodes, hit.Targets)
	}
	for _, a := range targets {
		m.from = a.id
		m.to = a.id
		m.seq = a.nextSeq()
		heap.Push(&a.queue, m)
		s.schedule(a)
	}
}

func pickActors(of []*actor, indices []int) []*actor {
	picked := make([]*actor, 0, len(indices))
	for _, i := range indices {
		picked = append(picked, of[i])
	}
	return picked
}

// announceUpdate sends every balancer's agent the effect of a fault on the endpoint list, when discovery notices it.
func (s *sim) announceUpdate(c scenario.Change, fault scenario.Fault, hit scenario.Hit) {
	phase, delay, warmsUp := s.day.EndpointPhase(fault, c.Transition)
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

// releaseBlocked sends the messages that waited for links which are up again.
func (s *sim) releaseBlocked(now time.Duration) {
	for _, a := range s.actors {
		blocked := a.blocked
		a.blocked = nil
		if len(blocked) == 0 {
			continue
		}
		a.now = max(a.now, now)
		for _, b := range blocked {
			a.send(b.to, b.m)
		}
		s.deliver(a)
	}
}
