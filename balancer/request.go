package balancer

import (
	"slices"
	"time"
)

// mayAttempt reports whether r may have an attempt, first or retry, at e. No other code decides this.
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

// mayReject reports whether the client may be told that a retry is harmless. No other code decides this.
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
	onTrial := e.zone.health.ejected || e.outlier.unresponsive
	if e.zone.health.ejected {
		e.zone.beginTrial(a)
	} else if e.outlier.unresponsive {
		e.beginTrial(now)
	}
	timeout := time.Duration(0) // none: a response in progress is worth more than a new attempt
	if onTrial && r.class.Idempotency != NonIdempotent && !r.Upload {
		timeout = b.responseTimeout(e, r.workUnits) // leaves time for another attempt
	}
	if b.fleet.workPerWeight == 0 {
		e.slowStart.budget.At = now
	}
	e.slowStart.budget.Add(max(1, r.workUnits))
	b.recordAttempt(a)
	b.effects.Send(r.ID, e.ID, timeout)
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
	e := a.endpoint
	e.zone.observeResult(result.Status)
	e.observeErrors(result.Status, now)
	if result.Status == OK || result.Status == Error || result.Status == Rejected {
		b.markResponsive(e, now)
	}
	switch result.Status {
	case OK:
		b.observeLatency(a, result.Latency)
		b.adjustLimit(a, now)
	case Rejected:
		b.reduceLimit(e, now, rejectionReductionFactor)
	case Timeout: // with headroom left the response was lost, not delayed by load
		if !e.hasHeadroom() {
			b.reduceLimit(e, now, rejectionReductionFactor)
		}
	case ConnectFailed, Reset:
		b.backOff(e, now)
	}
	b.pauseAfter(a, now)
	if b.settings.Reports == ReportInHealthChecks {
		return
	}
	objectiveShare := 0.0
	if result.Status == OK {
		objectiveShare = float64(result.Latency) / float64(a.request.class.LatencyObjective)
	}
	b.recordUtilization(e, result.Load, objectiveShare, now)
}

// rejectOrFail gives the final answer to a request that can't be served.
func (b *Balancer) rejectOrFail(r *request) {
	b.finishRequest(r, noAttempt)
	if b.mayReject(r) {
		b.effects.Reject(r.ID, b.retryAfter())
	} else {
		b.effects.Fail(r.ID)
	}
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
