package proxy

import (
	"log/slog"
	"net/http"
	"time"

	"sprucehill/balancer"
)

// request is a client's request. The frontend creates it and passes it to the loop with requestArrived; from then on it is
// owned by the loop.
type request struct {
	balancer.Request
	message   message
	arrivedAt time.Duration // when its last byte, or the last buffered byte of an upload, was received; on the loop's clock
	reply     chan response // buffered, with capacity for the one response
	deadline  time.Duration // on the loop's clock; noDeadline: an upload whose last byte has not arrived
	window    idempotencyWindow
	upload    *upload // nil for other requests
	client    clientConn
	execution execution
	timer     *requestTimer // of the deadline; nil: none is set
	// clientCheckedAt is when the client was last seen to be connected, on the loop's clock. The lock of window guards it once the
	// request has been posted to the loop.
	clientCheckedAt time.Duration
	clientWait      time.Duration // how long the client says that it waits for the response
	attempts        []*attempt    // in the order in which they were started
	undelivered     int           // number of attempts whose result has not been given to the decision module
	closed          bool          // the request has been answered, or its client has disconnected
}

// clientConn is the connection of a request's client. Its methods do not block, and may be called from any goroutine.
type clientConn interface {
	// ClosedByClient reports whether the client has closed the connection, also behind unread bytes.
	ClosedByClient() bool
	// HasExcessInput reports whether a close by the client can't be noticed in time, because of what it has sent after its request.
	HasExcessInput() bool
}

// clientCheckInterval is the time within which a client that was connected need not be asked for again.
//
// Platform: nothing is forwarded later than 0.1 s after a client has disconnected.
const clientCheckInterval = 5 * time.Millisecond

// mayBeginAttempt reports whether the client was connected at the time now, or shortly before. Only one goroutine at a time may call
// it.
func (r *request) mayBeginAttempt(now time.Duration) bool {
	if r.client.HasExcessInput() {
		return false
	}
	if r.upload == nil && now-r.clientCheckedAt < clientCheckInterval {
		return true
	}
	r.clientCheckedAt = now
	return !r.client.ClosedByClient()
}

// isClientWaiting reports whether the client is known to be connected.
func (r *request) isClientWaiting() bool {
	return !r.client.HasExcessInput() && !r.client.ClosedByClient()
}

// pendingOutcome is an attempt's outcome that occurred during a call of the decision module. The module is not reentrant,
// so the outcome is delivered as soon as that call has returned.
type pendingOutcome struct {
	attempt *attempt
	status  balancer.Status
}

// postpone queues the outcome of an attempt for deliverOutcomes.
func (l *loop) postpone(a *attempt, status balancer.Status) {
	l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{a, status})
}

// deliverOutcomes gives the pending outcomes to the decision module. The module's reactions may add further outcomes,
// which are delivered too.
func (l *loop) deliverOutcomes() {
	for len(l.pendingOutcomes) > 0 {
		outcome := l.pendingOutcomes[0]
		l.pendingOutcomes = l.pendingOutcomes[1:]
		if outcome.status == balancer.Cancelled && l.letRespond(outcome.attempt) {
			continue
		}
		l.endAttempt(outcome.attempt, outcome.status)
	}
	l.pendingOutcomes = nil
}

// deliverResult gives the result of an attempt to the decision module. If the attempt succeeded and the request is still
// open, it also answers the client, and answered is true. Only the first result of an attempt counts.
func (l *loop) deliverResult(a *attempt, r attemptResult) (answered bool) {
	if a.outcomeDelivered {
		return false
	}
	a.outcomeDelivered = true
	if a.timer != nil {
		a.timer.attempt = nil
	}
	req := a.request
	now := l.now()
	if debugEnabled() {
		slog.Debug("attempt ended", "request_id", req.message.header.Get("X-Request-Id"), "attempt", a.index,
			"endpoint", a.address, "status", r.status, "elapsed", (now - a.sentAt).Round(time.Millisecond), "request_closed", req.closed, "repeated", r.repeated)
	}
	if certainlyNotExecuted(r.status) {
		req.window.exclude(a)
	}
	answered = r.status == balancer.OK && !req.closed
	if answered {
		l.answerRequest(req, response{status: http.StatusOK, body: r.body, contentType: r.contentType, stream: r.stream})
	}
	req.undelivered--
	switch {
	case answered:
	case r.repeated:
		l.refuseRepeated(req)
	default:
		l.endIfUnwatched(req)
	}
	closed := req.closed
	l.releaseRequest(req)
	l.balancer.OnAttemptResult(now, balancer.AttemptResult{
		ID:            req.ID,
		Endpoint:      a.endpoint.id,
		Attempt:       a.index,
		Latency:       now - a.sentAt,
		Status:        r.status,
		RequestClosed: closed,
		BodyConsumed:  r.bodyConsumed,
		Load:          r.load,
	})
	return answered
}

