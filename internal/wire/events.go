package wire

import (
	"sprucehill/balancer"
)

// eventParsers has, by the name of each message that is an event, what sets the event's kind and fields from those of
// the current line. The instance is common to all and not theirs to parse.
var eventParsers = map[string]func(*Reader, *Event){
	"attach":      (*Reader).parseAttach,
	"exit":        (*Reader).parseExit,
	"endpoints":   (*Reader).parseEndpointUpdate,
	"inbound":     (*Reader).parseRequest,
	"established": (*Reader).parseStreamStarted,
	"verdict":     (*Reader).parseAttemptResult,
	"lapsed":      (*Reader).parseClientDisconnected,
	"elapsed":     (*Reader).parseTimer,
	"health":      (*Reader).parseHealthCheckResult,
	"inbox":       (*Reader).parseInbox,
}

func (r *Reader) parseAttach(e *Event) {
	e.Kind = KindAttach
	e.Seed = r.fields.requiredUint("random_seed", 64)
	e.Settings = r.fields.settings("params")
}

func (r *Reader) parseExit(e *Event) { e.Kind = KindExit }

func (r *Reader) parseEndpointUpdate(e *Event) {
	e.Kind = KindEndpointUpdate
	e.Mode = r.fields.updateMode("mode")
	if e.Mode != balancer.UpdateFailed {
		e.Endpoints = r.referencedList()
	}
}

// referencedList returns the numbered list that the current line refers to.
func (r *Reader) referencedList() []balancer.Endpoint {
	number := r.fields.requiredUint("bank", 31)
	if number >= maxLists || !r.lists[number].defined {
		r.fields.fail("bank", "no such list")
		return nil
	}
	return r.lists[number].endpoints
}

func (r *Reader) parseRequest(e *Event) {
	f := &r.fields
	e.Kind = KindRequest
	e.Request = balancer.Request{
		ID:       f.requestID(),
		Timeout:  f.requiredDuration("budget_us"),
		Class:    r.intern(f.required("class")),
		Tenant:   r.intern(f.optional("org")),
		Key:      f.optionalHex("key"),
		HasKey:   f.has("key"),
		Retry:    f.flag("retry"),
		CostHint: f.optionalDuration("cost_guess_us"),
	}
}

func (r *Reader) parseStreamStarted(e *Event) {
	e.Kind = KindStreamStarted
	e.Result = r.fields.attempt()
}

func (r *Reader) parseAttemptResult(e *Event) {
	f := &r.fields
	e.Kind = KindAttemptResult
	e.Result = f.attempt()
	e.Result.Status = f.status("disposition")
	e.Result.RequestClosed = f.flag("over")
	e.Result.Load = f.loadReport("metrics")
}

func (r *Reader) parseClientDisconnected(e *Event) {
	e.Kind = KindClientDisconnected
	e.Request.ID = r.fields.requestID()
}

func (r *Reader) parseTimer(e *Event) {
	e.Kind = KindTimer
	e.TimerToken = r.fields.requiredUint("ctx", 63)
}

func (r *Reader) parseHealthCheckResult(e *Event) {
	f := &r.fields
	e.Kind = KindHealthCheckResult
	e.HealthCheck = balancer.HealthCheckResult{
		Endpoint: balancer.EndpointID(f.requiredUint("upstream", 32)),
		Latency:  f.requiredDuration("cost_time_us"),
		Status:   f.status("disposition"),
		Load:     f.loadReport("metrics"),
	}
}

func (r *Reader) parseInbox(e *Event) {
	e.Kind = KindInbox
	r.fields.requiredUint("author", 31)
}

// requestID parses a request's identifier.
func (f *fields) requestID() balancer.RequestID { return balancer.RequestID(f.requiredHex("id")) }

// attempt parses the fields that identify an attempt, and how long it has taken.
func (f *fields) attempt() balancer.AttemptResult {
	return balancer.AttemptResult{
		ID:       f.requestID(),
		Endpoint: balancer.EndpointID(f.requiredUint("upstream", 32)),
		Attempt:  int(f.requiredUint("go", 31)),
		Latency:  f.requiredDuration("cost_time_us"),
	}
}

// updateMode parses how an endpoint list relates to the one before it.
func (f *fields) updateMode(name string) balancer.UpdateMode {
	switch string(f.required(name)) {
	case "D":
		return balancer.UpdateDelta
	case "F":
		return balancer.UpdateComplete
	case "C":
		return balancer.UpdateCached
	case "X":
		return balancer.UpdateFailed
	}
	f.fail(name, "unknown list mode")
	return 0
}

// endpointState parses the state of an endpoint.
func (f *fields) endpointState(name string) balancer.EndpointState {
	switch string(f.required(name)) {
	case "active":
		return balancer.Active
	case "leaving":
		return balancer.Draining
	case "left":
		return balancer.Removed
	}
	f.fail(name, "unknown state")
	return 0
}
