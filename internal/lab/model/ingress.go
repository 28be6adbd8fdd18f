package model

import (
	"math/rand/v2"
	"time"

	"sprucehill/internal/lab/check"
	"sprucehill/internal/lab/client"
	"sprucehill/internal/lab/history"
)

// healthCheckInterval is how often an ingress checks a balancer's health. The live engine uses the same interval.
const healthCheckInterval = 100 * time.Millisecond

// ingress is the actor of a zone's clients and of the ingress that spreads their requests over the zone's balancers. The
// slices by balancer are indexed like nodes.
type ingress struct {
	*actor
	zone         int
	clients      *client.Zone
	next         int                        // round-robin position
	nodes        []int                      // the zone's balancers, by their indices in the fleet
	indexOfNode  map[int32]int              // index in nodes, by the balancer's actor
	idle         []int                      // number of idle connections, by balancer
	lastHealthAt []time.Duration            // when the last health check was answered, by balancer
	healthy      []bool                     // by balancer
	pending      map[uint64]*ingressRequest // by request id
}

// ingressRequest is a client's request that has not ended yet.
type ingressRequest struct {
	*clientRequest
	nodeIndex    int  // of its balancer, in ingress.nodes
	sent         bool // written on a connection
	reused       bool // its connection has carried a request before
	retriedOnNew bool // a reused connection had just been closed, and the request was sent again
}

func newIngress(a *actor, zone int) *ingress {
	nodes := a.sim.fleet.Zones[zone].Balancers
	in := &ingress{
		actor:        a,
		zone:         zone,
		clients:      client.NewZone(a.sim.scenario),
		nodes:        nodes,
		indexOfNode:  map[int32]int{},
		idle:         make([]int, len(nodes)),
		lastHealthAt: make([]time.Duration, len(nodes)),
		healthy:      make([]bool, len(nodes)),
		pending:      map[uint64]*ingressRequest{},
	}
	for i, b := range nodes {
		in.indexOfNode[a.sim.nodes[b].id] = i
		in.healthy[i] = true // a run begins once all balancers are ready
		phase := time.Duration(a.rng.Float64() * float64(healthCheckInterval))
		a.after(phase, message{kind: msgHealthCheckDue, index: int32(i)})
	}
	return in
}

// node is the actor of a balancer, by its index in nodes.
func (in *ingress) node(index int) *actor { return in.sim.nodes[in.nodes[index]] }

func (in *ingress) handle(m message) {
	switch m.kind {
	case msgArrival:
		in.clients.AddRequest()
		in.startRequest(m.index, 0)
	case msgRetry:
		in.startRequest(m.index, m.number)
	case msgHealthCheckDue:
		in.checkHealth(m.index)
	case msgHealthResult:
		in.onHealth(in.indexOfNode[m.from], m)
	case msgIdleClosed:
		in.idle[in.indexOfNode[m.from]] = 0
	default:
		if r := in.pending[m.id]; r != nil {
			in.handleRequest(r, m)
		}
	}
}

// handleRequest handles a message about a request that has not ended.
func (in *ingress) handleRequest(r *ingressRequest, m message) {
	switch m.kind {
	case msgConnected:
		if !r.sent {
			in.write(r)
		}
	case msgReset:
		in.onReset(r, m.requestRead)
	case msgResponse:
		in.onResponse(r, m)
	case msgClientTimeout:
		in.onClientTimeout(r)
	}
}

// checkHealth starts a health check of a balancer. One that has not answered any for the scenario's front_notice gets no
// more requests.
func (in *ingress) checkHealth(index int32) {
	i := int(index)
	if in.now-in.lastHealthAt[i] >= in.sim.scenario.Balancer.Notice.D() {
		in.healthy[i] = false
	}
	in.send(in.node(i), message{kind: msgHealthCheck})
	in.after(healthCheckInterval, message{kind: msgHealthCheckDue, index: index})
}

// onHealth handles the response to a health check and records a balancer that has become ready.
func (in *ingress) onHealth(index int, response message) {
	in.lastHealthAt[index] = in.now
	if response.healthy && !in.healthy[index] {
		in.record(history.Event{Kind: history.Ready, Balancer: int32(in.nodes[index]), Upstream: history.None, Arrival: history.None})
	}
	in.healthy[index] = response.healthy
}

