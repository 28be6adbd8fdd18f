package model

import (
	"math/rand/v2"
	"time"

	"sprucehill/internal/lab/check"
	"sprucehill/internal/lab/client"
	"sprucehill/internal/lab/history"
)

// healthCheckInterval is how often a front checks a balancer's health, as live fronts do.
const healthCheckInterval = 100 * time.Millisecond

// ingress is the clients of a zone with the ingress that spreads them over the zone's balancers.
type ingress struct {
	*actor
	zone         int
	clients      *client.Zone
	next         int           // round-robin position
	nodes        []int         // the zone's balancers; their places here index the slices below
	placeOfNode  map[int32]int // by actor
	idle         []int         // idle connections
	lastHealthAt []time.Duration
	healthy      []bool
	pending      map[uint64]*ingressRequest
}

// ingressRequest is a client's request that has not ended yet.
type ingressRequest struct {
	*clientRequest
	place        int  // of its balancer
	sent         bool // written on a connection
	reused       bool // its connection has served before
	retriedOnNew bool // it met a connection that had just been closed, and was sent again on a new one
}

func newIngress(a *actor, zone int) *ingress {
	nodes := a.sim.fleet.Zones[zone].Balancers
	f := &ingress{
		actor:        a,
		zone:         zone,
		clients:      client.NewZone(a.sim.day),
		nodes:        nodes,
		placeOfNode:  map[int32]int{},
		idle:         make([]int, len(nodes)),
		lastHealthAt: make([]time.Duration, len(nodes)),
		healthy:      make([]bool, len(nodes)),
		pending:      map[uint64]*ingressRequest{},
	}
	for i, b := range nodes {
		f.placeOfNode[a.sim.nodes[b].id] = i
		f.healthy[i] = true // a day begins once all balancers are ready
		phase := time.Duration(a.rng.Float64() * float64(healthCheckInterval))
		a.after(phase, message{kind: msgHealthCheckDue, index: int32(i)})
	}
	return f
}

func (f *ingress) node(place int) *actor { return f.sim.nodes[f.nodes[place]] }

func (f *ingress) handle(m message) {
	switch m.kind {
	case msgArrival:
		f.clients.AddRequest()
		f.startRequest(m.index, 0)
	case msgRetry:
		f.startRequest(m.index, m.number)
	case msgHealthCheckDue:
		f.checkHealth(m.index)
	case msgHealth:
		f.onHealth(f.placeOfNode[m.from], m)
	case msgIdleClosed:
		f.idle[f.placeOfNode[m.from]] = 0
	default:
		if r := f.pending[m.id]; r != nil {
			f.handleRequest(r, m)
		}
	}
}

// handleRequest handles a message about a request that has not ended.
func (f *ingress) handleRequest(r *ingressRequest, m message) {
	switch m.kind {
	case msgConnected:
		if !r.sent {
			f.write(r)
		}
	case msgReset:
		f.onReset(r, m.requestRead)
	case msgResponse:
		f.onResponse(r, m)
	case msgClientTimeout:
		f.onClientTimeout(r)
	}
}

// checkHealth checks a balancer's health. One that has not answered for the notice time gets no more requests.
func (f *ingress) checkHealth(index int32) {
	i := int(index)
	if f.now-f.lastHealthAt[i] >= f.sim.day.Balancer.Notice.D() {
		f.healthy[i] = false
	}
	f.send(f.node(i), message{kind: msgHealthCheck})
	f.after(healthCheckInterval, message{kind: msgHealthCheckDue, index: index})
}

// onHealth notes the answer to a health check, and records a balancer that has become ready.
func (f *ingress) onHealth(place int, answer message) {
	f.lastHealthAt[place] = f.now
	if answer.healthy && !f.healthy[place] {
		f.record(history.Event{Kind: history.Ready, Balancer: int32(f.nodes[place]), Upstream: history.None, Arrival: history.None})
	}
	f.healthy[place] = answer.healthy
}

