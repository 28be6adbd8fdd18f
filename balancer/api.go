// Package sprucehill makes the decisions of a load-balancing proxy for fleets of
// HTTP servers: which upstream gets a request, whether it is sent again, held,
// refused or failed, and how the upstream list is followed. It does no I/O.
//
// # Contract
//
// One Balancer is one proxy instance. Its owner calls a method per event, from
// one goroutine at a time, with now on any monotonic origin and never going
// back. The Balancer answers by calling its Host during that call, never
// outside it. It reads no clock, starts no goroutine and shares no state with
// other Balancers; the same events with the same seed give the same actions.
//
// Events arrive in order: a request's Request first, then one Outcome for each
// Send, at most one Gone. An Outcome may follow the request's final answer.
// Ids that are not held are passed over. Memory is bounded by what the owner
// has open: requests, attempts and listed upstreams.
//
// Every request gets exactly one final answer: a successful Outcome, Refuse or
// Fail. Refuse promises the client that another try is harmless.
package balancer

import "time"

// RequestID names one try of a client's request; ids are never reused.
type RequestID uint64

// UpstreamID names an upstream. It carries no meaning and survives restarts.
type EndpointID uint32

// Repeat says whether a class may run more than once, safest first.
type Idempotency uint8

// The repeat kinds.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // a group of upstreams drops repeats for Class.Memory
	NonIdempotent                      // must never run twice
)

// Group says which upstreams drop a keyed request's repeats.
type IdempotencyScope uint8

// The groups.
const (
	ScopeAll IdempotencyScope = iota
	ScopeZone
	ScopeCell
)

// Class is one kind of request.
type Class struct {
	Name               string
	LatencyObjective   time.Duration // answers within it earn full worth
	Deadline           time.Duration // the client's total wait
	Idempotency        Idempotency
	Scope              IdempotencyScope // for Keyed
	IdempotencyWindow  time.Duration    // for Keyed: how long repeats are dropped
	Stream             bool
	PriorityWeight     float64
	LatePriorityFactor float64 // fraction of Worth between Aim and Deadline
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all balancers
}

// Limits is what the site permits.
type Limits struct {
	AllowCancel       bool
	AllowHealthChecks bool
	AllowHedging      bool
	AllowRetryAfter   bool
	MaxRetryAfter     time.Duration // longest wait a client honours
	MaxAttempts       int
}

// Rules holds the figures of the drain and cold-start rules.
type Obligations struct {
	PollInterval     time.Duration // discovery on request: ask at least this often
	SlowStartFrom    float64       // an upstream starts at this share of capacity or more
	SlowStartWindow  time.Duration // and is warm no later than this
	OverloadMultiple float64       // sent more than this multiple of present capacity
	OverloadWindow   time.Duration // for this long, a cold upstream falls over
	DrainGrace       time.Duration // sends to a draining upstream must cease within this
	AnswerSlack      time.Duration // slack of a final answer after the client's deadline
}

// WeightKind says what Upstream.Weight means.
type WeightKind uint8

// The weight kinds.
const (
	WeightNone        WeightKind = iota // always one
	WeightNominal                       // size
	WeightApproximate                   // size, approximately
	WeightLive                          // size lowered by load some time ago
)

// ReportVia says how load reports arrive.
type ReportSource uint8

// The ways of reporting.
const (
	ReportNone           ReportSource = iota
	ReportInResponses                 // within outcomes and probe results
	ReportInHealthChecks              // within probe results only
)

// Fleet is how many balancers there are, where they tell each other. Without word of it the Settings hold.
type FleetSize struct {
	Balancers    int // by which routing divides: how many upstreams each uses
	Rank         int // of this instance among them, from 0
	MaxBalancers int // by which budgets for all together divide, tenants' quotas among them; no fewer than Balancers
}

// Settings is what a Balancer is told at its start.
type Settings struct {
	Zone            string
	Balancers       int // instances in this tier
	Rank            int // of this instance among them, from 0
	Classes         []Class
	Tenants         []Tenant
	OverQuotaFactor float64 // worth of traffic over a tenant's quota
	PriorityByWork  bool    // worth counts per unit of work, not per request
	KeyAffinity     bool    // an upstream serves keys it met lately with less work
	Limits          Limits
	Obligations     Obligations
	PollDiscovery   bool // discovery answers only when asked
	Weights         WeightKind
	Reports         ReportSource
	EventSpacing    time.Duration // least spacing of event batches
}

