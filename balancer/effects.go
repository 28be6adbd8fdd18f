package balancer

import "time"

// Effects carries out the decisions of a Balancer. Its methods are called only while the Balancer handles an event, and must
// not call back into it.
type Effects interface {
	// Send starts an attempt of a request at an endpoint. The attempts of a request are numbered from 0 in the order of the
	// calls. A timeout of 0 means that only the client's timeout applies.
	Send(id RequestID, endpoint EndpointID, timeout time.Duration)
	// Reject answers a request as rejected, which promises that a retry is harmless. A retryAfter of 0 means no Retry-After.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail answers a request as failed: it may have been executed.
	Fail(id RequestID)
	// Cancel aborts an attempt, numbered as for Send. OnAttemptResult still delivers its result.
	Cancel(id RequestID, attempt int)
	// HealthCheck starts a health check of an endpoint. OnHealthCheckResult delivers the result.
	HealthCheck(endpoint EndpointID)
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(endpoint EndpointID)
	// WatchEndpoints subscribes to discovery and replaces any current subscription.
	WatchEndpoints()
	// UnwatchEndpoints ends the subscription to discovery.
	UnwatchEndpoints()
	// FetchEndpoints polls discovery once for the complete list.
	FetchEndpoints()
	// SetTimer schedules a call of OnTimer with token. Several timers may have the same token.
	SetTimer(after time.Duration, token uint64)
	// Log writes an event to the operators' log.
	Log(event LogEvent)
}
