package balancer

import (
	"slices"
	"time"
)

// class is one kind of request.
type class struct {
	Class
	latency        float64       // running mean of its responses' latency, ns
	longestTimeout time.Duration // the longest that a request of the class came with
}

// attempt is one attempt of a request at an endpoint.
type attempt struct {
	request     *request
	endpoint    *endpoint
	sentAt      time.Duration
	ended       bool
	notExecuted bool // its end proves that the request was not executed
	uploading   bool // the last byte of its body is still to come
}

// request is a client's request with its attempts. Balancer.requests has it until it has its final answer and no attempt is
// in flight.
type request struct {
	Request
	class        *class
	priority     float64       // for a unit of work
	workUnits    float64       // expected work, in mean requests
	attemptBy    time.Duration // an attempt that starts later would miss the latency objective
	deadline     time.Duration
	attempts     []*attempt
	inFlight     int
	finished     bool // it has its final answer
	queued       bool
	bodyConsumed bool // part of an upload's body is gone
}

// attempt returns an attempt by its index, or nil.
func (r *request) attempt(index int) *attempt {
	if index < 0 || index >= len(r.attempts) {
		return nil
	}
	return r.attempts[index]
}

// findAttempt returns a request that is not yet dropped and its attempt by its index, or nil for both.
func (b *Balancer) findAttempt(id RequestID, index int) (*request, *attempt) {
	r := b.requests[id]
	if r == nil {
		return nil, nil
	}
	a := r.attempt(index)
	if a == nil {
		return nil, nil
	}
	return r, a
}

// end records how an attempt ended, with its request and at its endpoint.
func (a *attempt) end(result AttemptResult) {
	a.ended = true
	a.notExecuted = result.Status.provesNotExecuted()
	a.request.inFlight--
	a.request.bodyConsumed = a.request.bodyConsumed || result.BodyConsumed
	a.endpoint.attempts = slices.DeleteFunc(a.endpoint.attempts, func(other *attempt) bool { return other == a })
}

// OnClientDisconnected drops a request whose client has left.
func (b *Balancer) OnClientDisconnected(_ time.Duration, id RequestID) {
	r := b.requests[id]
	if r != nil && !r.finished {
		b.finishRequest(r, noAttempt)
	}
}

// OnBodySent records that an upload has been forwarded completely: its endpoint starts to execute it now.
func (b *Balancer) OnBodySent(now time.Duration, id RequestID, index int) {
	r, a := b.findAttempt(id, index)
	if a == nil || !a.uploading {
		return
	}
	a.uploading = false
	a.sentAt = now
	r.bodyConsumed = true
	r.deadline = now + r.Timeout
}

// OnStreamStarted marks a request as served by a streamed response that has begun.
func (b *Balancer) OnStreamStarted(now time.Duration, id RequestID, index int) {
	r, a := b.findAttempt(id, index)
	if a == nil || r.finished {
		return
	}
	b.markResponsive(a.endpoint, now)
	b.finishRequest(r, index)
}

// recordAttempt enters an attempt that begins, with its request and at its endpoint.
func (b *Balancer) recordAttempt(a *attempt) {
	r, e := a.request, a.endpoint
	r.attempts = append(r.attempts, a)
	r.inFlight++
	r.queued = false
	e.attempts = append(e.attempts, a)
	e.work.period += r.workUnits
	e.zone.attempts++
	b.blocking.lastAttemptAt = a.sentAt
}

// finishRequest records that r has its final answer, from the attempt of an index or noAttempt, and cancels its other
// attempts.
func (b *Balancer) finishRequest(r *request, answered int) {
	for i, a := range r.attempts {
		if i != answered && !a.ended && !r.finished && b.settings.Limits.AllowCancel {
			b.effects.Cancel(r.ID, i)
		}
	}
	r.finished = true
	if r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}
