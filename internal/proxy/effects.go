package proxy

import (
	"log/slog"
	"net/http"
	"time"

	"sprucehill/balancer"
)

// This file implements balancer.Effects. The decision module calls these methods on the loop's goroutine from inside its own
// event methods, so none of them may call back into the module. An outcome that is known immediately is queued until the
// module has returned.

// Send starts an attempt of a request at an endpoint. The attempt ends after timeout, or, if timeout is 0, only at the
// request's deadline.
func (l *loop) Send(requestID balancer.RequestID, endpointID balancer.EndpointID, timeout time.Duration) {
	r := l.requests[requestID]
	endpoint := l.endpoints[endpointID]
	if r == nil || endpoint == nil { // not expected: the module learns of both from the loop
		slog.Info("attempt skipped: request or endpoint unknown", "request_serial", requestID,
			"endpoint", l.endpoints.addressOf(endpointID), "endpoint_id", endpointID)
		return
	}
	now := l.now()
	a := l.newAttempt(r, endpoint, now, timeout)
	if !l.assignConn(a, now) {
		a.drop()
		l.postpone(a, balancer.NotSent) // does not count against the endpoint
		return
	}
	endpoint.inFlight[a] = struct{}{}
	a.message = r.message
	go l.runAttempt(a)
}

// newAttempt adds an attempt to a request, and sets a timer if its timeout ends before the request's deadline.
func (l *loop) newAttempt(r *request, endpoint *endpoint, now, timeout time.Duration) *attempt {
	a := &attempt{
		request:  r,
		index:    len(r.attempts),
		endpoint: endpoint,
		sentAt:   now,
		address:  endpoint.address,
		deadline: r.deadline,
		finisher: l,
	}
	r.attempts = append(r.attempts, a)
	r.undelivered++
	if r.Upload {
		a.onBodyWritten = func() {
			r.upload.markReceived(l.now())
			l.post(bodySent{a})
		}
	}
	if timeout > 0 && timeout < a.remaining(now) {
		a.deadline = now + timeout
		a.timer = &attemptTimer{a}
		l.setTimer(timer{at: a.deadline, attempt: a.timer})
	}
	return a
}

// assignConn assigns an attempt an idle connection, or reserves capacity for a new one. It returns false if there is
// neither, or if the attempt can no longer be sent.
func (l *loop) assignConn(a *attempt, now time.Duration) (ok bool) {
	if a.request.closed || a.remaining(now) <= 0 || a.endpoint.state != balancer.Active {
		return false
	}
	a.conn, ok = l.pool.get(a.endpoint)
	return ok
}

// runAttempt runs an attempt. It is called on a goroutine of its own.
func (l *loop) runAttempt(a *attempt) {
	if handedOver := l.dialer.runAttempt(a); !handedOver {
		l.finishAttempt(a)
	}
}

// finishAttempt implements attemptFinisher: it posts the result of an attempt.
func (l *loop) finishAttempt(a *attempt) {
	if a.executionBegun {
		a.request.execution.endAttempt(a.result.status)
	}
	l.post(attemptFinished{a, a.result})
}

// Reject sends a client 503, which tells it that a retry is safe. The response has a Retry-After field if retryAfter is
// positive and the settings allow it. An idempotent request may have been executed nevertheless.
func (l *loop) Reject(requestID balancer.RequestID, retryAfter time.Duration) {
	r := l.requests[requestID]
	if r == nil {
		return
	}
	if !l.settings.Limits.AllowRetryAfter {
		retryAfter = 0
	}
	l.answerRequest(r, response{
		status:     http.StatusServiceUnavailable,
		retryAfter: min(retryAfter, l.settings.Limits.MaxRetryAfter),
	})
}

// Fail sends a client an error response. The request may have been executed.
func (l *loop) Fail(requestID balancer.RequestID) {
	r := l.requests[requestID]
	if r == nil {
		return
	}
	status := http.StatusBadGateway
	if l.now() >= r.deadline {
		status = http.StatusGatewayTimeout
	}
	l.answerRequest(r, response{status: status})
}

// Cancel stops waiting for an attempt of a request; attempt is its index from 0.
func (l *loop) Cancel(requestID balancer.RequestID, attempt int) {
	r := l.requests[requestID]
	if r != nil && attempt >= 0 && attempt < len(r.attempts) {
		l.postpone(r.attempts[attempt], balancer.Cancelled)
	}
}

// HealthCheck checks an endpoint and, if load reports are enabled in the settings, fetches its load report. It does
// nothing if there is no capacity for another connection.
func (l *loop) HealthCheck(endpointID balancer.EndpointID) {
	endpoint := l.endpoints[endpointID]
	if endpoint == nil || endpoint.state != balancer.Active {
		return
	}
	idle, ok := l.pool.get(endpoint)
	if !ok {
		return
	}
	withLoad := l.settings.Reports != balancer.ReportNone
	check := &healthCheck{
		endpoint: endpoint,
		sentAt:   l.now(),
		address:  endpoint.address,
		withLoad: withLoad,
		conn:     idle,
	}
	go l.runHealthCheck(check)
}

// runHealthCheck runs a health check and posts its result. It is called on a goroutine of its own.
func (l *loop) runHealthCheck(check *healthCheck) {
	l.post(healthCheckFinished{check, l.dialer.checkHealth(check)})
}

// CloseIdle closes the idle connections to an endpoint.
func (l *loop) CloseIdle(endpointID balancer.EndpointID) {
	if endpoint := l.endpoints[endpointID]; endpoint != nil {
		l.pool.closeIdle(endpoint)
	}
}

// WatchEndpoints starts a watch of discovery, or has the running one make another call beside one that is overdue.
func (l *loop) WatchEndpoints() { l.discovery.StartWatch() }

// UnwatchEndpoints stops the watch of discovery.
func (l *loop) UnwatchEndpoints() { l.discovery.StopWatch() }

// FetchEndpoints polls discovery once for the complete list.
func (l *loop) FetchEndpoints() { l.discovery.Fetch() }

// SetTimer schedules a call of the module's OnTimer with the token.
func (l *loop) SetTimer(after time.Duration, token uint64) {
	l.setTimer(timer{at: l.now() + max(after, 0), token: token})
}
