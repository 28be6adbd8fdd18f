package model

import (
	"time"

	"sprucehill/balancer"
)

// answerMargin is subtracted from a client's deadline, as the real balancer does.
const answerMargin = 4 * time.Millisecond

// openRequest is a client's request at a node, until it is closed and all its attempts have ended.
type openRequest struct {
	id       balancer.RequestID
	client   *clientRequest
	ingress  int32 // the ingress's actor, which sent it
	class    int
	deadline time.Duration
	attempts []*upstreamAttempt
	inFlight int  // attempts that have not ended
	closed   bool // the response was sent, or the client has disconnected
}

// upstreamAttempt is one attempt of a request.
type upstreamAttempt struct {
	request   *openRequest
	number    int32 // within the request
	upstream  int   // index
	sentAt    time.Duration
	connected bool // its connection was established and it was written, or its connection failed
	ended     bool // its outcome was delivered to the module
}

// requestTable holds a node's open requests.
type requestTable struct {
	requests        map[balancer.RequestID]*openRequest
	byClientID      map[uint64]*openRequest // by the id that the client gave
	lastRequest     balancer.RequestID
	pendingOutcomes []pendingOutcome // in order of delivery
}

// pendingOutcome is the outcome of an attempt that ended during a call of the module. It is delivered after that call
// and not from within it.
type pendingOutcome struct {
	attempt *upstreamAttempt
	status  balancer.Status
}

// onRequest passes a client's request on to the module.
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

// onRequestTimeout ends the attempts of a request at its deadline.
func (n *node) onRequestTimeout(r *openRequest) {
	for _, a := range r.attempts {
		n.endAttempt(a, balancer.Timeout)
	}
}

// onAttemptMessage handles an event of an attempt or of its connection.
func (n *node) onAttemptMessage(m message) {
	r := n.byClientID[m.id]
	stale := m.kind == msgConnectTimeout && m.incarnation != n.incarnation
	if r == nil || int(m.number) >= len(r.attempts) || stale {
		if m.kind == msgConnected { // the request has ended: keep the connection for another one
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

// onConnected handles an established connection, on which its attempt is written.
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

// onConnReset handles a connection that was refused or reset.
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

// onConnectTimeout gives up a connection that was not established in time.
func (n *node) onConnectTimeout(a *upstreamAttempt) {
	if a.connected {
		return
	}
	a.connected = true
	n.closeConn(a.upstream)
	n.deliverOutcome(a, balancer.ConnectFailed, message{})
}

// onReply handles an upstream's reply to an attempt.
func (n *node) onReply(a *upstreamAttempt, m message) {
	if a.ended { // the attempt was abandoned and its connection closed
		return
	}
	n.putIdle(a.upstream)
	n.deliverOutcome(a, attemptStatus(m.status), m)
}

// attemptStatus converts the status code of a reply to the outcome of its attempt.
func attemptStatus(status int16) balancer.Status {
	switch status {
	case statusError:
		return balancer.Error
	case statusRejected:
		return balancer.Rejected
	}
	return balancer.OK
}

// write writes an attempt on its connection.
func (n *node) write(a *upstreamAttempt) {
	a.connected = true
	n.send(n.sim.servers[a.upstream], message{kind: msgAttempt, id: a.request.client.id, number: a.number, request: a.request.client})
}

// endAttempt ends an attempt without a reply. If it was written, its connection is closed. If it was not, its outcome is
// NotSent instead of the given status.
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

// abandon closes the connection of an attempt that was written.
func (n *node) abandon(a *upstreamAttempt) {
	n.conns--
	n.send(n.sim.servers[a.upstream], message{kind: msgAbandon, id: a.request.client.id, number: a.number})
}

// deliverOutcome delivers the outcome of an attempt to the module, at most once. After a success it first sends the response
// to the client.
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

// deliverOutcomes delivers the outcomes that arose during calls of the module, including those that arise meanwhile.
func (n *node) deliverOutcomes() {
	for len(n.pendingOutcomes) > 0 {
		next := n.pendingOutcomes[0]
		n.pendingOutcomes = n.pendingOutcomes[1:]
		n.endAttempt(next.attempt, next.status)
	}
}

// respond sends the response to the client, unless the request is closed.
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

// disconnectClient closes a request whose client has disconnected.
func (n *node) disconnectClient(r *openRequest) {
	n.closeRequest(r)
	n.module.OnClientDisconnected(n.clock(), r.id)
}

// closeRequest marks a request as closed: no response can be sent any more.
func (n *node) closeRequest(r *openRequest) {
	r.closed = true
	n.removeIfDone(r)
	if n.draining {
		n.exitIfDrained()
	}
}

// removeIfDone removes a request that is closed and has no attempt in flight.
func (n *node) removeIfDone(r *openRequest) {
	if !r.closed || r.inFlight > 0 {
		return
	}
	delete(n.requests, r.id)
	if n.byClientID[r.client.id] == r {
		delete(n.byClientID, r.client.id)
	}
}
