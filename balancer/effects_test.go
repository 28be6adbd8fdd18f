package balancer

import (
	"fmt"
	"strings"
	"time"
)

// effectKind identifies a method of Effects in a recorded call. The values must not change, because the hashes in
// testdata/actions.txt include them.
type effectKind string

const (
	sendEffect           effectKind = "send"
	rejectEffect         effectKind = "refuse"
	failEffect           effectKind = "fail"
	cancelEffect         effectKind = "cancel"
	healthCheckEffect    effectKind = "probe"
	closeIdleEffect      effectKind = "disconnect"
	watchEndpointsEffect effectKind = "watch"
	fetchEndpointsEffect effectKind = "fetch"
	setTimerEffect       effectKind = "timer"
	logEffect            effectKind = "log: " // followed by the event
)

// effectCall is a call of a method of Effects. Values that the method does not take are zero.
type effectCall struct {
	kind     effectKind
	id       RequestID
	endpoint EndpointID
	duration time.Duration // timeout, Retry-After or duration of a timer
	number   uint64        // index of an attempt, or token of a timer
}

// String returns the recorded form of the call, which the hashes in testdata/actions.txt include.
func (c effectCall) String() string {
	return fmt.Sprintf("%s id=%d up=%d d=%v n=%d", c.kind, c.id, c.endpoint, c.duration, c.number)
}

// recorder is an implementation of Effects that records the calls.
type recorder struct {
	calls []string
	hook  func(effectCall) // called for each call, if set
}

func (r *recorder) record(call effectCall) {
	r.calls = append(r.calls, call.String())
	if r.hook != nil {
		r.hook(call)
	}
}

func (r *recorder) Send(id RequestID, endpoint EndpointID, timeout time.Duration) {
	r.record(effectCall{kind: sendEffect, id: id, endpoint: endpoint, duration: timeout})
}

func (r *recorder) Reject(id RequestID, retryAfter time.Duration) {
	r.record(effectCall{kind: rejectEffect, id: id, duration: retryAfter})
}

func (r *recorder) Fail(id RequestID) {
	r.record(effectCall{kind: failEffect, id: id})
}

func (r *recorder) Cancel(id RequestID, attempt int) {
	r.record(effectCall{kind: cancelEffect, id: id, number: uint64(attempt)})
}

func (r *recorder) HealthCheck(endpoint EndpointID) {
	r.record(effectCall{kind: healthCheckEffect, endpoint: endpoint})
}

func (r *recorder) CloseIdle(endpoint EndpointID) {
	r.record(effectCall{kind: closeIdleEffect, endpoint: endpoint})
}

func (r *recorder) WatchEndpoints() {
	r.record(effectCall{kind: watchEndpointsEffect})
}

func (r *recorder) UnwatchEndpoints() {
	r.record(effectCall{kind: watchEndpointsEffect})
}

func (r *recorder) FetchEndpoints() {
	r.record(effectCall{kind: fetchEndpointsEffect})
}

func (r *recorder) SetTimer(after time.Duration, token uint64) {
	r.record(effectCall{kind: setTimerEffect, duration: after, number: token})
}

func (r *recorder) Log(event LogEvent) {
	r.record(effectCall{kind: logEffect + effectKind(fmt.Sprintf("%T%+v", event, event))})
}

// count returns how many recorded calls begin with prefix.
func (r *recorder) count(prefix string) int {
	n := 0
	for _, call := range r.calls {
		if strings.HasPrefix(call, prefix) {
			n++
		}
	}
	return n
}

// last returns the last recorded call.
func (r *recorder) last() string { return r.calls[len(r.calls)-1] }

// discardEffects is an implementation of Effects for benchmarks that does nothing.
type discardEffects struct{ Effects }

func (discardEffects) Send(RequestID, EndpointID, time.Duration) {}
func (discardEffects) Reject(RequestID, time.Duration)           {}
func (discardEffects) SetTimer(time.Duration, uint64)            {}
