// Package proxy is the network side of the balancer around the decision module: clients, upstreams and the event loop. It
// decides nothing; what is forwarded where, retried or rejected is decided by package balancer.
//
// Three kinds of goroutines share the work. The event loop (loop) owns the decision module, all requests and all idle
// upstream connections, and never waits for the network. The frontend owns the client connections: it parses requests,
// posts them to the loop and writes the responses. Each attempt at an upstream runs in a goroutine of its own (dialer) and
// owns its connection until the loop has its result. The endpoint list comes from package discovery, client connections from
// package framing, and what outlives the process is saved by package savedstate.
//
// The package promises that an attempt is written to the wire at most once, that every accepted request gets at most one
// response, and that a request whose end on the wire is in doubt is never forwarded. It does not retry by itself.
//
// The package logs to the default logger of package slog, also on the event loop: a handler that waits delays the balancer.
package proxy
