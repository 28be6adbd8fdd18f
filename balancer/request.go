package balancer

import (
	"slices"
	"time"
)

// mayAttempt reports whether r may have a first or further attempt at e. It is the only place that decides this.
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

// mayRepeat reports whether a request of class c may be executed at e although attempt a may have executed it.
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

// mayReject reports whether r may be rejected, which promises the client that a retry is harmless. It is the only place that
// decides this.
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

// attemptTimeout returns the timeout of an attempt of r at e; 0 means the client's timeout. A trial of a request that may be
// repeated gets the response timeout, which leaves time for another attempt. Otherwise waiting has priority over retrying.
func (b *Balancer) attemptTimeout(r *request, e *endpoint) time.Duration {
	if !e.isOnTrial() || r.class.Idempotency == NonIdempotent || r.Upload {
		return 0
	}
	return b.responseTimeout(e, r.workUnits)
}

// OnAttemptResult handles the result of an attempt: the request is finished, retried, queued, rejected or failed.
func (b *Balancer) OnAttemptResult(now time.Duration, result AttemptResult) {
	r, a := b.findAttempt(result.ID, result.Attempt)
	if a == nil || a.ended {
		return
	}
	a.end(result)
	b.observeResult(a, result.sanitized(), now)
	if r.finished || result.RequestClosed || result.Status == OK {
		b.finishRequest(r, result.Attempt)
	} else if r.inFlight == 0 && !r.queued { // otherwise a hedged attempt may succeed, or r is sent from the queue
		b.admit(r, now)
	}
	b.dispatchQueue(now)
}

// observeResult updates the health, latency, limit and utilization of an endpoint after an attempt.
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

// rejectOrFail gives the final answer to a request that can't be served: a rejection if that is allowed, or else a failure.
func (b *Balancer) rejectOrFail(r *request) {
	b.finishRequest(r, noAttempt)
	if b.mayReject(r) {
		b.effects.Reject(r.ID, b.retryAfter())
	} else {
		b.effects.Fail(r.ID)
	}
}