// startRequest starts a client's request for an arrival. number is 0 for the first request and counts the retries.
func (in *ingress) startRequest(arrival, number int32) {
	a := in.sim.arrivals[arrival]
	class := in.sim.scenario.Classes[a.Class]
	r := &ingressRequest{clientRequest: &clientRequest{
		id:       in.sim.scenario.RequestID(int(arrival), int(number)),
		arrival:  arrival,
		number:   number,
		deadline: a.At + class.Deadline.D(),
	}}
	if a.Leaves > 0 && number == 0 {
		r.leavesAt = a.At + a.Leaves
	}
	in.pending[r.id] = r
	in.assign(r)
	if r.leavesAt > 0 {
		in.after(r.leavesAt-in.now, message{kind: msgClientTimeout, id: r.id})
		return
	}
	// The first timer ends the wait for a connection, the second one the wait for a response.
	in.after(r.deadline-in.now, message{kind: msgClientTimeout, id: r.id})
	in.after(r.deadline+check.DeadlineGrace-in.now, message{kind: msgClientTimeout, id: r.id})
}

// assign sends a request to the next healthy balancer in round-robin order, on an idle connection if there is one.
func (in *ingress) assign(r *ingressRequest) {
	for range in.nodes {
		in.next++
		index := in.next % len(in.nodes)
		if !in.healthy[index] {
			continue
		}
		r.nodeIndex = index
		r.sent = false
		r.reused = in.idle[index] > 0 && !r.retriedOnNew
		if r.reused {
			in.idle[index]--
			in.write(r)
		} else {
			in.send(in.node(index), message{kind: msgConnect, id: r.id})
		}
		return
	}
	in.finish(r, client.NotConnected, 0)
}

// write writes the request on its connection.
func (in *ingress) write(r *ingressRequest) {
	r.sent = true
	event := in.event(r, history.Sent)
	event.Deadline = r.deadline
	in.record(event)
	in.send(in.node(r.nodeIndex), message{kind: msgRequest, id: r.id, request: r.clientRequest, duration: r.deadline - in.now})
}

// event returns an event about a request.
func (in *ingress) event(r *ingressRequest, kind history.Kind) history.Event {
	return history.Event{
		Kind:      kind,
		RequestID: r.id,
		Arrival:   r.arrival,
		Retry:     int8(r.number),
		Class:     int16(in.sim.arrivals[r.arrival].Class),
		Balancer:  int32(in.nodes[r.nodeIndex]),
		Upstream:  history.None,
	}
}

// onReset handles a connection that was refused or reset, which ends its request. Only a request on a reused connection is
// sent again, once, unless the balancer had read it.
func (in *ingress) onReset(r *ingressRequest, requestRead bool) {
	switch {
	case !r.sent:
		in.record(in.event(r, history.NotConnected))
		in.finish(r, client.NotConnected, 0)
	case r.reused && !requestRead && !r.retriedOnNew: // the balancer closed the idle connection
		r.retriedOnNew = true
		in.assign(r)
	default:
		in.record(in.event(r, history.Broken))
		in.finish(r, client.Failed, 0)
	}
}

// onResponse handles the balancer's response, which ends its request.
func (in *ingress) onResponse(r *ingressRequest, m message) {
	if m.keepAlive {
		in.idle[r.nodeIndex]++
	}
	event := in.event(r, history.Answered)
	event.Status = m.status
	switch m.status {
	case statusOK:
		event.Result = client.Served
		event.Upstream = m.index
		event.Serial = m.number
	case statusRejected:
		event.Result = client.Rejected
	default:
		event.Result = client.Failed
	}
	in.record(event)
	in.finish(r, event.Result, m.duration)
}

// onClientTimeout ends a request if its client no longer waits.
func (in *ingress) onClientTimeout(r *ingressRequest) {
	switch {
	case r.leavesAt > 0 && in.now >= r.leavesAt:
		if r.sent {
			in.disconnect(r, history.ClientLeft)
		}
		in.finish(r, client.Disconnected, 0)
	case !r.sent && in.now >= r.deadline:
		in.record(in.event(r, history.NotConnected))
		in.finish(r, client.NotConnected, 0)
	case r.sent && in.now >= r.deadline+check.DeadlineGrace:
		in.disconnect(r, history.TimedOut)
		in.finish(r, client.Failed, 0)
	}
}

// disconnect closes the connection of a request that has been sent.
func (in *ingress) disconnect(r *ingressRequest, reason history.Kind) {
	in.record(in.event(r, reason))
	in.send(in.node(r.nodeIndex), message{kind: msgClientDisconnected, id: r.id})
}

// finish ends a request, and schedules a retry if its client makes one.
func (in *ingress) finish(r *ingressRequest, result client.Result, retryAfter time.Duration) {
	delete(in.pending, r.id)
	a := in.sim.arrivals[r.arrival]
	draw := rand.New(rand.NewPCG(in.sim.scenario.Seed, uint64(r.arrival)<<8|uint64(r.number))).Float64()
	wait, retries := in.clients.Retry(a.Class, result, int(r.number)+1, r.deadline-in.now, retryAfter, draw)
	if retries {
		in.after(wait, message{kind: msgRetry, index: r.arrival, number: r.number + 1})
	}
}
