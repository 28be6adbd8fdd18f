package balancer

import (
	"slices"
	"time"
)

// mayAttempt reports whether r may have an attempt, first or retry, at e. No other code of this package decides this.
func (b *Balancer) mayAttempt(r *request, e *endpoint, now time.Duration) bool {
	if r.finished || now >= r.deadline || e.State != Active {
		return false
	}
	if len(r.attempts) >= b.settings.Limits.MaxAttempts {
		return false
	}
	if r.inFlight > 0 && (r.Upload || !b.settings.Limits.AllowHedging) {
		return false
	}
	if r.Upload && r.bodyConsumed {
		return false
	}
	for _, a := range r.attempts {
		if !a.notExecuted && !b.mayRepeat(r.class, a, e, now) {
			return false
		}
	}
	return true
}

// mayRepeat reports whether a request that an attempt may have executed may be executed again at e.
func (b *Balancer) mayRepeat(c *class, a *attempt, e *endpoint, now time.Duration) bool {
	switch c.Idempotency {
	case NonIdempotent:
		return false
	case IdempotentByKey:
		inWindow := now-a.sentAt < c.IdempotencyWindow-b.tick
		otherZone := c.Scope == ScopeZone && a.endpoint.Zone != e.Zone
		otherCell := c.Scope == ScopeCell && a.endpoint.Cell != e.Cell
		return inWindow && !otherZone && !otherCell
	}
	return true
}

// mayReject reports whether a rejection, which promises that a retry is harmless, may be the answer. No other code of this
// package decides this.
func (b *Balancer) mayReject(r *request) bool {
	if r.class.Idempotency == Idempotent {
		return true
	}
	if r.class.Idempotency == IdempotentByKey && r.class.Scope == ScopeAll {
		return true
	}
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.notExecuted })
}

// startAttempt sends r to e.
func (b *Balancer) startAttempt(r *request, e *endpoint, now time.Duration) {
	a := &attempt{request: r, endpoint: e, sentAt: now, uploading: r.Upload}
	timeout := b.attemptTimeout(r, e)
	a.recordTrial()
	b.chargeSlowStart(e, r.workUnits, now)
	b.recordAttempt(a)
	b.effects.Send(r.ID, e.ID, timeout)
}

// attemptTimeout is the timeout of an attempt of r at e; 0: the client's. A trial that may be repeated gets the response
// timeout, which leaves time for another attempt. Otherwise a response in progress has priority over a new attempt.
func (b *Balancer) attemptTimeout(r *request, e *endpoint) time.Duration {
	if !e.isOnTrial() || r.class.Idempotency == NonIdempotent || r.Upload {
		return 0
	}
	return b.responseTimeout(e, r.workUnits)
}

// OnAttemptResult handles the end of an attempt: the request is answered, retried or given up.
func (b *Balancer) OnAttemptResult(now time.Duration, result AttemptResult) {
	r, a := b.findAttempt(result.ID, result.Attempt)
	if a == nil || a.ended {
		return
	}
	a.end(result)
	b.observeResult(a, result.clean(), now)
	if r.finished || result.RequestClosed || result.Status == OK {
		b.finishRequest(r, result.Attempt)
	} else if r.inFlight == 0 && !r.queued { // else a hedged attempt may still answer, or its turn may come
		b.admit(r, now)
	}
	b.dispatchQueue(now)
}

// observeResult updates what is known of an endpoint by a result.
func (b *Balancer) observeResult(a *attempt, result AttemptResult, now time.Duration) {
	b.observeHealth(a.endpoint, result.Status, now)
	if result.Status == OK {
		b.observeLatency(a, result.Latency)
	}
	b.adjustLimit(a, result.Status, now)
	b.pauseAfter(a, now)
	if b.settings.Reports != ReportInHealthChecks {
		b.recordUtilization(a.endpoint, result.Load, a.objectiveShare(result), now)
	}
}

// rejectOrFail gives the final answer to a request that can't be served: a rejection if that is allowed, else a failure.
func (b *Balancer) rejectOrFail(r *request) {
	b.finishRequest(r, noAttempt)
	if b.mayReject(r) {
		b.effects.Reject(r.ID, b.retryAfter())
	} else {
		b.effects.Fail(r.ID)
	}
}
