package balancer

import (
	"slices"
	"time"
)

// class is a request class with its statistics.
type class struct {
	Class
	latency        float64       // moving average of the response latency, ns
	longestTimeout time.Duration // longest timeout of any request so far
}

// attempt is one attempt of a request at an endpoint.
type attempt struct {
	request     *request
	endpoint    *endpoint
	sentAt      time.Duration
	ended       bool
	notExecuted bool // its result proves that the request was not executed
	uploading   bool // the request body is not yet completely sent
}

// request is a client request with its attempts. It stays in Balancer.requests until it has its final answer and no attempt
// is in flight.
type request struct {
	Request
	class        *class
	priority     float64       // see Balancer.priority
	workUnits    float64       // expected work, in mean requests
	attemptBy    time.Duration // an attempt started later would miss the latency objective
	deadline     time.Duration
	attempts     []*attempt
	inFlight     int
	finished     bool // it needs no answer any more
	queued       bool
	bodyConsumed bool // part of an upload body can't be sent again
}

// attempt returns the attempt at index, or nil if there is none.
func (r *request) attempt(index int) *attempt {
	if index < 0 || index >= len(r.attempts) {
		return nil
	}
	return r.attempts[index]
}

// findAttempt returns the request with an id and its attempt at index, or nil for both if either is unknown.
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

// end marks an attempt as ended and updates its request and endpoint.
func (a *attempt) end(result AttemptResult) {
	a.ended = true
	a.notExecuted = result.Status.provesNotExecuted()
	a.request.inFlight--
	a.request.bodyConsumed = a.request.bodyConsumed || result.BodyConsumed
	a.endpoint.attempts = slices.DeleteFunc(a.endpoint.attempts, func(other *attempt) bool { return other == a })
}

// OnClientDisconnected finishes a request whose client has disconnected.
func (b *Balancer) OnClientDisconnected(_ time.Duration, id RequestID) {
	r := b.requests[id]
	if r != nil && !r.finished {
		b.finishRequest(r, noAttempt)
	}
}

// OnBodyReceived starts the timeout of an upload. It may still be queued, or its body may still be forwarded.
func (b *Balancer) OnBodyReceived(now time.Duration, id RequestID, timeout time.Duration) {
	r := b.requests[id]
	if r == nil || r.finished {
		return
	}
	r.deadline = min(r.deadline, now+timeout)
	r.attemptBy = min(r.attemptBy, r.deadline-b.tick)
}

// OnBodySent records that an upload has been forwarded completely: its execution begins, and its timeout unless it runs
// already.
func (b *Balancer) OnBodySent(now time.Duration, id RequestID, index int) {
	r, a := b.findAttempt(id, index)
	if a == nil || !a.uploading {
		return
	}
	a.uploading = false
	a.sentAt = now
	r.bodyConsumed = true
	r.deadline = min(r.deadline, now+r.Timeout)
}

// OnStreamStarted finishes a request whose streamed response has begun.
func (b *Balancer) OnStreamStarted(now time.Duration, id RequestID, index int) {
	r, a := b.findAttempt(id, index)
	if a == nil || r.finished {
		return
	}
	b.markResponsive(a.endpoint, now)
	b.finishRequest(r, index)
}

// recordAttempt registers a started attempt with its request and endpoint.
func (b *Balancer) recordAttempt(a *attempt) {
	r, e := a.request, a.endpoint
	r.attempts = append(r.attempts, a)
	r.inFlight++
	r.queued = false
	e.attempts = append(e.attempts, a)
	e.work.period += r.workUnits
	e.zone.attemptCount++
	b.blocking.lastAttemptAt = a.sentAt
}

// finishRequest marks r as finished and cancels its attempts other than answeredBy, which is an index or noAttempt.
func (b *Balancer) finishRequest(r *request, answeredBy int) {
	for i, a := range r.attempts {
		if i != answeredBy && !a.ended && !r.finished && b.settings.Limits.AllowCancel {
			b.effects.Cancel(r.ID, i)
		}
	}
	r.finished = true
	if r.inFlight == 0 {
		delete(b.requests, r.ID)
	}
}
