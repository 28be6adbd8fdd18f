package model

import (
	"time"

	"sprucehill/balancer"
)

// The node implements the effects of the decision module.
var _ balancer.Effects = (*node)(nil)

// Send starts an attempt, on an idle connection if there is one and otherwise on a new connection.
func (n *node) Send(id balancer.RequestID, endpoint balancer.EndpointID, timeout time.Duration) {
	r := n.requests[id]
	if r == nil || int(endpoint) >= len(n.endpoints) {
		return
	}
	a := &upstreamAttempt{request: r, number: int32(len(r.attempts)), upstream: int(endpoint), sentAt: n.now}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	untilDeadline := r.deadline - n.now
	if timeout > 0 && timeout < untilDeadline {
		n.after(timeout, message{kind: msgAttemptTimeout, id: r.client.id, number: a.number, incarnation: n.incarnation})
	}
	switch {
	case r.closed || untilDeadline <= 0 || n.endpoints[endpoint].state != balancer.Active:
		n.pendingOutcomes = append(n.pendingOutcomes, pendingOutcome{a, balancer.NotSent})
	case n.takeIdle(a.upstream):
		n.write(a)
	case !n.reserveConn():
		n.pendingOutcomes = append(n.pendingOutcomes, pendingOutcome{a, balancer.NotSent})
	default:
		n.conns++
		n.send(n.sim.servers[endpoint], message{kind: msgConnect, id: r.client.id, number: a.number})
		n.after(n.dialTimeout, message{kind: msgConnectTimeout, id: r.client.id, number: a.number, incarnation: n.incarnation})
	}
}

// Reject responds that the request was not executed, so that a retry is harmless.
func (n *node) Reject(id balancer.RequestID, retryAfter time.Duration) {
	if r := n.requests[id]; r != nil {
		n.respond(r, message{status: statusRejected, duration: min(retryAfter, n.settings.Limits.MaxRetryAfter)})
	}
}

// Fail responds with an error that leaves open whether the request was executed.
func (n *node) Fail(id balancer.RequestID) {
	if r := n.requests[id]; r != nil {
		n.respond(r, message{status: statusFailed})
	}
}

// Cancel abandons an attempt. Its outcome is delivered after the module's call.
func (n *node) Cancel(id balancer.RequestID, attempt int) {
	if r := n.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) {
		n.pendingOutcomes = append(n.pendingOutcomes, pendingOutcome{r.attempts[attempt], balancer.Cancelled})
	}
}

// SetTimer schedules an OnTimer event.
func (n *node) SetTimer(after time.Duration, token uint64) {
	n.after(after, message{kind: msgTimer, id: token, incarnation: n.incarnation})
}

// HealthCheck does nothing: load reports come with replies, and scenarios of the model engine permit no health checks.
func (n *node) HealthCheck(balancer.EndpointID) {}

// CloseIdle closes the idle connections to an upstream.
func (n *node) CloseIdle(endpoint balancer.EndpointID) {
	for range n.endpoints[endpoint].idle {
		n.closeConn(int(endpoint))
	}
	n.endpoints[endpoint].idle = nil
}

// WatchEndpoints does nothing: the agent passes on each update as soon as it has it.
func (n *node) WatchEndpoints() {}

// UnwatchEndpoints does nothing: the agent passes on updates for the whole run.
func (n *node) UnwatchEndpoints() {}

// FetchEndpoints does nothing: the process fetches the list when it starts and when it is resumed.
func (n *node) FetchEndpoints() {}

// Log drops the module's log events.
func (n *node) Log(balancer.LogEvent) {}
