package balancer

import "time"

// snapshotLifetime is the age from which the measurements of a snapshot are ignored.
const snapshotLifetime = 5 * time.Minute

// confidence returns the weight of a snapshot's values, which falls linearly from 1 to 0 with its age. A negative age, from
// a clock that was set back, is no measure of the real age and gives 0.
func confidence(age time.Duration) float64 {
	if age < 0 {
		return 0
	}
	return max(0, 1-float64(age)/float64(snapshotLifetime))
}

// restoreBudget restores the slow-start budget of a warming endpoint. The work sent to it since the snapshot is unknown, so
// the whole budget counts as used.
func (b *Balancer) restoreBudget(e *endpoint, now, takenAt time.Duration) {
	e.slowStart.budget.Level = 1
	e.slowStart.budget.At = now
	window := b.settings.Obligations.OverloadWindow
	if now-takenAt < window {
		b.expireSlowStart(e, now)
		e.slowStart.budget.Level = max(1, b.slowStartRate(e, now)*window.Seconds())
	}
}

// restoreEndpoint restores the state of an endpoint. An unresponsive one gets a trial first, after a random delay. For a
// warm one the saved values are blended with those of a new endpoint by confidence.
func (b *Balancer) restoreEndpoint(e *endpoint, saved EndpointStats, now, takenAt time.Duration) {
	weight := confidence(now - takenAt)
	b.restoreSlowStart(e, saved, now)
	if weight == 0 {
		return
	}
	if saved.Unresponsive {
		e.outlier.unresponsive = true
		e.outlier.backoff = max(b.tick, min(saved.Backoff, b.settings.Obligations.SlowStartWindow))
		e.outlier.nextTrialAt = now + b.randomDelay(e.outlier.backoff)
	}
	if e.slowStart.active {
		b.restoreBudget(e, now, takenAt)
		return
	}
	e.shareFactor = 1 - weight*(1-max(minShareFactor, min(1, finiteOrZero(saved.ShareFactor))))
	e.outlier.errorRate = weight * min(1, finiteOrZero(saved.ErrorRate))
	e.work.mean = weight * finiteOrZero(saved.MeanPeriodWork)
	if saved.ConcurrencyLimit > 0 && isFiniteNonNegative(saved.ConcurrencyLimit) {
		initial := b.endpoints.initialLimit
		e.limit.current = initial + weight*(max(b.endpoints.minLimit(), saved.ConcurrencyLimit)-initial)
	}
	if saved.Latency > 0 && saved.WorkUnits > 0 && isFiniteNonNegative(saved.Latency) && isFiniteNonNegative(saved.WorkUnits) {
		e.latency = saved.latencyStats()
	}
}

// restoreSlowStart continues a slow start that was in progress before the restart, whatever the age of the snapshot.
func (b *Balancer) restoreSlowStart(e *endpoint, saved EndpointStats, now time.Duration) {
	warming := saved.WarmingUp && saved.WarmingSince <= now && now-saved.WarmingSince < b.settings.Obligations.SlowStartWindow
	if warming && saved.WarmingSince > e.slowStart.since {
		b.beginSlowStart(e, saved.WarmingSince)
	}
}

// restoreZone restores the state of a zone. A zone that was ejected must pass its trials first.
func (b *Balancer) restoreZone(z *zone, saved ZoneStats, now time.Duration) {
	health := &z.health
	health.stepMultiple = max(1, min(saved.StepMultiple, maxStepMultiple))
	if saved.Ejected && health.recoveredShare == 1 {
		health.ejected = true
		health.recovering = false
		health.recoveredShare = recoveryStep
		health.backoff = firstTrialTicks * b.tick
		health.nextTrialAt = now + b.randomDelay(health.backoff)
	} else if saved.RecoveredShare > 0 && saved.RecoveredShare < 1 {
		health.recoveredShare = max(recoveryStep, saved.RecoveredShare)
		health.recovering = true
	}
}
