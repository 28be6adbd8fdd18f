// Package discovery follows the service that lists the upstreams, by its agent on the balancer's machine.
//
// A Watcher makes the calls and queues each answer as an Update for its owner, the event loop of package proxy. The owner
// decides when to watch and when to fetch: a failed call is not retried by the Watcher. The owner checks with IsStale whether
// an answer is out of date, applies the list, and has the next call continue from it.
//
// Each watch and each fetch runs on a goroutine of its own. Such a goroutine ends with its call, when the watch is stopped,
// or when the Watcher's context ends. Everything else belongs to the owner's goroutine.
//
// The package does not know what a list changes: the endpoint table and the decision module are the owner's.
package discovery
