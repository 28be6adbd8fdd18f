package balancer

import "time"

// Effects carries out what a Balancer decides. Its methods are called during an event only, and must not call back into the
// Balancer.
type Effects interface {
	Send(id RequestID, up EndpointID, timeout time.Duration) // timeout 0: until the client gives up
	Reject(id RequestID, retryAfter time.Duration)           // retryAfter 0: no advice
	Fail(id RequestID)
	Cancel(id RequestID, attempt int)
	HealthCheck(up EndpointID)
	CloseIdle(up EndpointID) // close idle connections to the endpoint
	WatchEndpoints()         // subscribe to discovery, in place of a subscription that runs
	UnwatchEndpoints()       // end the subscription to discovery
	FetchEndpoints()         // poll discovery once for the complete list
	SetTimer(after time.Duration, token uint64)
	Log(event LogEvent)
}
