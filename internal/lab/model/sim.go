// Package model plays a day in virtual time: the decision module itself for every balancer, the same emulated upstreams
// and clients as the live engine, and no sockets. It is for fleets that no machine holds.
//
// Everyone who takes part is an actor with a queue of its own. Actors touch nothing of each other's; they send messages,
// and none comes sooner than the shortest way of the day's network. So all that happens within that time from now can be
// worked off in any order, on any number of workers, and the outcome is the same to the byte: an actor takes its messages
// by time, then sender, then the order in which they were sent. Between such steps, on one worker, the timetable changes
// the network.
package model

import (
	"cmp"
	"container/heap"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sprucehill/internal/lab/day"
	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/server"
)

const (
	// messageSize is the bytes of a message with its head, on ways that have a rate.
	messageSize = 400
	// manyActors is how many actors must have something to do before it is worth waking other workers.
	manyActors = 8
	// tail is how long after the last deadline the day still runs, for answers that are late and for retries.
	tail = 2 * time.Second
)

// Options is how a day is modelled.
type Options struct {
	Workers int    // at most this many at once; 0: one
	Policy  string // a name of Policies; empty: the program's own
	// Progress is told of each second that has gone by. It may be nil.
	Progress func(at time.Duration)
}

// kind is what a message says.
type kind uint8

const (
	// To clients, from themselves.
	arrive  kind = iota // an arrival's time has come; n: which
	again               // a client tries once more
	clients             // a try's patience is over
	askTick             // a front asks for health
	// Between clients and balancers.
	ask    // health
	health // on: yes
	syn    // a connection is wanted
	synAck
	rst // there is nobody, or no more; on: it ended under a request that was taken
	request
	gone // the client has left
	answer
	hangup // all idle connections are closed
	// To balancers, from themselves.
	timer    // of the module; id: its token
	expire   // an attempt's time is over
	overdue  // a request's time is over
	unlinked // a connection has not come up in time
	emptied  // it may end, if nothing is owed
	boot
	list // what discovery has to tell
	// Between balancers and upstreams.
	attempt
	abandon // and its connection is closed
	closed  // an idle connection is
	reply
	// To upstreams, from themselves.
	wake
	// From the timetable.
	begin
	end
)

// message is one event for an actor.
type message struct {
	at       time.Duration
	seq      uint64
	from, to int32
	kind     kind
	on       bool
	kept     bool // on a connection that had served before
	status   int16
	n        int32
	wave     int32 // of the process that set a timer
	id       uint64
	try      *try
	span     time.Duration // a wait that is advised, or what is left of a deadline
	load     server.Report
	loaded   bool
	news     *news
}

// try is a client's request, the same for all who see it.
type try struct {
	id       uint64
	arrival  int32
	number   int32
	deadline time.Duration
	leaves   time.Duration
}

// queue is an actor's messages in order.
type queue []message

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q queue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].from, q[j].from), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q *queue) Push(x any) { *q = append(*q, x.(message)) }
func (q *queue) Pop() any {
	last := len(*q) - 1
	m := (*q)[last]
	(*q)[last] = message{}
	*q = (*q)[:last]
	return m
}

// handler is what an actor does.
type handler interface{ handle(m message) }

// actor is one party with its queue. Only whoever works on it touches it.
type actor struct {
	sim    *sim
	id     int32
	party  day.Party
	rng    *rand.Rand
	do     handler
	now    time.Duration
	queue  queue
	seq    uint64
	out    []message // sent in this step
	held   []parcel  // sent over a way that is cut
	events []history.Event
	index  int // in the heap of actors
}

// parcel is a message that waits for its way.
type parcel struct {
	to *actor
	m  message
}

// agenda is all actors that have something to do, the earliest first.
type agenda []*actor

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].queue[0].at, a[j].queue[0].at), cmp.Compare(a[i].id, a[j].id)) < 0
}
func (a agenda) Swap(i, j int) {
	a[i], a[j] = a[j], a[i]
	a[i].index, a[j].index = i, j
}
func (a *agenda) Push(x any) {
	x.(*actor).index = len(*a)
	*a = append(*a, x.(*actor))
}
func (a *agenda) Pop() any {
	last := len(*a) - 1
	x := (*a)[last]
	(*a)[last], *a = nil, (*a)[:last]
	x.index = -1
	return x
}

