package model

import (
	"time"

	"sprucehill/balancer"
)

// answerMargin is what a balancer takes off a client's deadline, as the real one does.
const answerMargin = 4 * time.Millisecond

// openRequest is a client's request at a node, until it is answered and all its attempts have ended.
type openRequest struct {
	id       balancer.RequestID
	client   *clientRequest
	ingress  int32 // the actor that sent it
	class    int
	deadline time.Duration
	attempts []*upstreamAttempt
	inFlight int  // attempts that have not ended
	closed   bool // it was answered, or its client has gone
}

// upstreamAttempt is one attempt of a request.
type upstreamAttempt struct {
	request   *openRequest
	number    int32
	upstream  int
	sentAt    time.Duration
	connected bool // its connection is open and it is written, or its connection has failed
	ended     bool // the module has its outcome
}

// requestTable is a node's requests that have not ended.
type requestTable struct {
	requests        map[balancer.RequestID]*openRequest
	byClientID      map[uint64]*openRequest
	lastRequest     balancer.RequestID
	pendingOutcomes []pendingOutcome // in the order in which they are delivered
}

// pendingOutcome is an outcome that is known but not yet delivered, because it arose inside a call of the module.
type pendingOutcome struct {
	attempt *upstreamAttempt
	status  balancer.Status
}

// onRequest takes a client's request.
func (n *node) onRequest(m message) {
	arrival := n.sim.arrivals[m.request.arrival]
	timeout := max(0, m.duration.Truncate(time.Millisecond)-answerMargin)
	n.lastRequest++
	r := &openRequest{
		id:       n.lastRequest,
		client:   m.request,
		ingress:  m.from,
		class:    arrival.Class,
		deadline: n.now + timeout,
	}
	n.requests[r.id] = r
	n.byClientID[m.id] = r
	n.after(timeout, message{kind: msgRequestTimeout, id: m.id, incarnation: n.incarnation})
	request := balancer.Request{
		ID:      r.id,
		Timeout: timeout,
		Class:   n.sim.scenario.Classes[arrival.Class].Name,
		Key:     arrival.Key,
		HasKey:  arrival.HasKey,
	}
	if arrival.Tenant >= 0 {
		request.Tenant = n.sim.scenario.Tenants[arrival.Tenant].Name
	}
	n.module.OnRequest(n.clock(), request)
}

// onRequestTimeout ends the attempts of a request whose deadline has come.
func (n *node) onRequestTimeout(r *openRequest) {
	for _, a := range r.attempts {
		n.endAttempt(a, balancer.Timeout)
	}
}

// onAttemptMessage handles what happens to an attempt or its connection.
func (n *node) onAttemptMessage(m message) {
	r := n.byClientID[m.id]
	stale := m.kind == msgConnectTimeout && m.incarnation != n.incarnation
	if r == nil || int(m.number) >= len(r.attempts) || stale {
		if m.kind == msgConnected { // its request has ended: the connection serves another
			n.putIdle(n.sim.actors[m.from].party.Index)
		}
		return
	}
	a := r.attempts[m.number]
	switch m.kind {
	case msgConnected:
		n.onConnected(a)
	case msgReset:
		n.onConnReset(a)
	case msgConnectTimeout:
		n.onConnectTimeout(a)
	case msgAttemptTimeout:
		n.endAttempt(a, balancer.Timeout)
	case msgReply:
		n.onReply(a, m)
	}
}

func (n *node) onConnected(a *upstreamAttempt) {
	if a.connected {
		return
	}
	a.connected = true
	if a.ended {
		n.putIdle(a.upstream)
		return
	}
	n.write(a)
}

func (n *node) onConnReset(a *upstreamAttempt) {
	if a.ended && a.connected {
		return
	}
	status := balancer.Reset
	if !a.connected {
		a.connected = true
		status = balancer.ConnectFailed
	}
	n.conns--
	n.deliverOutcome(a, status, message{})
}

