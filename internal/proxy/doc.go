// Package proxy implements the network side of the balancer: client connections, upstream connections and the event loop.
// It makes no decisions: package balancer, the decision module, decides where a request is forwarded and whether it is
// retried or rejected.
//
// There are three kinds of goroutines. The event loop (loop) owns the decision module, all requests and all idle upstream
// connections, and never waits for the network. The frontend owns the client connections: it parses requests, posts them
// to the loop and writes the responses. Each attempt runs on a goroutine of its own (dialer) and owns its connection until
// the loop has received its result. Package discovery provides the endpoint list, package framing the client connections,
// and package savedstate saves the state that outlives the process.
//
// The package guarantees that an attempt is written to the wire at most once, that every accepted request gets at most one
// response, and that a request whose end on the wire is ambiguous is never forwarded. It does not retry by itself.
//
// The package logs to the default logger of package slog, also from the event loop: a handler that blocks delays all
// requests.
package proxy