// sim is a day being modelled.
type sim struct {
	day      *day.Day
	fleet    *day.Fleet
	paths    *day.Paths
	arrivals []day.Arrival
	hits     []day.Hit
	least    time.Duration // no message is faster
	zones    []*actor
	nodes    []*actor
	servers  []*actor
	all      []*actor
	agenda   agenda
	faults   []history.Event
}

// Play models a day and returns its history.
func Play(ctx context.Context, d *day.Day, o Options) ([]history.Event, error) {
	policy, err := policyOf(o.Policy)
	if err != nil {
		return nil, err
	}
	return playWith(ctx, d, o, policy)
}

// playWith is Play with the given policy in every balancer.
func playWith(ctx context.Context, d *day.Day, o Options, policy newPolicy) ([]history.Event, error) {
	s := &sim{day: d, fleet: d.Fleet(), arrivals: d.Arrivals()}
	s.paths = d.NewPaths(s.fleet)
	_, s.hits = d.Timetable()
	s.least = s.paths.Least()
	if err := s.populate(policy); err != nil {
		return nil, err
	}
	if err := s.run(ctx, o); err != nil {
		return nil, err
	}
	events := s.faults
	for _, a := range s.all {
		events = append(events, a.events...)
	}
	slices.SortStableFunc(events, func(a, b history.Event) int { return cmp.Compare(a.At, b.At) })
	return events, nil
}

// populate makes the actors in a fixed order and gives each its first messages.
func (s *sim) populate(policy newPolicy) error {
	add := func(p day.PartyKind, index int) *actor {
		a := &actor{sim: s, id: int32(len(s.all)), party: day.Party{Kind: p, Index: index}, index: -1,
			rng: rand.New(rand.NewPCG(s.day.Seed, uint64(len(s.all))<<32|0x6d6f64656c))}
		s.all = append(s.all, a)
		return a
	}
	for z := range s.fleet.Zones {
		s.zones = append(s.zones, add(day.ClientsParty, z))
	}
	for b := range s.fleet.Balancers {
		s.nodes = append(s.nodes, add(day.BalancerParty, b))
	}
	for u := range s.fleet.Upstreams {
		s.servers = append(s.servers, add(day.UpstreamParty, u))
	}
	for z, a := range s.zones {
		a.do = newFront(a, z)
	}
	for u, a := range s.servers {
		a.do = newUpstream(a, u)
	}
	for b, a := range s.nodes {
		n, err := newNode(a, b, policy)
		if err != nil {
			return err
		}
		a.do = n
	}
	for i, x := range s.arrivals {
		z := s.zones[x.Zone]
		z.queue = append(z.queue, message{at: x.At, from: z.id, to: z.id, seq: z.next(), kind: arrive, n: int32(i)})
	}
	for _, a := range s.all {
		s.deliver(a)
	}
	for _, a := range s.all {
		heap.Init(&a.queue)
		if len(a.queue) > 0 {
			heap.Push(&s.agenda, a)
		}
	}
	return nil
}

func (a *actor) next() uint64 {
	a.seq++
	return a.seq
}

