package balancer

import (
	"slices"
	"time"
)

const (
	timeoutDeviations    = 5.0 // mean deviations above the mean latency within which an endpoint must respond
	backoffGrowthFactor  = 2   // growth of the backoff of trials, failed connections and discovery calls
	errorSmoothingFactor = 0.2 // weight of a new result in the moving average of errors
)

// responseTimeout returns the time without a response after which an endpoint counts as unresponsive. The fleet's mean
// latency gives a lower bound, because the mean of an endpoint with few responses is not reliable.
func (b *Balancer) responseTimeout(e *endpoint, workUnits float64) time.Duration {
	expected := max(e.latency.mean+timeoutDeviations*e.latency.deviation, (1+timeoutDeviations/2)*b.means.latency)
	return time.Duration(expected*max(1, workUnits)) + b.tick
}

// detectUnresponsive ejects an endpoint with attempts in flight that has not responded within its response timeout.
func (b *Balancer) detectUnresponsive(e *endpoint, now time.Duration) {
	oldest := e.oldestAttempt()
	if e.outlier.unresponsive || oldest == nil {
		return
	}
	workUnits := oldest.request.workUnits
	if e.waitingTime(oldest, now) > b.responseTimeout(e, workUnits) {
		b.markUnresponsive(e, workUnits, now)
	}
}

// markUnresponsive ejects an endpoint until it responds. Meanwhile it gets one trial at a time. The first one is due after
// the response timeout of a request with workUnits.
func (b *Balancer) markUnresponsive(e *endpoint, workUnits float64, now time.Duration) {
	b.log.add(now, EndpointUnresponsive{Endpoint: e.ID, WaitingTime: e.waitingTime(e.oldestAttempt(), now)})
	e.outlier.unresponsive = true
	e.outlier.backoff = b.responseTimeout(e, workUnits)
	e.outlier.nextTrialAt = now + e.outlier.backoff
	b.hedgeOrCancelAttempts(e, now)
}

// hedgeOrCancelAttempts hedges requests whose only attempt is in flight at an unresponsive endpoint, if they may be executed
// twice. Where hedging is not allowed the attempt is cancelled instead.
func (b *Balancer) hedgeOrCancelAttempts(e *endpoint, now time.Duration) {
	for _, a := range slices.Clone(e.attempts) {
		r := a.request
		if r.class.Idempotency == NonIdempotent || r.Upload || r.finished || r.inFlight > 1 {
			continue
		}
		other, _ := b.takeTurn(r, now)
		if other != nil {
			b.startAttempt(r, other, now)
		} else if !b.settings.Limits.AllowHedging && b.settings.Limits.AllowCancel {
			b.effects.Cancel(r.ID, slices.Index(r.attempts, a))
		}
	}
}

// recordTrial schedules the next trial if the attempt is a trial of an ejected zone or endpoint.
func (a *attempt) recordTrial() {
	e := a.endpoint
	if e.zone.health.ejected {
		e.zone.beginTrial(a)
	} else if e.outlier.unresponsive {
		e.outlier.nextTrialAt = a.sentAt + e.outlier.backoff
		e.outlier.backoff *= backoffGrowthFactor
	}
}

// allowsTrial reports whether r may be a trial of an unresponsive endpoint. Requests with the safest kind of idempotency are
// allowed first, others one backoff later.
func (b *Balancer) allowsTrial(e *endpoint, r *request, now time.Duration) bool {
	if r.class.Idempotency == b.clients.safestIdempotency {
		return now >= e.outlier.nextTrialAt
	}
	return now >= e.outlier.nextTrialAt+e.outlier.backoff
}

// backOff pauses an endpoint after a failed or lost connection: it is down, or its connection table is full. Failures during
// the backoff do not extend it, so that attempts that fail together count once.
func (b *Balancer) backOff(e *endpoint, now time.Duration) {
	if now < e.outlier.unreachableUntil {
		return
	}
	e.outlier.unreachableUntil = now + e.outlier.backoff
	e.outlier.backoff = min(e.outlier.backoff*backoffGrowthFactor, b.settings.Obligations.SlowStartWindow)
}

// observeHealth updates the health evidence of an endpoint and its zone after an attempt.
func (b *Balancer) observeHealth(e *endpoint, status Status, now time.Duration) {
	e.zone.observeTrial(status)
	if status.isFailure() {
		e.outlier.errorRate += errorSmoothingFactor * (1 - e.outlier.errorRate)
		e.outlier.failedAt = now
	}
	if status == OK {
		e.outlier.errorRate -= errorSmoothingFactor * e.outlier.errorRate
		e.zone.health.succeededAt = now
	}
	if status.isResponse() {
		b.markResponsive(e, now)
	}
	if status == ConnectFailed || status == Reset {
		b.backOff(e, now)
	}
}
