package model

import (
	"math/rand/v2"
	"time"

	"sprucehill/internal/lab/check"
	"sprucehill/internal/lab/client"
	"sprucehill/internal/lab/history"
)

// askEvery is how often a front asks for a balancer's health, as live fronts do.
const askEvery = 100 * time.Millisecond

// front is the clients of a zone with the front that spreads them over its balancers.
type front struct {
	*actor
	zone    int
	clients *client.Zone
	turn    int
	nodes   []int // of the zone
	by      map[int32]int
	idle    []int // connections, by place in nodes
	heard   []time.Duration
	admits  []bool
	tries   map[uint64]*pending
}

// pending is a try that has no end yet.
type pending struct {
	*try
	place int // of its balancer
	sent  bool
	kept  bool
	fresh bool // it has met a closed connection already
}

func newFront(a *actor, zone int) *front {
	f := &front{actor: a, zone: zone, clients: client.NewZone(a.sim.day), nodes: a.sim.fleet.Zones[zone].Balancers,
		by: map[int32]int{}, tries: map[uint64]*pending{}}
	for i, b := range f.nodes {
		f.by[a.sim.nodes[b].id] = i
		a.after(time.Duration(a.rng.Float64()*float64(askEvery)), message{kind: askTick, n: int32(i)})
	}
	f.idle, f.heard, f.admits = make([]int, len(f.nodes)), make([]time.Duration, len(f.nodes)), make([]bool, len(f.nodes))
	for i := range f.admits {
		f.admits[i] = true // clients come once all balancers are ready
	}
	return f
}

func (f *front) node(place int) *actor { return f.sim.nodes[f.nodes[place]] }

func (f *front) handle(m message) {
	p := f.tries[m.id]
	switch m.kind {
	case arrive:
		f.clients.First()
		f.try(m.n, 0)
	case again:
		f.try(m.n, int32(m.status))
	case askTick:
		f.ask(m)
	case health:
		i := f.by[m.from]
		if f.heard[i] = f.now; m.on && !f.admits[i] {
			f.note(history.Event{Kind: history.Ready, Balancer: int32(f.nodes[i]), Upstream: history.None, Arrival: history.None})
		}
		f.admits[i] = m.on
	case hangup:
		f.idle[f.by[m.from]] = 0
	case synAck:
		if p != nil && !p.sent {
			f.put(p)
		}
	case rst:
		if p != nil {
			f.broken(p, m.on)
		}
	case answer:
		if p != nil {
			f.answered(p, m)
		}
	case clients:
		if p != nil {
			f.impatient(p)
		}
	}
}

// ask asks a balancer for its health. One that has not been heard of for the time that it takes to notice gets nobody.
func (f *front) ask(m message) {
	i := int(m.n)
	if f.now-f.heard[i] >= f.sim.day.Balancer.Notice.D() {
		f.admits[i] = false
	}
	f.send(f.node(i), message{kind: ask})
	f.after(askEvery, message{kind: askTick, n: m.n})
}

// try begins a try of an arrival.
func (f *front) try(arrival, number int32) {
	a := f.sim.arrivals[arrival]
	class := f.sim.day.Classes[a.Class]
	p := &pending{try: &try{id: f.sim.day.TryID(int(arrival), int(number)), arrival: arrival, number: number,
		deadline: a.At + class.Deadline.D()}}
	if a.Leaves > 0 && number == 0 {
		p.leaves = a.At + a.Leaves
	}
	f.tries[p.id] = p
	f.attempt(p)
	patience := p.deadline + check.Grace
	if p.leaves > 0 {
		patience = p.leaves
	} else {
		f.after(p.deadline-f.now, message{kind: clients, id: p.id}) // a connection is not waited for beyond it
	}
	f.after(patience-f.now, message{kind: clients, id: p.id})
}

// attempt sends a try to the balancer whose turn it is.
func (f *front) attempt(p *pending) {
	for range f.nodes {
		f.turn++
		if i := f.turn % len(f.nodes); f.admits[i] {
			p.place, p.sent, p.kept = i, false, false
			if f.idle[i] > 0 && !p.fresh {
				f.idle[i]--
				p.kept = true
				f.put(p)
			} else {
				f.send(f.node(i), message{kind: syn, id: p.id})
			}
			return
		}
	}
	f.finish(p, client.Unreached, 0)
}

// put writes the request.
func (f *front) put(p *pending) {
	p.sent = true
	e := f.event(p, history.Asked)
	e.Limit = p.deadline
	f.note(e)
	f.send(f.node(p.place), message{kind: request, id: p.id, try: p.try, kept: p.kept, span: p.deadline - f.now})
}

// event is one of a try.
func (f *front) event(p *pending, kind history.Kind) history.Event {
	return history.Event{Kind: kind, Req: p.id, Arrival: p.arrival, Try: int8(p.number), Class: int16(f.sim.arrivals[p.arrival].Class),
		Balancer: int32(f.nodes[p.place]), Upstream: history.None}
}

// broken ends a try whose connection ended; taken: its balancer had read it.
func (f *front) broken(p *pending, taken bool) {
	switch {
	case !p.sent:
		f.note(f.event(p, history.Refused))
		f.finish(p, client.Unreached, 0)
	case p.kept && !taken && !p.fresh: // closed between requests
		p.fresh = true
		f.attempt(p)
	default:
		f.note(f.event(p, history.Broken))
		f.finish(p, client.Failed, 0)
	}
}

func (f *front) answered(p *pending, m message) {
	if m.on {
		f.idle[p.place]++
	}
	e := f.event(p, history.Answered)
	e.Status, e.Result = m.status, client.Failed
	switch m.status {
	case statusOK:
		e.Result, e.Upstream, e.Serial = client.Served, m.n, int32(m.wave)
	case statusRefused:
		e.Result = client.Refused
	}
	f.note(e)
	f.finish(p, e.Result, m.span)
}

// impatient ends a try whose client waits no more.
func (f *front) impatient(p *pending) {
	switch {
	case p.leaves > 0 && f.now >= p.leaves:
		if p.sent {
			f.note(f.event(p, history.Left))
			f.send(f.node(p.place), message{kind: gone, id: p.id})
		}
		f.finish(p, client.Left, 0)
	case !p.sent && f.now >= p.deadline:
		f.note(f.event(p, history.Refused))
		f.finish(p, client.Unreached, 0)
	case p.sent && f.now >= p.deadline+check.Grace:
		f.note(f.event(p, history.Silent))
		f.send(f.node(p.place), message{kind: gone, id: p.id})
		f.finish(p, client.Failed, 0)
	}
}

// finish ends a try; its client may come again.
func (f *front) finish(p *pending, r client.Result, advice time.Duration) {
	delete(f.tries, p.id)
	a := f.sim.arrivals[p.arrival]
	coin := rand.New(rand.NewPCG(f.sim.day.Seed, uint64(p.arrival)<<8|uint64(p.number))).Float64()
	if wait, more := f.clients.Again(a.Class, r, int(p.number)+1, p.deadline-f.now, advice, coin); more {
		f.after(wait, message{kind: again, n: p.arrival, status: int16(p.number + 1)})
	}
}
