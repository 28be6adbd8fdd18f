package proxy

import (
	"log/slog"

	"sprucehill/balancer"
)

// This file has the events that the loop dispatches: first those of a request, in the order of its life cycle, then those
// of the process. Each apply runs on the loop's goroutine.

// requestArrived passes a client's request to the loop. Its body has been received completely or, if it is an upload, in
// part.
type requestArrived struct{ request *request }

func (e requestArrived) apply(l *loop) {
	r := e.request
	r.ID = balancer.RequestID(l.nextSerial()) // IDs that clients send need not be unique
	now := l.now()
	l.requests[r.ID] = r
	r.deadline = r.arrivedAt + r.Timeout
	if r.upload != nil {
		r.deadline = r.upload.knownDeadline()
	}
	if r.deadline == noDeadline { // until its last byte has arrived: see bodyReceived
		l.balancer.OnRequest(now, r.Request)
		return
	}
	r.Timeout = max(0, r.deadline-now)
	l.setDeadlineTimer(r)
	l.balancer.OnRequest(now, r.Request)
	if r.Upload {
		l.balancer.OnBodyReceived(now, r.ID, r.Timeout)
	}
}

// bodyReceived reports that the last byte of an upload has arrived at the balancer's machine. It may be unread.
type bodyReceived struct{ request *request }

func (e bodyReceived) apply(l *loop) { l.startTimeout(e.request) }

// startTimeout starts the timeout of an upload whose last byte has arrived, unless it runs already.
func (l *loop) startTimeout(r *request) {
	if r.closed || r.deadline != noDeadline {
		return
	}
	now := l.now()
	r.deadline = r.upload.knownDeadline()
	l.setDeadlineTimer(r)
	l.balancer.OnBodyReceived(now, r.ID, max(0, r.deadline-now))
}

// bodySent reports that the last byte of an upload has been written to the upstream.
type bodySent struct{ attempt *attempt }

func (e bodySent) apply(l *loop) {
	a := e.attempt
	r := a.request
	now := l.now()
	if a.outcomeDelivered || r.closed {
		return
	}
	a.sentAt = now
	l.startTimeout(r)
	l.balancer.OnBodySent(now, r.ID, a.index)
}

// attemptFinished reports that an attempt has finished on its connection, with its result.
type attemptFinished struct {
	attempt *attempt
	result  attemptResult
}

func (e attemptFinished) apply(l *loop) {
	a := e.attempt
	a.message = message{} // a pending timer may keep the attempt in memory for long
	a.head = nil
	a.result = attemptResult{}
	endpoint := a.endpoint
	delete(endpoint.inFlight, a)
	switch {
	case e.result.stream == nil:
		l.pool.put(endpoint, e.result.conn)
	case a.outcomeDelivered || a.request.closed: // the rest of the response is not needed
		e.result.stream.endpoint = endpoint
		l.pool.close(e.result.stream.conn)
	default: // the connection is returned by streamFinished, after the rest has been forwarded
		e.result.stream.endpoint = endpoint
	}
	if answered := l.deliverResult(a, e.result); !answered {
		l.dialer.bodyBudget.Release(cap(e.result.body))
	}
	l.endpoints.deleteIfUnused(endpoint)
}

// streamFinished reports the end of a streamed response, with its connection if that can be reused.
type streamFinished struct {
	endpoint *endpoint
	conn     *upstreamConn
}

func (e streamFinished) apply(l *loop) { l.pool.put(e.endpoint, e.conn) }

// clientDisconnected reports that a request's client has disconnected, or will not send the rest of the body.
type clientDisconnected struct{ request *request }

func (e clientDisconnected) apply(l *loop) {
	r := e.request
	if !r.closed {
		l.closeRequest(r)
		l.balancer.OnClientDisconnected(l.now(), r.ID)
	}
	select {
	case a := <-r.reply: // too late to be forwarded
		l.dialer.bodyBudget.Release(cap(a.body))
		if a.stream != nil {
			l.pool.close(a.stream.conn)
		}
	default:
	}
}

// clientUnwatched reports that the disconnect of a request's client can't be noticed any more.
type clientUnwatched struct{ request *request }

func (e clientUnwatched) apply(l *loop) {
	r := e.request
	l.endIfUnwatched(r)
	if r.closed {
		l.balancer.OnClientDisconnected(l.now(), r.ID)
	}
}

// healthCheckFinished reports the result of a health check.
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

// releaseIdle makes the loop close its idle connections, and keep none from then on: the successor process shares the limit
// on file descriptors.
type releaseIdle struct{}

func (releaseIdle) apply(l *loop) { l.pool.release() }

// loopCall runs a function on the loop's goroutine, and closes done when the function has returned.
type loopCall struct {
	do   func(l *loop)
	done chan struct{}
}

func (e loopCall) apply(l *loop) {
	defer close(e.done)
	e.do(l)
}

// discoveryMoved reports a new address of discovery.
type discoveryMoved struct{ address string }

func (e discoveryMoved) apply(l *loop) {
	slog.Info("discovery address changed", "address", e.address)
	l.saver.SetDiscovery(e.address)
	l.discovery.SwitchTo(e.address)
}