func (n *node) onConnectTimeout(a *upstreamAttempt) {
	if a.connected {
		return
	}
	a.connected = true
	n.closeConn(a.upstream)
	n.deliverOutcome(a, balancer.ConnectFailed, message{})
}

func (n *node) onReply(a *upstreamAttempt, m message) {
	if a.ended { // given up: its connection is closed
		return
	}
	n.putIdle(a.upstream)
	n.deliverOutcome(a, attemptStatus(m.status), m)
}

// attemptStatus is the outcome of an attempt by its reply's status code.
func attemptStatus(status int16) balancer.Status {
	switch status {
	case statusError:
		return balancer.Error
	case statusRefused:
		return balancer.Rejected
	}
	return balancer.OK
}

// write sends an attempt on its connection.
func (n *node) write(a *upstreamAttempt) {
	a.connected = true
	n.send(n.sim.servers[a.upstream], message{kind: msgAttempt, id: a.request.client.id, number: a.number, request: a.request.client})
}

// endAttempt ends an attempt without a reply. If it was written, its connection is closed. Otherwise its status is NotSent
// in place of the given one.
func (n *node) endAttempt(a *upstreamAttempt, status balancer.Status) {
	if a.ended {
		return
	}
	if a.connected {
		n.abandon(a)
	} else {
		status = balancer.NotSent
	}
	n.deliverOutcome(a, status, message{})
}

// abandon closes the connection of an attempt.
func (n *node) abandon(a *upstreamAttempt) {
	n.conns--
	n.send(n.sim.servers[a.upstream], message{kind: msgAbandon, id: a.request.client.id, number: a.number})
}

// deliverOutcome gives the module the one outcome of an attempt, and the client the response if there is one.
func (n *node) deliverOutcome(a *upstreamAttempt, status balancer.Status, reply message) {
	if a.ended {
		return
	}
	a.ended = true
	r := a.request
	if status == balancer.OK && !r.closed {
		n.respond(r, message{status: statusOK, index: int32(a.upstream), number: a.number})
	}
	r.inFlight--
	result := balancer.AttemptResult{
		ID:            r.id,
		Endpoint:      balancer.EndpointID(a.upstream),
		Attempt:       int(a.number),
		Latency:       n.now - a.sentAt,
		Status:        status,
		RequestClosed: r.closed,
	}
	if reply.hasLoad {
		result.Load = balancer.LoadReport{
			Fields:      balancer.HasUtilization | balancer.HasErrors | balancer.HasQueue,
			Utilization: reply.load.Util,
			Errors:      reply.load.Errors,
			Queue:       reply.load.Queue,
		}
	}
	n.removeIfDone(r)
	n.module.OnAttemptResult(n.clock(), result)
}

// deliverOutcomes delivers the outcomes that arose inside calls of the module.
func (n *node) deliverOutcomes() {
	for len(n.pendingOutcomes) > 0 {
		next := n.pendingOutcomes[0]
		n.pendingOutcomes = n.pendingOutcomes[1:]
		n.endAttempt(next.attempt, next.status)
	}
}

// respond sends the client its one response.
func (n *node) respond(r *openRequest, m message) {
	if r.closed {
		return
	}
	m.kind = msgResponse
	m.id = r.client.id
	m.keepAlive = !n.draining
	n.send(n.sim.actors[r.ingress], m)
	n.closeRequest(r)
}

// disconnectClient closes a request whose client has gone.
func (n *node) disconnectClient(r *openRequest) {
	n.closeRequest(r)
	n.module.OnClientDisconnected(n.clock(), r.id)
}

func (n *node) closeRequest(r *openRequest) {
	r.closed = true
	n.removeIfDone(r)
	if n.draining {
		n.exitIfDrained()
	}
}

// removeIfDone forgets a request that is closed and has no attempt in flight.
func (n *node) removeIfDone(r *openRequest) {
	if !r.closed || r.inFlight > 0 {
		return
	}
	delete(n.requests, r.id)
	if n.byClientID[r.client.id] == r {
		delete(n.byClientID, r.client.id)
	}
}
