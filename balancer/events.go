package balancer

import "time"

// Events is the set of methods by which an owner drives a Balancer.
type Events interface {
	// OnEndpointUpdate delivers a list of endpoints from discovery, or the failure of a call.
	OnEndpointUpdate(now time.Duration, mode UpdateMode, list []Endpoint)
	// OnRequest delivers a new request of a client.
	OnRequest(now time.Duration, r Request)
	// OnBodySent reports that the last byte of an Upload is written. Its Timeout begins.
	OnBodySent(now time.Duration, id RequestID, attempt int)
	// OnStreamStarted reports that a streamed response has begun.
	OnStreamStarted(now time.Duration, id RequestID, attempt int)
	// OnAttemptResult delivers the end of an attempt.
	OnAttemptResult(now time.Duration, result AttemptResult)
	// OnClientDisconnected reports that a request needs no answer any more.
	OnClientDisconnected(now time.Duration, id RequestID)
	// OnHealthCheckResult delivers the end of a health check.
	OnHealthCheckResult(now time.Duration, result HealthCheckResult)
	// OnTimer reports that a timer is due.
	OnTimer(now time.Duration, token uint64)
}

var _ Events = (*Balancer)(nil)

// RequestID names one request of a client; a client's retry has an id of its own. Ids are never reused.
type RequestID uint64

// EndpointID names an endpoint. It carries no meaning and survives restarts of the endpoint.
type EndpointID uint32

// EndpointState is what discovery says of an endpoint.
type EndpointState uint8

// The states of an endpoint.
const (
	Active EndpointState = iota
	Draining
	Removed
)

// Endpoint is one entry of an endpoint list.
type Endpoint struct {
	ID        EndpointID
	Zone      string
	Cell      int           // group of endpoints that share an idempotency store, where the scope is ScopeCell
	Weight    float64       // see WeightKind
	StartedAt time.Duration // latest start on the owner's clock; 0: long ago
	State     EndpointState
}

// UpdateMode says how a list of endpoints relates to the one before it.
type UpdateMode uint8

// The update modes.
const (
	UpdateDelta    UpdateMode = iota // changed entries only
	UpdateComplete                   // the complete list: what it lacks is removed
	UpdateCached                     // the complete list as last received, possibly stale
	UpdateFailed                     // the call failed or the watch broke; no entries
)

// Request is a client's request.
type Request struct {
	ID      RequestID
	Timeout time.Duration // the client gives up after it
	Class   string        // a name from Settings.Classes
	Tenant  string        // a name from Settings.Tenants, or empty
	Key     uint64        // subject of the request, if HasKey
	HasKey  bool
	Retry   bool // the client has tried before
	// CostHint is the expected work on a standard core; 0: unknown.
	CostHint time.Duration
	// Upload marks a request whose body is still coming and is passed on as it comes. Its Timeout runs from OnBodySent. It has
	// one attempt at a time, and none after a result with BodyConsumed.
	Upload bool
}

// Status is how an attempt or a health check ended.
type Status uint8

// The statuses. Those marked * prove that the request was not executed.
const (
	OK            Status = iota
	Error                // the endpoint answered with an error
	Rejected             // * the endpoint's queue is full
	Timeout              // no response in time
	ConnectFailed        // * no connection in time, or it ended before the whole request was written
	Reset                // connection lost
	Cancelled            // stopped by Cancel
	NotSent              // * never written
)

// provesNotExecuted reports whether the status proves that the request was not executed.
func (s Status) provesNotExecuted() bool { return s == Rejected || s == ConnectFailed || s == NotSent }

// isResponse reports whether the endpoint has responded.
func (s Status) isResponse() bool { return s == OK || s == Error || s == Rejected }

// isFailure reports whether the status is evidence against the endpoint's health. A full queue is none.
func (s Status) isFailure() bool {
	return s == Error || s == Timeout || s == ConnectFailed || s == Reset
}

// LoadField is a bit for each value that a LoadReport holds.
type LoadField uint8

// The load fields, in the order of LoadReport's values.
const (
	HasUtilization LoadField = 1 << iota
	HasInflight
	HasQueue
	HasServiceTime
	HasRate
	HasErrors
)

// LoadReport is what an endpoint reports of its load. Fields has a bit for each value that it holds.
type LoadReport struct {
	Fields      LoadField
	Utilization float64 // fraction of its CPU that is busy
	Inflight    float64 // requests in progress
	Queue       float64 // requests waiting
	ServiceTime float64 // recent service time, ms
	Rate        float64 // requests served a second
	Errors      float64 // errors a second
}

// AttemptResult is the end of one attempt.
type AttemptResult struct {
	ID            RequestID
	Endpoint      EndpointID
	Attempt       int // index of the request's Sends, from 0
	Latency       time.Duration
	Status        Status
	RequestClosed bool // the request has its final answer, now or earlier
	BodyConsumed  bool // part of an Upload's body is gone: it can't be sent again
	Load          LoadReport
}

// HealthCheckResult is the end of one health check.
type HealthCheckResult struct {
	Endpoint EndpointID
	Latency  time.Duration
	Status   Status
	Load     LoadReport
}

// FleetSize is how many balancers there are, where they exchange that. Until then Settings.Balancers and Settings.Rank
// hold.
type FleetSize struct {
	Balancers    int // for routing: how many endpoints each balancer uses
	Rank         int // of this balancer among them, from 0
	MaxBalancers int // for budgets that all balancers share, tenants' quotas among them; at least Balancers
}
