// Package timelimit defines the timeouts of requests, connections, operators' calls and shutdown, the phases of a drain, and
// the arithmetic on them.
//
// Some timeouts are defined elsewhere: the minimum rate of an upload in package proxy (requestbody.go), those of calls to
// discovery in package discovery, of disk writes in package durable, those in the settings (connect timeout, deadlines), and
// those that are derived from latency in package balancer. Intervals of periodic work are next to the code that repeats.
//
// The comment of each constant says what it bounds. A line "Platform:" states the behavior or requirement of the platform
// that the constant is derived from, if there is one.
//
// Points in time are durations on one monotonic clock of the caller, so that changes of the system clock do not affect them.
// The package itself reads no clock.
package timelimit
