// Package balancer decides for one load balancer in front of a fleet of HTTP servers: which endpoint gets a request,
// whether a request is retried, queued, rejected or failed, and how changes of the endpoint list are followed. It
// does no I/O.
//
// # Contract
//
// One Balancer is one balancer process. Its owner calls a method of Events for each event, from one goroutine at a
// time, with now on any monotonic origin and never going back. The Balancer acts by calling its Effects during that
// call, never outside it. It reads no clock, starts no goroutine and shares no state with other Balancers. The same
// events with the same seed give the same effects.
//
// Events of one request arrive in order: OnRequest first, then one OnAttemptResult for each Send, and at most one
// OnClientDisconnected. A result may follow the request's final answer. Unknown ids are ignored. Memory is bounded by
// what the owner has open: requests, attempts and listed endpoints.
//
// Every request gets exactly one final answer: a successful result, Reject or Fail. Reject promises the client that a
// retry is harmless.
//
// # How it decides
//
// Each concern has a file of its own. Files that decide, with every rule, threshold and constant, are listed as
// `policy` in deploy/balancer.toml; the others hold types, bookkeeping and the dispatch of events.
//
//   - request.go: which attempts a request may have, retries, the one final answer
//   - admission.go: priorities, the queue, load shedding, Retry-After
//   - picker.go: an even interleave of endpoints by traffic share
//   - bands.go: Bollinger bands of each endpoint's utilization. A wide band over a period, set against the median of
//     the fleet, cuts the endpoint's traffic share
//   - limit.go: an adaptive concurrency limit for each endpoint, from its latency, utilization and rejections
//   - slowstart.go: what an endpoint that has just started may get from all balancers together
//   - outlier.go: unresponsive and unreachable endpoints, and the half-open trials that bring them back
//   - subset.go: the part of a large fleet that this balancer uses. Where balancers are many each endpoint serves some
//     of them, or its connections run out and no balancer sees enough of it
//   - discovery.go: endpoint list updates
//   - locality.go: how much traffic stays in the balancer's own zone and region. Shares stay what the bands make them;
//     a weight on them prefers the own zone, then the region, while their utilization is not over the fleet's, and
//     lets traffic spill over by degrees as it is
//   - zonehealth.go: a zone is healthy, degraded (half of its endpoints unhealthy: half of its share), ejected (most
//     of them: trials only) or recovering (its share grows by steps). Only its own endpoints' silence, failed
//     connections and errors speak against it, and only where the rest is far less unhealthy: else the fault may be
//     this balancer's own link, or everybody's
//   - restore.go: how far a snapshot from before a restart is trusted
package balancer
