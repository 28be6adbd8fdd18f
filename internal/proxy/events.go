package proxy

import (
	"log/slog"

	"sprucehill/balancer"
)

// This file has the events that the loop dispatches: first those of a request, in the order of its life, then those of
// the process. Each apply runs on the loop's goroutine.

// requestArrived hands over a client's request whose body has come or, of an upload, has begun to.
type requestArrived struct{ request *request }

func (e requestArrived) apply(l *loop) {
	r := e.request
	r.ID = balancer.RequestID(l.nextSerial()) // one of its own: those that clients send need not be unique
	now := l.now()
	l.requests[r.ID] = r
	if r.Upload {
		r.deadline = noDeadline // until it has been written
	} else {
		r.deadline = r.arrivedAt + r.Timeout
		r.Timeout = max(0, r.deadline-now)
		l.setTimer(timer{at: r.deadline, request: r})
	}
	l.balancer.OnRequest(now, r.Request)
}

// bodySent reports that the last byte of an upload is on its way to the upstream: its request's time begins.
type bodySent struct{ attempt *attempt }

func (e bodySent) apply(l *loop) {
	a := e.attempt
	r := a.request
	now := l.now()
	if a.outcomeDelivered || r.closed {
		return
	}
	a.sentAt = now
	r.deadline = now + r.timeLeft(now, r.Timeout)
	l.setTimer(timer{at: r.deadline, request: r})
	l.balancer.OnBodySent(now, r.ID, a.index)
}

// attemptFinished is the end of an attempt's work on its connection, with the result of that.
type attemptFinished struct {
	attempt *attempt
	result  attemptResult
}

func (e attemptFinished) apply(l *loop) {
	a := e.attempt
	a.message = message{} // a timer may refer to the attempt for long
	a.head = nil
	endpoint := a.endpoint
	delete(endpoint.inFlight, a)
	switch {
	case e.result.stream == nil:
		l.pool.put(endpoint, e.result.conn)
	case a.outcomeDelivered || a.request.closed: // nobody wants the rest of the response
		e.result.stream.endpoint = endpoint
		l.pool.close(e.result.stream.conn)
	default: // whoever passes the rest on returns the connection, with streamFinished
		e.result.stream.endpoint = endpoint
	}
	if answered := l.deliverResult(a, e.result); !answered {
		l.dialer.bodyBudget.release(cap(e.result.body))
	}
	l.endpoints.forget(endpoint)
}

// streamFinished is the end of a response that was passed on while it came, with its connection if that can serve
// again.
type streamFinished struct {
	endpoint *endpoint
	conn     *upstreamConn
}

func (e streamFinished) apply(l *loop) { l.pool.put(e.endpoint, e.conn) }

// clientDisconnected reports that a request's client has closed its connection, or will not send the rest of the body.
type clientDisconnected struct{ request *request }

func (e clientDisconnected) apply(l *loop) {
	r := e.request
	if !r.closed {
		l.closeRequest(r)
		l.balancer.OnClientDisconnected(l.now(), r.ID)
	}
	select {
	case a := <-r.reply: // it came too late to be passed on
		l.dialer.bodyBudget.release(cap(a.body))
		if a.stream != nil {
			l.pool.close(a.stream.conn)
		}
	default:
	}
}

// healthCheckFinished is the end of a health check, with its result.
type healthCheckFinished struct {
	check  *healthCheck
	result attemptResult
}

func (e healthCheckFinished) apply(l *loop) {
	endpoint := e.check.endpoint
	l.pool.put(endpoint, e.result.conn)
	now := l.now()
	l.balancer.OnHealthCheckResult(now, balancer.HealthCheckResult{
		Endpoint: endpoint.id,
		Latency:  now - e.check.sentAt,
		Status:   e.result.status,
		Load:     e.result.load,
	})
}

// releaseIdle has the loop close idle connections, now and from now on: a process that takes over from this one
// shares the limit on descriptors.
type releaseIdle struct{}

func (releaseIdle) apply(l *loop) { l.pool.release() }

// loopCall runs a function on the loop's goroutine; done is closed after it.
type loopCall struct {
	do   func(l *loop)
	done chan struct{}
}

func (e loopCall) apply(l *loop) {
	defer close(e.done)
	e.do(l)
}

// discoveryMoved gives the address of discovery from now on.
type discoveryMoved struct{ address string }

func (e discoveryMoved) apply(l *loop) {
	slog.Info("discovery address changed", "address", e.address)
	l.saver.SetDiscovery(e.address)
	l.discovery.MoveTo(e.address)
}
