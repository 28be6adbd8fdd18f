package wire

import (
	"fmt"
	"strconv"

	"sprucehill/balancer"
)

// updateModes maps the codes of the update modes, which say how an endpoint list relates to the one before it.
var updateModes = map[string]balancer.UpdateMode{
	"D": balancer.UpdateDelta,
	"F": balancer.UpdateComplete,
	"C": balancer.UpdateCached,
	"X": balancer.UpdateFailed,
}

// endpointStates maps the names of the endpoint states.
var endpointStates = map[string]balancer.EndpointState{
	"active":  balancer.Active,
	"leaving": balancer.Draining,
	"left":    balancer.Removed,
}

// statuses maps the status codes of attempts and health checks.
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

// updateMode parses an update mode.
func (f *fields) updateMode(name string) balancer.UpdateMode {
	return parseEnum(f, name, updateModes, "update mode")
}

// endpointState parses the state of an endpoint.
func (f *fields) endpointState(name string) balancer.EndpointState {
	return parseEnum(f, name, endpointStates, "endpoint state")
}

// parseEnum returns the value of a field whose text is a key of values. Any other text is recorded as an error, in which
// kind says what the field holds.
func parseEnum[T any](f *fields, name string, values map[string]T, kind string) T {
	text := f.required(name)
	value, known := values[string(text)]
	if !known {
		f.fail(name, fmt.Sprintf("unknown %s %q", kind, text))
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
