package balancer

import "time"

// Events is the set of methods by which the owner drives a Balancer.
type Events interface {
	// OnEndpointUpdate delivers an endpoint list from discovery, or reports a failed call.
	OnEndpointUpdate(now time.Duration, mode UpdateMode, list []Endpoint)
	// OnRequest delivers a new client request.
	OnRequest(now time.Duration, r Request)
	// OnBodyReceived reports that the last byte of an Upload has arrived, before or after the request is sent. The request's
	// timeout, of which the given part remains, runs from then on.
	OnBodyReceived(now time.Duration, id RequestID, timeout time.Duration)
	// OnBodySent reports that the last byte of an Upload has been sent. The timeout begins at the latest now.
	OnBodySent(now time.Duration, id RequestID, attempt int)
	// OnStreamStarted reports that a streamed response has begun.
	OnStreamStarted(now time.Duration, id RequestID, attempt int)
	// OnAttemptResult delivers the result of an attempt.
	OnAttemptResult(now time.Duration, result AttemptResult)
	// OnClientDisconnected reports that a request needs no answer any more.
	OnClientDisconnected(now time.Duration, id RequestID)
	// OnHealthCheckResult delivers the result of a health check.
	OnHealthCheckResult(now time.Duration, result HealthCheckResult)
	// OnTimer reports that a timer set by Effects.SetTimer has expired.
	OnTimer(now time.Duration, token uint64)
}

var _ Events = (*Balancer)(nil)

// RequestID identifies a client request. A client's retry has an ID of its own. IDs are never reused.
type RequestID uint64

// EndpointID identifies an endpoint. It is opaque and survives restarts of the endpoint.
type EndpointID uint32

// EndpointState is the state of an endpoint according to discovery.
type EndpointState uint8

// The states of an endpoint.
const (
	Active EndpointState = iota
	Draining
	Removed
)

// Endpoint is an entry of an endpoint list.
type Endpoint struct {
	ID        EndpointID
	Zone      string
	Cell      int           // group of endpoints that share an idempotency store, for ScopeCell
	Weight    float64       // see WeightKind
	StartedAt time.Duration // latest start on the owner's clock; 0: long ago
	State     EndpointState
}

// UpdateMode says how an endpoint list relates to the previous one.
type UpdateMode uint8

// The update modes.
const (
	UpdateDelta    UpdateMode = iota // changed entries only
	UpdateComplete                   // the complete list: endpoints that are missing from it are removed
	UpdateCached                     // the complete list as last received, possibly stale
	UpdateFailed                     // the call failed or the watch broke; no entries
)

// Request is a client request.
type Request struct {
	ID      RequestID
	Timeout time.Duration // the client gives up after it
	Class   string        // a name from Settings.Classes
	Tenant  string        // a name from Settings.Tenants, or empty
	Key     uint64        // identifies the subject of the request, if HasKey
	HasKey  bool
	Retry   bool // a retry by the client
	// CostHint is the expected CPU time on a standard core; 0: unknown.
	CostHint time.Duration
	// Upload marks a request whose body is forwarded while it is received. Its Timeout runs from OnBodyReceived. It has one
	// attempt at a time, and none after a result with BodyConsumed.
	Upload bool
}

// Status is the outcome of an attempt or a health check.
type Status uint8

// The statuses. Those marked * prove that the request was not executed.
const (
	OK            Status = iota
	Error                // the endpoint responded with an error
	Rejected             // * the endpoint's queue is full
	Timeout              // no response in time
	ConnectFailed        // * no connection in time, or it ended before the whole request was written
	Reset                // connection lost
	Cancelled            // aborted by Effects.Cancel
	NotSent              // * never written
)

// provesNotExecuted reports whether the status proves that the request was not executed.
func (s Status) provesNotExecuted() bool { return s == Rejected || s == ConnectFailed || s == NotSent }

// isResponse reports whether the endpoint has responded.
func (s Status) isResponse() bool { return s == OK || s == Error || s == Rejected }

// isFailure reports whether the status is evidence against the endpoint's health. A full queue is not.
func (s Status) isFailure() bool {
	return s == Error || s == Timeout || s == ConnectFailed || s == Reset
}

// LoadField is a bit set of the values that a LoadReport holds.
type LoadField uint8

// The load fields, in the order of the values of LoadReport.
const (
	HasUtilization LoadField = 1 << iota
	HasInflight
	HasQueue
	HasServiceTime
	HasRate
	HasErrors
)

// LoadReport is the load of an endpoint as it reports it. Fields has a bit for each value that is present.
type LoadReport struct {
	Fields      LoadField
	Utilization float64 // busy fraction of the endpoint's CPU
	Inflight    float64 // requests in progress
	Queue       float64 // requests waiting
	ServiceTime float64 // recent service time, ms
	Rate        float64 // requests served per second
	Errors      float64 // errors per second
}

// AttemptResult is the result of one attempt.
type AttemptResult struct {
	ID            RequestID
	Endpoint      EndpointID
	Attempt       int // number of the attempt, as for Effects.Send
	Latency       time.Duration
	Status        Status
	RequestClosed bool // the request has its final answer, by this result or earlier
	BodyConsumed  bool // part of an Upload's body can't be sent again
	Load          LoadReport
}

// HealthCheckResult is the result of one health check.
type HealthCheckResult struct {
	Endpoint EndpointID
	Latency  time.Duration
	Status   Status
	Load     LoadReport
}

// FleetSize is the number of balancers in the fleet and the rank of this one. Settings.Balancers and Settings.Rank hold
// until the balancers have agreed on other values.
type FleetSize struct {
	Balancers    int // determines how many endpoints each balancer uses
	Rank         int // of this balancer, from 0
	MaxBalancers int // divides budgets that all balancers share, such as tenant quotas; at least Balancers
}