// State is what discovery says of an upstream.
type EndpointState uint8

// The states.
const (
	Active EndpointState = iota
	Draining
	Removed
)

// Upstream is one entry of a discovery list.
type Endpoint struct {
	ID        EndpointID
	Zone      string
	Cell      int
	Weight    float64
	StartedAt time.Duration // latest start on the owner's clock; 0: long past
	State     EndpointState
}

// ListMode says how a list relates to the one held.
type UpdateMode uint8

// The list modes.
const (
	UpdateDelta    UpdateMode = iota // changed entries only
	UpdateComplete                   // the whole list; what it lacks is gone
	UpdateCached                     // the whole list as last held, maybe stale
	UpdateFailed                     // the call failed or the watch dropped; no entries
)

// Request is a client's request.
type Request struct {
	ID       RequestID
	Timeout  time.Duration // the client gives up this try after it
	Class    string        // a name from Settings.Classes
	Tenant   string        // a name from Settings.Tenants, or empty
	Key      uint64        // subject of the request, if HasKey
	HasKey   bool
	Retry    bool
	CostHint time.Duration // hint: work on a standard core; 0: unknown
	// Upload: the body is still coming and is passed on as it comes. Budget runs from Written, there is one attempt at
	// a time, and none after an Outcome that is Spent.
	Upload bool
}

// Status is how an attempt or probe ended.
type Status uint8

// The statuses. Those marked * prove that the request never ran.
const (
	OK            Status = iota
	Error                // the upstream answered with an error
	Rejected             // * turned away unseen
	Timeout              // no answer in time
	ConnectFailed        // * no connection in time
	Reset                // connection lost
	Cancelled            // stopped by Cancel
	NotSent              // * never sent
)

// LoadField is a bit for each value that a Load holds.
type LoadField uint8

// The load fields.
const (
	HasUtilization LoadField = 1 << iota
	HasInflight
	HasQueue
	HasServiceTime
	HasRate
	HasErrors
)

// Load is an upstream's load report; Fields tells which values it holds.
type LoadReport struct {
	Fields      LoadField
	Utilization float64 // share of CPU busy
	Inflight    float64 // requests held
	Queue       float64 // requests waiting
	ServiceTime float64 // recent service time, ms
	Rate        float64 // requests served a second
	Errors      float64 // errors a second
}

// Outcome is the end of one attempt.
type AttemptResult struct {
	ID            RequestID
	Endpoint      EndpointID
	Attempt       int // order of the request's Sends, from 0
	Latency       time.Duration
	Status        Status
	RequestClosed bool // the request is finished, now or earlier
	BodyConsumed  bool // part of an Upload's body is gone: it can't be sent again
	Load          LoadReport
}

// ProbeResult is the end of one probe.
type HealthCheckResult struct {
	Endpoint EndpointID
	Latency  time.Duration
	Status   Status
	Load     LoadReport
}

// Host carries out a Balancer's actions.
type Effects interface {
	Send(id RequestID, up EndpointID, timeout time.Duration) // timeout 0: until the client quits
	Reject(id RequestID, retryAfter time.Duration)           // retryAfter 0: no advice
	Fail(id RequestID)
	Cancel(id RequestID, attempt int)
	HealthCheck(up EndpointID)
	CloseIdle(up EndpointID) // close idle connections
	WatchEndpoints(on bool)  // subscribe to discovery
	FetchEndpoints()         // ask discovery for the whole list once
	SetTimer(after time.Duration, token uint64)
	Log(text string)
}

// Events is the set of methods by which an owner drives a Balancer.
type Events interface {
	OnEndpointUpdate(now time.Duration, mode UpdateMode, list []Endpoint)
	OnRequest(now time.Duration, r Request)
	OnBodySent(now time.Duration, id RequestID, attempt int)      // an Upload's last byte is on its way, its time begins
	OnStreamStarted(now time.Duration, id RequestID, attempt int) // a stream's answer has begun
	OnAttemptResult(now time.Duration, o AttemptResult)
	OnClientDisconnected(now time.Duration, id RequestID) // the client left, nothing more is owed
	OnHealthCheckResult(now time.Duration, p HealthCheckResult)
	OnTimer(now time.Duration, token uint64)
}

var _ Events = (*Balancer)(nil)
