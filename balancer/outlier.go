package balancer

import (
	"slices"
	"time"
)

const (
	timeoutDeviations    = 5.0 // mean deviations over its mean latency that an endpoint may take to respond
	backoffGrowthFactor  = 2   // growth of the backoff of trials, failed connections and discovery calls
	errorSmoothingFactor = 0.2 // weight ratio of a new result in the running mean of errors
)

// responseTimeout is how long an endpoint may give no response before it counts as unresponsive. The fleet's latency
// bounds it from below: one quick response is no measure.
func (b *Balancer) responseTimeout(e *endpoint, workUnits float64) time.Duration {
	expected := max(e.latency.mean+timeoutDeviations*e.latency.deviation, (1+timeoutDeviations/2)*b.latency)
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

// markUnresponsive ejects an endpoint until it responds: it gets one trial at a time, the first after the time that a
// response of so much work may take, and what may be executed twice is hedged elsewhere or cancelled.
func (b *Balancer) markUnresponsive(e *endpoint, workUnits float64, now time.Duration) {
	b.log.add(now, EndpointUnresponsive{Endpoint: e.ID, Silence: e.waitingTime(e.oldestAttempt(), now)})
	e.outlier.unresponsive = true
	e.outlier.backoff = b.responseTimeout(e, workUnits)
	e.outlier.nextTrialAt = now + e.outlier.backoff
	for _, a := range slices.Clone(e.attempts) {
		r := a.request
		if r.class.Idempotency == NonIdempotent || r.Upload || r.finished || r.inFlight > 1 {
			continue
		}
		other, _ := b.pickEndpoint(r, now)
		if other != nil {
			b.startAttempt(r, other, now)
		} else if !b.settings.Limits.AllowHedging && b.settings.Limits.AllowCancel {
			b.effects.Cancel(r.ID, slices.Index(r.attempts, a))
		}
	}
}

// markResponsive records a response, which ends ejection and backoff.
func (b *Balancer) markResponsive(e *endpoint, now time.Duration) {
	e.outlier.unresponsive = false
	e.outlier.respondedAt = now
	e.outlier.backoff = b.tick
	e.outlier.unreachableUntil = now
}

// beginTrial spaces the trials of an unresponsive endpoint.
func (e *endpoint) beginTrial(now time.Duration) {
	e.outlier.nextTrialAt = now + e.outlier.backoff
	e.outlier.backoff *= backoffGrowthFactor
}

// backOff pauses an endpoint that could not be reached or broke a connection: it is down, or its connection table
// is full. Attempts that failed together count once.
func (b *Balancer) backOff(e *endpoint, now time.Duration) {
	if now < e.outlier.unreachableUntil {
		return
	}
	e.outlier.unreachableUntil = now + e.outlier.backoff
	e.outlier.backoff = min(e.outlier.backoff*backoffGrowthFactor, b.settings.Obligations.SlowStartWindow)
}

// observeErrors updates the running mean of errors by a result.
func (e *endpoint) observeErrors(status Status, now time.Duration) {
	switch status {
	case OK:
		e.outlier.errorRate -= errorSmoothingFactor * e.outlier.errorRate
		e.zone.health.succeededAt = now
	case Error, Reset, ConnectFailed, Timeout:
		e.outlier.errorRate += errorSmoothingFactor * (1 - e.outlier.errorRate)
		e.outlier.failedAt = now
	}
}
