package wire

import (
	"strconv"

	"sprucehill/balancer"
)

// updateModes has the ways in which an endpoint list relates to the one before it.
var updateModes = map[string]balancer.UpdateMode{
	"D": balancer.UpdateDelta,
	"F": balancer.UpdateComplete,
	"C": balancer.UpdateCached,
	"X": balancer.UpdateFailed,
}

// endpointStates has the states of an endpoint.
var endpointStates = map[string]balancer.EndpointState{
	"active":  balancer.Active,
	"leaving": balancer.Draining,
	"left":    balancer.Removed,
}

// statuses has the statuses of attempts and health checks by their codes.
var statuses = map[uint64]balancer.Status{
	0:   balancer.OK,
	255: balancer.Error,
	254: balancer.Rejected,
	253: balancer.Timeout,
	252: balancer.ConnectFailed,
	251: balancer.Reset,
	250: balancer.Cancelled,
	249: balancer.NotSent,
}

// updateMode parses how an endpoint list relates to the one before it.
func (f *fields) updateMode(name string) balancer.UpdateMode {
	return parseWord(f, name, updateModes, "unknown list mode")
}

// endpointState parses the state of an endpoint.
func (f *fields) endpointState(name string) balancer.EndpointState {
	return parseWord(f, name, endpointStates, "unknown state")
}

// parseWord returns the value of a field that is one of a few words, and records the reason as an error if it is none.
func parseWord[T any](f *fields, name string, values map[string]T, reason string) T {
	value, known := values[string(f.required(name))]
	if !known {
		f.fail(name, reason)
	}
	return value
}

// status parses the status of an attempt or a health check.
func (f *fields) status(name string) balancer.Status {
	code := f.requiredUint(name, 31)
	status, known := statuses[code]
	if !known {
		f.fail(name, "unknown status "+strconv.FormatUint(code, 10))
	}
	return status
}
