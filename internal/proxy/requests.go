package proxy

import (
	"log/slog"
	"net/http"
	"time"

	"sprucehill/balancer"
)

// request is a client's request. The frontend fills it in and hands it over with the event that it has arrived; from
// then on it belongs to the loop.
type request struct {
	balancer.Request
	message   message
	arrivedAt time.Duration // when its last byte came, or of an upload the last byte that is buffered; on the loop's clock
	reply     chan response // has capacity for the one answer
	deadline  time.Duration // on the loop's clock; noDeadline: an upload of which a part has still to be written
	window    idempotencyWindow
	// timeLeft returns how much of timeout is left to an upload whose last byte is written at writtenAt, on the loop's clock.
	// Nil for others.
	timeLeft    func(writtenAt, timeout time.Duration) time.Duration
	attempts    []*attempt // in the order in which they were made
	undelivered int        // attempts whose result has not been given to the decision module
	closed      bool       // it has been answered, or its client has disconnected
}

// pendingOutcome is an attempt's outcome that came up inside a call of the decision module, which must not be called
// while it calls. It is delivered as soon as that call has returned.
type pendingOutcome struct {
	attempt *attempt
	status  balancer.Status
}

// postpone queues the outcome of an attempt for deliverOutcomes.
func (l *loop) postpone(a *attempt, status balancer.Status) {
	l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{a, status})
}

// deliverOutcomes gives the decision module the outcomes that came up while it was calling. What that makes it do may
// add to them.
func (l *loop) deliverOutcomes() {
	for len(l.pendingOutcomes) > 0 {
		outcome := l.pendingOutcomes[0]
		l.pendingOutcomes = l.pendingOutcomes[1:]
		l.endAttempt(outcome.attempt, outcome.status)
	}
	l.pendingOutcomes = nil
}

// deliverResult gives the decision module an attempt's one result, and the client the response where there is one and
// the request is still open: answered reports that. Results after the first are ignored.
func (l *loop) deliverResult(a *attempt, r attemptResult) (answered bool) {
	if a.outcomeDelivered {
		return false
	}
	a.outcomeDelivered = true
	req := a.request
	now := l.now()
	if debugLogged() {
		slog.Debug("attempt ended", "request_id", req.message.header.Get("X-Request-Id"), "attempt", a.index,
			"endpoint", a.address, "status", r.status, "elapsed", (now - a.sentAt).Round(time.Millisecond), "request_closed", req.closed)
	}
	if certainlyNotExecuted(r.status) {
		req.window.exclude(a)
	}
	answered = r.status == balancer.OK && !req.closed
	if answered {
		l.answerRequest(req, response{status: http.StatusOK, body: r.body, contentType: r.contentType, stream: r.stream})
	}
	req.undelivered--
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

// certainlyNotExecuted reports whether a status makes certain that the upstream has not executed the request.
func certainlyNotExecuted(status balancer.Status) bool {
	return status == balancer.Rejected || status == balancer.ConnectFailed || status == balancer.NotSent
}

// endAttempt stops waiting for an attempt. One that was never written counts as not sent, whatever the status. The
// connection of one that was written is closed, which tells the upstream to stop and frees the capacity.
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

// expireAttempt ends an attempt whose time is over.
func (l *loop) expireAttempt(a *attempt) { l.endAttempt(a, balancer.Timeout) }

// answerRequest gives a client its one answer; later ones are ignored.
func (l *loop) answerRequest(r *request, a response) {
	if r.closed {
		return
	}
	r.reply <- a
	l.closeRequest(r)
}

// closeRequest records that the client gets nothing more. Attempts that still wait for a connection are dropped: nobody
// would get their response, whether or not the settings allow cancelling what has been sent.
func (l *loop) closeRequest(r *request) {
	r.closed = true
	for _, a := range r.attempts {
		if a.drop() {
			l.postpone(a, balancer.NotSent)
		}
	}
	l.releaseRequest(r)
}

// releaseRequest deletes a request that is closed and has no attempt in flight. Its timer stays until the deadline, but
// does not refer to its body any more.
func (l *loop) releaseRequest(r *request) {
	if r.closed && r.undelivered == 0 {
		delete(l.requests, r.ID)
		r.message = message{}
	}
}
