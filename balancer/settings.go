package balancer

import "time"

// Idempotency says whether requests of a class may be executed more than once. A smaller value is safer.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be executed any number of times
	IdempotentByKey                    // endpoints drop duplicates by idempotency key within Class.IdempotencyWindow
	NonIdempotent                      // must never be executed twice
)

// IdempotencyScope says which endpoints share a store of idempotency keys.
type IdempotencyScope uint8

// The idempotency scopes.
const (
	ScopeAll IdempotencyScope = iota
	ScopeZone
	ScopeCell
)

// Class configures a request class.
type Class struct {
	Name               string
	LatencyObjective   time.Duration // a response within it has the full PriorityWeight
	Deadline           time.Duration // how long a client waits in total, with its retries
	Idempotency        Idempotency
	Scope              IdempotencyScope // for IdempotentByKey
	IdempotencyWindow  time.Duration    // for IdempotentByKey: how long duplicates are dropped
	Stream             bool             // responses are streamed
	PriorityWeight     float64
	LatePriorityFactor float64 // fraction of PriorityWeight between LatencyObjective and Deadline
}

// Tenant configures a customer with a quota.
type Tenant struct {
	Name  string
	Quota float64 // requests per second over all balancers
}

// Limits holds what the site permits.
type Limits struct {
	AllowCancel       bool
	AllowHealthChecks bool
	AllowHedging      bool // a second attempt while the first is in flight
	AllowRetryAfter   bool
	MaxRetryAfter     time.Duration // longest Retry-After that clients honour
	MaxAttempts       int           // attempts of one request
}

// Obligations holds the parameters of the site's rules for discovery, slow start, draining and final answers.
type Obligations struct {
	PollInterval     time.Duration // longest time between two polls of discovery
	SlowStartFrom    float64       // minimum fraction of its capacity that an endpoint has when it starts
	SlowStartWindow  time.Duration // time after its start until an endpoint has its full capacity
	OverloadMultiple float64       // multiple of its current capacity above which a warming endpoint is overloaded
	OverloadWindow   time.Duration // duration of an overload after which a warming endpoint fails
	DrainGrace       time.Duration // time after which a draining endpoint must get no attempt
	AnswerSlack      time.Duration // by how much a final answer may miss its deadline
}

// WeightKind says what Endpoint.Weight means.
type WeightKind uint8

// The weight kinds.
const (
	WeightNone        WeightKind = iota // always 1
	WeightNominal                       // capacity
	WeightApproximate                   // approximate capacity
	WeightLive                          // capacity minus load, as of some time ago
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
	Balancers       int // number of balancers in the fleet
	Rank            int // of this balancer, from 0
	Classes         []Class
	Tenants         []Tenant
	OverQuotaFactor float64 // multiplies the priority of requests over a tenant's quota
	PriorityByWork  bool    // PriorityWeight counts per unit of work, not per request
	KeyAffinity     bool    // an endpoint serves recently requested keys with less work
	Limits          Limits
	Obligations     Obligations
	PollDiscovery   bool // discovery must be polled; it does not push changes
	Weights         WeightKind
	Reports         ReportSource
	EventSpacing    time.Duration // minimum time between batches of events
}
