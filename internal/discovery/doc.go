// Package discovery is the client of the service that lists the upstreams. It calls the service's agent on the balancer's
// machine.
//
// A Watcher makes the calls and queues each response as an Update for its owner, the event loop of package proxy. The owner
// decides when to watch and when to fetch; the Watcher does not retry a failed call. The owner checks with IsStale whether
// a response is out of date, applies its list, and has the next call wait for a newer one.
//
// Each watch and each fetch runs on its own goroutine, which ends after a failed call or a fetch, when the watch is
// stopped, or when the Watcher's context ends. Everything else runs on the owner's goroutine.
//
// Applying a list is up to the owner, which has the endpoint table and the decision module.
package discovery
