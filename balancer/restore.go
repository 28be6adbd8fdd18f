package balancer

import "time"

// snapshotLifetime is the age from which a snapshot has no weight.
const snapshotLifetime = 5 * time.Minute

// confidence is the weight of a snapshot by its age, 1 to 0. It falls linearly. An age below 0, after a clock was set back,
// says nothing of the real age and gives 0.
func confidence(age time.Duration) float64 {
	if age < 0 {
		return 0
	}
	return max(0, 1-float64(age)/float64(snapshotLifetime))
}

// restoreBudget restores the slow-start budget of a warming endpoint. What was sent to it since the snapshot is not known
// and counts as all that it may get.
func (b *Balancer) restoreBudget(e *endpoint, now, takenAt time.Duration) {
	e.slowStart.budget.Level = 1
	e.slowStart.budget.At = now
	window := b.settings.Obligations.OverloadWindow
	if now-takenAt < window {
		b.expireSlowStart(e, now)
		e.slowStart.budget.Level = max(1, b.slowStartRate(e, now)*window.Seconds())
	}
}

// restoreEndpoint restores what was known of an endpoint. An unresponsive one gets a trial first, after a drawn wait. Values
// of a warm one are blended with those of an unknown endpoint by confidence.
func (b *Balancer) restoreEndpoint(e *endpoint, known EndpointStats, now, takenAt time.Duration) {
	trust := confidence(now - takenAt)
	b.restoreSlowStart(e, known, now)
	if trust == 0 {
		return
	}
	if known.Unresponsive {
		e.outlier.unresponsive = true
		e.outlier.backoff = max(b.tick, min(known.Backoff, b.settings.Obligations.SlowStartWindow))
		e.outlier.nextTrialAt = now + b.drawWait(e.outlier.backoff)
	}
	if e.slowStart.active {
		b.restoreBudget(e, now, takenAt)
		return
	}
	e.shareFactor = 1 - trust*(1-max(minShareFactor, min(1, finite(known.ShareFactor))))
	e.outlier.errorRate = trust * min(1, finite(known.ErrorRate))
	e.work.mean = trust * finite(known.WorkRate)
	if known.ConcurrencyLimit > 0 && isAmount(known.ConcurrencyLimit) {
		initial := b.endpoints.initialLimit
		e.limit.current = initial + trust*(max(b.endpoints.minLimit(), known.ConcurrencyLimit)-initial)
	}
	if known.Latency > 0 && known.WorkUnits > 0 && isAmount(known.Latency) && isAmount(known.WorkUnits) {
		e.latency = known.latencyStats()
	}
}

// restoreSlowStart goes on with a slow start that has begun before the restart, whatever the age of the snapshot.
func (b *Balancer) restoreSlowStart(e *endpoint, known EndpointStats, now time.Duration) {
	warming := known.WarmingUp && known.WarmingSince <= now && now-known.WarmingSince < b.settings.Obligations.SlowStartWindow
	if warming && known.WarmingSince > e.slowStart.since {
		b.beginSlowStart(e, known.WarmingSince)
	}
}

// restoreZone restores what was known of a zone. One that was ejected has to pass its trials.
func (b *Balancer) restoreZone(z *zone, known ZoneStats, now time.Duration) {
	health := &z.health
	health.stepMultiple = max(1, min(known.HoldPeriods, maxStepMultiple))
	if known.Failed && health.recoveredShare == 1 {
		health.ejected = true
		health.recovering = false
		health.recoveredShare = recoveryStep
		health.backoff = firstTrialTicks * b.tick
		health.nextTrialAt = now + b.drawWait(health.backoff)
	} else if known.RecoveredShare > 0 && known.RecoveredShare < 1 {
		health.recoveredShare = max(recoveryStep, known.RecoveredShare)
		health.recovering = true
	}
}