// run works the day off, a step at a time.
func (s *sim) run(ctx context.Context, o Options) error {
	changes, _ := s.day.Timetable()
	over := s.day.Length.D() + s.day.Longest() + tail
	told := time.Duration(0)
	pool := newPool(max(1, o.Workers))
	defer pool.close()
	var batch []*actor
	for len(s.agenda) > 0 || len(changes) > 0 {
		at := over
		if len(s.agenda) > 0 {
			at = s.agenda[0].queue[0].at
		}
		if len(changes) > 0 && changes[0].At <= at {
			s.change(changes[0])
			changes = changes[1:]
			continue
		}
		if at >= over {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		if second := at.Truncate(time.Second); o.Progress != nil && second > told {
			told = second
			o.Progress(min(told, s.day.Length.D()))
		}
		until := at + s.least
		if len(changes) > 0 {
			until = min(until, changes[0].At)
		}
		batch = batch[:0]
		for len(s.agenda) > 0 && s.agenda[0].queue[0].at < until {
			batch = append(batch, heap.Pop(&s.agenda).(*actor))
		}
		pool.each(batch, func(a *actor) { a.work(until) })
		for _, a := range batch {
			s.deliver(a)
		}
		for _, a := range batch {
			s.schedule(a)
		}
	}
	return nil
}

// work lets an actor take its messages up to a time.
func (a *actor) work(until time.Duration) {
	for len(a.queue) > 0 && a.queue[0].at < until {
		m := heap.Pop(&a.queue).(message)
		a.now = m.at
		a.do.handle(m)
	}
}

// deliver hands on what an actor has sent.
func (s *sim) deliver(a *actor) {
	for _, m := range a.out {
		to := s.all[m.to]
		heap.Push(&to.queue, m)
		if to != a {
			s.schedule(to)
		}
	}
	a.out = a.out[:0]
}

// schedule puts an actor in its place on the agenda.
func (s *sim) schedule(a *actor) {
	switch {
	case len(a.queue) == 0:
	case a.index < 0:
		heap.Push(&s.agenda, a)
	default:
		heap.Fix(&s.agenda, a.index)
	}
}

// change carries out a row of the timetable.
func (s *sim) change(c day.Change) {
	fault, hit := s.day.Faults[c.Fault], s.hits[c.Fault]
	e := history.Event{At: c.At, Kind: history.FaultOff, Fault: int32(c.Fault), Arrival: history.None, Balancer: history.None, Upstream: history.None}
	m := message{at: c.At, kind: end, n: int32(c.Fault)}
	if c.On {
		e.Kind, m.kind = history.FaultOn, begin
	}
	s.faults = append(s.faults, e)
	var to []*actor
	switch hit.Scope {
	case day.OnLinks:
		s.paths.Set(c.Fault, c.On)
		if fault.Kind == "reset" {
			to = s.nodes
		}
		s.release(c.At)
	case day.OnUpstreams:
		to = pickActors(s.servers, hit.Targets)
		s.announce(c, fault, hit)
	case day.OnBalancers, day.OnDiscovery:
		to = pickActors(s.nodes, hit.Targets)
	}
	for _, a := range to {
		m.from, m.to, m.seq = a.id, a.id, a.next()
		heap.Push(&a.queue, m)
		s.schedule(a)
	}
}

func pickActors(of []*actor, indices []int) []*actor {
	var picked []*actor
	for _, i := range indices {
		picked = append(picked, of[i])
	}
	return picked
}

// release sends what was held on ways that are whole again.
func (s *sim) release(now time.Duration) {
	for _, a := range s.all {
		held := a.held
		if a.held = nil; len(held) == 0 {
			continue
		}
		a.now = max(a.now, now)
		for _, p := range held {
			a.send(p.to, p.m)
		}
		s.deliver(a)
	}
}

// send lets a message go to another actor. Over a way that is cut it waits until that is whole.
func (a *actor) send(to *actor, m message) {
	c := a.sim.paths.Now(a.party, to.party)
	if c.Cut {
		a.held = append(a.held, parcel{to, m})
		return
	}
	d := c.Lag(messageSize, a.rng.Float64)
	m.at, m.from, m.to, m.seq = a.now+max(d, a.sim.least), a.id, to.id, a.next()
	a.out = append(a.out, m)
}

// after sends a message to itself.
func (a *actor) after(d time.Duration, m message) {
	m.at, m.from, m.to, m.seq = a.now+max(d, 0), a.id, a.id, a.next()
	// Not over the outbox: it may be due within this step.
	heap.Push(&a.queue, m)
}

// note writes an event down.
func (a *actor) note(e history.Event) {
	e.At = a.now
	a.events = append(a.events, e)
}

// pool is a number of workers that share the actors of a step.
type pool struct {
	size int
	jobs chan func()
	done sync.WaitGroup
}

func newPool(size int) *pool {
	p := &pool{size: size, jobs: make(chan func())}
	for range size - 1 {
		p.done.Go(func() {
			for job := range p.jobs {
				job()
			}
		})
	}
	return p
}

func (p *pool) close() {
	close(p.jobs)
	p.done.Wait()
}

// each works on every actor and returns when all are done. A few are not worth waking anybody.
func (p *pool) each(batch []*actor, work func(*actor)) {
	if p.size == 1 || len(batch) < manyActors {
		for _, a := range batch {
			work(a)
		}
		return
	}
	var next atomic.Int64
	share := func() {
		for i := next.Add(1) - 1; int(i) < len(batch); i = next.Add(1) - 1 {
			work(batch[i])
		}
	}
	var side sync.WaitGroup
	for range min(p.size-1, len(batch)/manyActors) {
		side.Add(1)
		p.jobs <- func() {
			defer side.Done()
			share()
		}
	}
	share()
	side.Wait()
}