// startRequest begins a client's request for an arrival. number counts its retries, from 0.
func (f *ingress) startRequest(arrival, number int32) {
	a := f.sim.arrivals[arrival]
	class := f.sim.day.Classes[a.Class]
	r := &ingressRequest{clientRequest: &clientRequest{
		id:       f.sim.day.RequestID(int(arrival), int(number)),
		arrival:  arrival,
		number:   number,
		deadline: a.At + class.Deadline.D(),
	}}
	if a.Leaves > 0 && number == 0 {
		r.leavesAt = a.At + a.Leaves
	}
	f.pending[r.id] = r
	f.assign(r)
	if r.leavesAt > 0 {
		f.after(r.leavesAt-f.now, message{kind: msgClientTimeout, id: r.id})
		return
	}
	// The first timer ends the wait for a connection, the second the wait for a response.
	f.after(r.deadline-f.now, message{kind: msgClientTimeout, id: r.id})
	f.after(r.deadline+check.Grace-f.now, message{kind: msgClientTimeout, id: r.id})
}

// assign sends a request to the next healthy balancer, round robin.
func (f *ingress) assign(r *ingressRequest) {
	for range f.nodes {
		f.next++
		place := f.next % len(f.nodes)
		if !f.healthy[place] {
			continue
		}
		r.place = place
		r.sent = false
		r.reused = f.idle[place] > 0 && !r.retriedOnNew
		if r.reused {
			f.idle[place]--
			f.write(r)
		} else {
			f.send(f.node(place), message{kind: msgConnect, id: r.id})
		}
		return
	}
	f.finish(r, client.NotConnected, 0)
}

// write sends the request on its connection.
func (f *ingress) write(r *ingressRequest) {
	r.sent = true
	event := f.event(r, history.Sent)
	event.Deadline = r.deadline
	f.record(event)
	f.send(f.node(r.place), message{kind: msgRequest, id: r.id, request: r.clientRequest, duration: r.deadline - f.now})
}

// event is an event of a request.
func (f *ingress) event(r *ingressRequest, kind history.Kind) history.Event {
	return history.Event{
		Kind:      kind,
		RequestID: r.id,
		Arrival:   r.arrival,
		Retry:     int8(r.number),
		Class:     int16(f.sim.arrivals[r.arrival].Class),
		Balancer:  int32(f.nodes[r.place]),
		Upstream:  history.None,
	}
}

// onReset ends a request whose connection broke. requestRead says whether its balancer had read it.
func (f *ingress) onReset(r *ingressRequest, requestRead bool) {
	switch {
	case !r.sent:
		f.record(f.event(r, history.NotConnected))
		f.finish(r, client.NotConnected, 0)
	case r.reused && !requestRead && !r.retriedOnNew: // the balancer closed it between requests
		r.retriedOnNew = true
		f.assign(r)
	default:
		f.record(f.event(r, history.Broken))
		f.finish(r, client.Failed, 0)
	}
}

func (f *ingress) onResponse(r *ingressRequest, m message) {
	if m.keepAlive {
		f.idle[r.place]++
	}
	event := f.event(r, history.Answered)
	event.Status = m.status
	switch m.status {
	case statusOK:
		event.Result = client.Served
		event.Upstream = m.index
		event.Serial = m.number
	case statusRefused:
		event.Result = client.Rejected
	default:
		event.Result = client.Failed
	}
	f.record(event)
	f.finish(r, event.Result, m.duration)
}

// onClientTimeout ends a request whose client waits no longer.
func (f *ingress) onClientTimeout(r *ingressRequest) {
	switch {
	case r.leavesAt > 0 && f.now >= r.leavesAt:
		if r.sent {
			f.disconnect(r, history.ClientLeft)
		}
		f.finish(r, client.Disconnected, 0)
	case !r.sent && f.now >= r.deadline:
		f.record(f.event(r, history.NotConnected))
		f.finish(r, client.NotConnected, 0)
	case r.sent && f.now >= r.deadline+check.Grace:
		f.disconnect(r, history.TimedOut)
		f.finish(r, client.Failed, 0)
	}
}

// disconnect closes the connection of a request that has been sent.
func (f *ingress) disconnect(r *ingressRequest, why history.Kind) {
	f.record(f.event(r, why))
	f.send(f.node(r.place), message{kind: msgClientGone, id: r.id})
}

// finish ends a request. Its client may retry.
func (f *ingress) finish(r *ingressRequest, result client.Result, retryAfter time.Duration) {
	delete(f.pending, r.id)
	a := f.sim.arrivals[r.arrival]
	draw := rand.New(rand.NewPCG(f.sim.day.Seed, uint64(r.arrival)<<8|uint64(r.number))).Float64()
	wait, retries := f.clients.Retry(a.Class, result, int(r.number)+1, r.deadline-f.now, retryAfter, draw)
	if retries {
		f.after(wait, message{kind: msgRetry, index: r.arrival, number: r.number + 1})
	}
}
