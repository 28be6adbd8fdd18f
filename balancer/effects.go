package balancer

import "time"

// Effects carries out what a Balancer decides. Its methods are called during an event only, and must not call back into the
// Balancer.
type Effects interface {
	// Send starts an attempt of a request at an endpoint. The attempts of a request are numbered from 0, in the order of
	// their Sends. A timeout of 0 means none but the client's.
	Send(id RequestID, endpoint EndpointID, timeout time.Duration)
	// Reject answers a request as rejected: a retry is harmless. A retryAfter of 0 means no advice on when to retry.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail answers a request as failed: it may have been executed.
	Fail(id RequestID)
	// Cancel stops waiting for an attempt, counted from 0. Its result still follows.
	Cancel(id RequestID, attempt int)
	// HealthCheck checks an endpoint's health. OnHealthCheckResult delivers the result.
	HealthCheck(endpoint EndpointID)
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(endpoint EndpointID)
	// WatchEndpoints subscribes to discovery, in place of a subscription that runs.
	WatchEndpoints()
	// UnwatchEndpoints ends the subscription to discovery.
	UnwatchEndpoints()
	// FetchEndpoints polls discovery once for the complete list.
	FetchEndpoints()
	// SetTimer has OnTimer called with the token after a time. Several timers may have the same token.
	SetTimer(after time.Duration, token uint64)
	// Log reports an event to the operators.
	Log(event LogEvent)
}
