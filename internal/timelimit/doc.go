// Package timelimit has the limits of time after which the balancer gives up a request, a connection, a call or a shutdown, the
// spans of a drain, and the arithmetic on them.
//
// Not here are the pace of an upload (package proxy, requestbody.go), calls to discovery (package discovery), waits for the disk
// (package durable), the limits of the settings (connect timeout, deadlines) and those that follow from latency (package balancer).
//
// The comment of each constant says what the span bounds, and in a line "Term:" which term of the platform it serves, if there
// is one. Intervals at which something is repeated are no limits; they are next to the code that repeats.
//
// Moments are durations on one monotonic clock, which is the caller's. A change of the system's clock moves none of them. The
// package reads no clock itself.
package timelimit
