package proxy

import (
	"sprucehill/balancer"
)

// This file has the events that the loop dispatches: first those of a request, in the order of its life, then those of
// the process. Each apply runs on the loop's goroutine.

// requestArrived hands over a client's request whose body has come or, of an upload, has begun to.
type arrived struct{ request *request }

func (e arrived) apply(l *loop) {
	r := e.request
	r.ID = balancer.RequestID(l.nextSerial()) // one of its own: those that clients send need not be unique
	now := l.now()
	l.requests[r.ID] = r
	if r.Upload {
		r.deadline = noDeadline // until it has been written
	} else {
		r.deadline = r.at + r.Timeout
		r.Timeout = max(0, r.deadline-now)
		l.setTimer(timer{at: r.deadline, request: r})
	}
	l.balancer.OnRequest(now, r.Request)
}

// bodySent reports that the last byte of an upload is on its way to the upstream: its request's time begins.
type bodySent struct{ attempt *attempt }

func (e bodySent) apply(l *loop) {
	a := e.attempt
	r := a.req
	now := l.now()
	if a.told || r.closed {
		return
	}
	a.sentAt = now
	r.deadline = now + r.within(now, r.Timeout)
	l.setTimer(timer{at: r.deadline, request: r})
	l.balancer.OnBodySent(now, r.ID, a.n)
}

// attemptFinished is the end of an attempt's work on its connection, with the result of that.
type finished struct {
	*attempt
	result
}

func (e finished) apply(l *loop) {
	a := e.attempt
	a.message = message{} // a timer may keep the attempt for long
	a.head = nil
	endpoint := a.peer
	delete(endpoint.out, a)
	switch {
	case e.more == nil:
		l.pool.keep(endpoint, e.result.conn)
	case a.told || a.req.closed: // nobody wants the rest of the response
		e.more.peer = endpoint
		l.pool.close(e.more.conn)
	default: // whoever passes the rest on returns the connection, with streamFinished
		e.more.peer = endpoint
	}
	if answered := l.deliverResult(a, e.result); !answered {
		l.dial.held.give(cap(e.body))
	}
	l.peers.forget(endpoint)
}

// streamFinished is the end of a response that was passed on while it came, with its connection if that can serve
// again.
type passed struct {
	endpoint *peer
	conn     *conn
}

func (e passed) apply(l *loop) { l.pool.keep(e.endpoint, e.conn) }

// clientDisconnected reports that a request's client has closed its connection, or will not send the rest of the body.
type left struct{ request *request }

func (e left) apply(l *loop) {
	r := e.request
	if !r.closed {
		l.closeRequest(r)
		l.balancer.OnClientDisconnected(l.now(), r.ID)
	}
	select {
	case a := <-r.reply: // it came too late to be passed on
		l.dial.held.give(cap(a.body))
		if a.more != nil {
			l.pool.close(a.more.conn)
		}
	default:
	}
}

// healthCheckFinished is the end of a health check, with its result.
type healthCheckFinished struct {
	check  *probe
	result result
}

func (e healthCheckFinished) apply(l *loop) {
	endpoint := e.check.peer
	l.pool.keep(endpoint, e.result.conn)
	now := l.now()
	l.balancer.OnHealthCheckResult(now, balancer.HealthCheckResult{
		Endpoint: endpoint.id,
		Latency:  now - e.check.sentAt,
		Status:   e.result.status,
		Load:     e.result.load,
	})
}

// releaseIdle asks the loop to close idle connections, now and from now on: a process that takes over from this one
// shares the limit on descriptors.
type leave struct{}

func (leave) apply(l *loop) { l.pool.release() }

// operatorCall runs an operator's call on the loop's goroutine; done is closed after it.
type order struct {
	do   func(l *loop)
	done chan struct{}
}

func (e order) apply(l *loop) {
	defer close(e.done)
	e.do(l)
}

// discoveryMoved gives the address of discovery from now on.
type discoveryMoved struct{ address string }

func (e discoveryMoved) apply(l *loop) {
	l.log.info("discovery moved", "address", e.address)
	l.saver.discovery = e.address
	l.discovery.moveTo(e.address)
}
