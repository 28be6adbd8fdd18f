package wire

import (
	"fmt"

	"sprucehill/balancer"
)

// eventParsers maps the name of each event message to the function that sets the kind and fields of an Event from the
// fields of the current line. The instance, which every event has, is parsed by parseMessage.
var eventParsers = map[string]func(*Reader, *Event){
	messageAttach:             (*Reader).parseAttach,
	messageExit:               (*Reader).parseExit,
	messageEndpointUpdate:     (*Reader).parseEndpointUpdate,
	messageRequest:            (*Reader).parseRequest,
	messageStreamStarted:      (*Reader).parseStreamStarted,
	messageAttemptResult:      (*Reader).parseAttemptResult,
	messageClientDisconnected: (*Reader).parseClientDisconnected,
	messageTimer:              (*Reader).parseTimer,
	messageHealthCheckResult:  (*Reader).parseHealthCheckResult,
	messageInbox:              (*Reader).parseInbox,
}

func (r *Reader) parseAttach(e *Event) {
	e.Kind = KindAttach
	e.Seed = r.fields.requiredUint(fieldSeed, 64)
	e.Settings = r.fields.settings(fieldSettings)
}

func (r *Reader) parseExit(e *Event) { e.Kind = KindExit }

func (r *Reader) parseEndpointUpdate(e *Event) {
	e.Kind = KindEndpointUpdate
	e.Mode = r.fields.updateMode(fieldUpdateMode)
	if e.Mode != balancer.UpdateFailed {
		e.Endpoints = r.referencedList()
	}
}

// referencedList returns the endpoints of the numbered list that the current line refers to.
func (r *Reader) referencedList() []balancer.Endpoint {
	number := r.fields.requiredUint(fieldListNumber, 31)
	if number >= maxLists || !r.lists[number].defined {
		r.fields.fail(fieldListNumber, fmt.Sprintf("endpoint list %d is not defined", number))
		return nil
	}
	return r.lists[number].endpoints
}

func (r *Reader) parseRequest(e *Event) {
	f := &r.fields
	e.Kind = KindRequest
	e.Request = balancer.Request{
		ID:       f.requestID(),
		Timeout:  f.requiredDuration(fieldRequestTimeout),
		Class:    r.intern(f.required(fieldClass)),
		Tenant:   r.intern(f.optional(fieldTenant)),
		Key:      f.optionalHex(fieldKey),
		HasKey:   f.has(fieldKey),
		Retry:    f.flag(fieldRetry),
		CostHint: f.optionalDuration(fieldCostHint),
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
	e.Result.Status = f.status(fieldStatus)
	e.Result.RequestClosed = f.flag(fieldRequestClosed)
	e.Result.Load = f.loadReport(fieldLoadReport)
}

func (r *Reader) parseClientDisconnected(e *Event) {
	e.Kind = KindClientDisconnected
	e.Request.ID = r.fields.requestID()
}

func (r *Reader) parseTimer(e *Event) {
	e.Kind = KindTimer
	e.TimerToken = r.fields.requiredUint(fieldTimerToken, 63)
}

func (r *Reader) parseHealthCheckResult(e *Event) {
	f := &r.fields
	e.Kind = KindHealthCheckResult
	e.HealthCheck = balancer.HealthCheckResult{
		Endpoint: balancer.EndpointID(f.requiredUint(fieldEndpoint, 32)),
		Latency:  f.requiredDuration(fieldLatency),
		Status:   f.status(fieldStatus),
		Load:     f.loadReport(fieldLoadReport),
	}
}

func (r *Reader) parseInbox(e *Event) {
	e.Kind = KindInbox
	r.fields.requiredUint(fieldSender, 31)
}

// requestID parses the ID of a request.
func (f *fields) requestID() balancer.RequestID {
	return balancer.RequestID(f.requiredHex(fieldRequestID))
}

// attempt parses the fields that identify an attempt, and its latency.
func (f *fields) attempt() balancer.AttemptResult {
	return balancer.AttemptResult{
		ID:       f.requestID(),
		Endpoint: balancer.EndpointID(f.requiredUint(fieldEndpoint, 32)),
		Attempt:  int(f.requiredUint(fieldAttempt, 31)),
		Latency:  f.requiredDuration(fieldLatency),
	}
}
