package proxy

import (
	"log/slog"
	"net/http"
	"time"

	"sprucehill/balancer"
)

// This file has the methods of balancer.Effects. The decision module calls them on the loop's goroutine, from inside its own
// event methods, so none of them may call back into the module. An outcome that is known at once is postponed until the
// module has returned.

// Send makes an attempt of a request at an endpoint. timeout bounds the attempt; 0: the request's deadline alone does.
func (l *loop) Send(requestID balancer.RequestID, endpointID balancer.EndpointID, timeout time.Duration) {
	r := l.requests[requestID]
	endpoint := l.endpoints[endpointID]
	if r == nil || endpoint == nil { // the module knows both from the loop
		slog.Info("attempt skipped: request or endpoint unknown", "request_serial", requestID,
			"endpoint", l.endpoints.addressOf(endpointID), "endpoint_id", endpointID)
		return
	}
	now := l.now()
	a := l.newAttempt(r, endpoint, now, timeout)
	if !l.connect(a, now) {
		a.drop()
		l.postpone(a, balancer.NotSent) // the endpoint is not at fault
		return
	}
	endpoint.inFlight[a] = struct{}{}
	a.message = r.message
	go l.runAttempt(a)
}

// newAttempt adds an attempt to a request, with a timer if it may take less time than the request.
func (l *loop) newAttempt(r *request, endpoint *endpoint, now, timeout time.Duration) *attempt {
	a := &attempt{request: r, index: len(r.attempts), endpoint: endpoint, sentAt: now, address: endpoint.address, deadline: r.deadline}
	r.attempts = append(r.attempts, a)
	r.undelivered++
	if r.Upload {
		a.onBodyWritten = func() { l.post(bodySent{a}) }
	}
	if timeout > 0 && timeout < a.remaining(now) {
		a.deadline = now + timeout
		l.setTimer(timer{at: a.deadline, attempt: a})
	}
	return a
}

// connect gives an attempt an idle connection, or capacity for a new one. It returns false where there is neither, or
// the attempt can't be made any more.
func (l *loop) connect(a *attempt, now time.Duration) (ok bool) {
	if a.request.closed || a.remaining(now) <= 0 || a.endpoint.state != balancer.Active {
		return false
	}
	a.conn, ok = l.pool.get(a.endpoint)
	return ok
}

// runAttempt carries out an attempt and posts its result. It runs on a goroutine of its own.
func (l *loop) runAttempt(a *attempt) { l.post(attemptFinished{a, l.dialer.runAttempt(a)}) }

// Reject answers a client that a retry is harmless, after retryAfter if that is over 0 and the settings allow such advice. An
// idempotent request may have been executed.
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

// Fail answers a client that its request has failed; it may have been executed.
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

// Cancel stops waiting for a request's attempt, counted from 0.
func (l *loop) Cancel(requestID balancer.RequestID, attempt int) {
	r := l.requests[requestID]
	if r != nil && attempt >= 0 && attempt < len(r.attempts) {
		l.postpone(r.attempts[attempt], balancer.Cancelled)
	}
}

// HealthCheck checks an endpoint and, where the settings have load reports, fetches its load report. It does
// nothing where there is no capacity for another connection.
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
	check := &healthCheck{endpoint: endpoint, sentAt: l.now(), address: endpoint.address, withLoad: withLoad, conn: idle}
	go l.runHealthCheck(check)
}

// runHealthCheck carries out a health check and posts its result. It runs on a goroutine of its own.
func (l *loop) runHealthCheck(check *healthCheck) {
	l.post(healthCheckFinished{check, l.dialer.checkHealth(check)})
}

// CloseIdle closes the idle connections to an endpoint.
func (l *loop) CloseIdle(endpointID balancer.EndpointID) {
	if endpoint := l.endpoints[endpointID]; endpoint != nil {
		l.pool.closeIdle(endpoint)
	}
}

// WatchEndpoints starts a watch of discovery, in place of one that runs.
func (l *loop) WatchEndpoints() {
	l.discovery.StopWatch()
	l.discovery.StartWatch()
}

// UnwatchEndpoints stops the watch of discovery.
func (l *loop) UnwatchEndpoints() { l.discovery.StopWatch() }

// FetchEndpoints polls discovery once for the complete list.
func (l *loop) FetchEndpoints() { l.discovery.Fetch() }

// SetTimer has the module's OnTimer called with the token.
func (l *loop) SetTimer(after time.Duration, token uint64) {
	l.setTimer(timer{at: l.now() + max(after, 0), token: token})
}
