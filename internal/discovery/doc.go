// Package discovery is the client of the service that lists the upstreams. It calls the service's agent on the balancer's
// machine.
//
// A Watcher makes the calls and queues each response as an Update for its owner, the event loop of package proxy. The owner
// decides when to watch and when to fetch; the Watcher does not retry a failed call. The owner passes each Update to Handle, which
// decides whether a response is out of date, has the owner apply its list, and makes the next call wait for a newer one.
//
// A call that has not been answered in time is reported like a failed one, but goes on: its response may be slow. The owner may have
// another call made beside it, since the response may never come. What either of them returns is applied.
//
// Each watch and each call runs on its own goroutine. A call's ends with its response, its failure or its time limit, a watch's when
// it is stopped, and both when the Watcher's context ends. Everything else runs on the owner's goroutine.
//
// Applying a list is up to the owner, which has the endpoint table and the decision module.
package discovery