// endIfUnwatched ends a request that has no attempt in flight and whose client is not known to be connected: the request must not
// be forwarded again. A client that has not left, but has sent too much to be watched, gets the answer.
func (l *loop) endIfUnwatched(r *request) {
	if !r.closed && r.undelivered == 0 && !r.isClientWaiting() {
		l.answerRequest(r, response{status: http.StatusBadRequest})
	}
}

// refuseRepeated answers a request whose ID may have been executed before. The answer must not promise that a retry is harmless.
func (l *loop) refuseRepeated(r *request) {
	if !r.closed {
		l.metrics.repeated.Inc()
		l.answerRequest(r, response{status: http.StatusConflict, unforwarded: true})
	}
}

// certainlyNotExecuted reports whether a status implies that the upstream has not executed the request.
func certainlyNotExecuted(status balancer.Status) bool {
	return status == balancer.Rejected || status == balancer.ConnectFailed || status == balancer.NotSent
}

// endAttempt stops waiting for an attempt. An attempt that has not been claimed for writing ends as not sent, whatever the
// status. Otherwise its connection is closed, which tells the upstream to stop and frees the capacity.
func (l *loop) endAttempt(a *attempt, status balancer.Status) {
	if a.outcomeDelivered {
		return
	}
	a.drop()
	if a.stage.Load() == attemptDropped {
		status = balancer.NotSent
	} else {
		a.abandoned.Store(true)
		a.conn.abandon()
	}
	l.deliverResult(a, attemptResult{status: status})
}

// expireAttempt ends an attempt that has timed out before the deadline of its request, unless its response has begun.
func (l *loop) expireAttempt(a *attempt) {
	if !l.letRespond(a) {
		l.timeOut(a)
	}
}

// letRespond reports whether an attempt that would be given up now goes on because its response has begun. It expires later if that
// response is short and not complete by then.
func (l *loop) letRespond(a *attempt) bool {
	until := a.respondsUntil()
	if l.now() >= until {
		return false
	}
	if until != noDeadline {
		if a.timer == nil {
			a.timer = &attemptTimer{a}
		}
		l.setTimer(timer{at: until, attempt: a.timer})
	}
	return true
}

// timeOut ends an attempt because its time, or that of its request, is over.
func (l *loop) timeOut(a *attempt) {
	now := l.now()
	if !a.outcomeDelivered && !a.request.closed && l.timeoutLog.allows(now) {
		slog.Info("attempt timed out", "request_id", a.request.message.header.Get("X-Request-Id"), "attempt", a.index, "endpoint", a.address,
			"elapsed", (now - a.sentAt).Round(time.Millisecond), "response_begun", a.begun.Load() != noResponse)
	}
	l.endAttempt(a, balancer.Timeout)
}

// answerRequest sends the response to a request. Later responses to the same request are ignored.
func (l *loop) answerRequest(r *request, a response) {
	if r.closed {
		return
	}
	a.unforwarded = a.unforwarded || len(r.attempts) == 0
	r.reply <- a
	l.closeRequest(r)
}

// closeRequest marks a request as closed: its client gets no further response. Attempts that are waiting for a connection
// are dropped, since their response could not be used. That holds even if the settings do not allow cancelling attempts
// that have been sent.
func (l *loop) closeRequest(r *request) {
	r.closed = true
	for _, a := range r.attempts {
		if a.drop() {
			l.postpone(a, balancer.NotSent)
		}
	}
	l.releaseRequest(r)
}

// releaseRequest deletes a request that is closed and has no attempt in flight. Others may refer to it for longer, so its message is
// cleared to free the body.
func (l *loop) releaseRequest(r *request) {
	if r.closed && r.undelivered == 0 {
		delete(l.requests, r.ID)
		r.message = message{}
		if r.timer != nil {
			r.timer.request = nil
		}
	}
}
