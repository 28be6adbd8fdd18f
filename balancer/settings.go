package balancer

import "time"

// Idempotency says whether requests of a class may be executed more than once, safest first.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be executed any number of times
	IdempotentByKey                    // endpoints drop repeats by an idempotency key, within Class.IdempotencyWindow
	NonIdempotent                      // must never be executed twice
)

// IdempotencyScope says which endpoints together recognise an idempotency key.
type IdempotencyScope uint8

// The idempotency scopes.
const (
	ScopeAll IdempotencyScope = iota
	ScopeZone
	ScopeCell
)

// Class is one kind of request.
type Class struct {
	Name               string
	LatencyObjective   time.Duration // a response within it has the full PriorityWeight
	Deadline           time.Duration // how long a client waits in all
	Idempotency        Idempotency
	Scope              IdempotencyScope // for IdempotentByKey
	IdempotencyWindow  time.Duration    // for IdempotentByKey: how long repeats are dropped
	Stream             bool
	PriorityWeight     float64
	LatePriorityFactor float64 // fraction of PriorityWeight between LatencyObjective and Deadline
}

// Tenant is a customer with a quota.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all balancers
}

// Limits is what the site permits.
type Limits struct {
	AllowCancel       bool
	AllowHealthChecks bool
	AllowHedging      bool // a second attempt while the first is in flight
	AllowRetryAfter   bool
	MaxRetryAfter     time.Duration // the longest wait that a client honours
	MaxAttempts       int           // of one request
}

// Obligations holds the figures of the rules for draining and slow start that the site sets.
type Obligations struct {
	PollInterval     time.Duration // longest time between two polls of discovery
	SlowStartFrom    float64       // an endpoint starts with at least this fraction of its capacity
	SlowStartWindow  time.Duration // after which it has all of it
	OverloadMultiple float64       // a warming endpoint that gets more than this multiple of its present capacity
	OverloadWindow   time.Duration // for this long fails
	DrainGrace       time.Duration // no attempt at a draining endpoint after this
	AnswerSlack      time.Duration // by which a final answer may be late
}

// WeightKind says what Endpoint.Weight means.
type WeightKind uint8

// The weight kinds.
const (
	WeightNone        WeightKind = iota // always one
	WeightNominal                       // capacity
	WeightApproximate                   // capacity, approximately
	WeightLive                          // capacity less the load of some time ago
)

// ReportSource says how load reports arrive.
type ReportSource uint8

// The sources of load reports.
const (
	ReportNone           ReportSource = iota
	ReportInResponses                 // with responses and health checks
	ReportInHealthChecks              // with health checks only
)

// Settings configures a Balancer.
type Settings struct {
	Zone            string
	Balancers       int // instances in this tier
	Rank            int // of this instance among them, from 0
	Classes         []Class
	Tenants         []Tenant
	OverQuotaFactor float64 // by which the priority of requests over a tenant's quota is lowered
	PriorityByWork  bool    // PriorityWeight counts per unit of work, not per request
	KeyAffinity     bool    // an endpoint serves keys that it has met lately with less work
	Limits          Limits
	Obligations     Obligations
	PollDiscovery   bool // discovery answers only when polled
	Weights         WeightKind
	Reports         ReportSource
	EventSpacing    time.Duration // least time between batches of events
}
