package balancer

import "time"

const (
	slowStartBudgetRatio         = 0.6 // part of the permitted slow-start load that is used
	localitySlowStartBudgetRatio = 0.8 // additional factor with locality, when all balancers of a zone send there at once
)

// slowStartCapacity returns the fraction of its full capacity that an endpoint is guaranteed to have.
func (b *Balancer) slowStartCapacity(e *endpoint, now time.Duration) float64 {
	obligations := &b.settings.Obligations
	if e.slowStart.active && now-e.slowStart.since < obligations.SlowStartWindow {
		elapsed := float64(now-e.slowStart.since) / float64(obligations.SlowStartWindow)
		return obligations.SlowStartFrom + (1-obligations.SlowStartFrom)*max(0, elapsed)
	}
	return 1
}

// expireSlowStart ends the slow start of an endpoint after the slow-start window.
func (b *Balancer) expireSlowStart(e *endpoint, now time.Duration) {
	if now-e.slowStart.since >= b.settings.Obligations.SlowStartWindow {
		e.slowStart.active = false
	}
}

// beginSlowStart begins the slow start of an endpoint that started at a time. Earlier measurements are discarded.
func (b *Balancer) beginSlowStart(e *endpoint, at time.Duration) {
	e.slowStart.active = true
	e.slowStart.since = at
	e.resetMeasurements()
	e.limit.current = b.endpoints.initialLimit
}

// fitsSlowStart reports whether an endpoint is warm, or r fits this balancer's part of its slow-start budget. The budget is
// derived from the work of warm endpoints. Small requests count like mean ones: many of them overload an endpoint, too.
func (b *Balancer) fitsSlowStart(e *endpoint, r *request, now time.Duration) bool {
	if b.slowStartCapacity(e, now) == 1 {
		return true
	}
	budget := &e.slowStart.budget
	if b.endpoints.stats.workPerWeight == 0 { // no warm endpoint to compare with: one at a time, none right after a failure
		return len(e.attempts) == 0 && (budget.Level < 1 || now-budget.At >= time.Duration(b.means.latency))
	}
	rate := b.slowStartRate(e, now)
	budget.Leak(now, rate)
	return budget.Level <= max(0, rate*b.settings.Obligations.OverloadWindow.Seconds()-max(1, r.workUnits))
}

// chargeSlowStart charges an attempt to the slow-start budget of an endpoint. The budget does not leak until the work of a
// warm endpoint is known.
func (b *Balancer) chargeSlowStart(e *endpoint, workUnits float64, now time.Duration) {
	if b.endpoints.stats.workPerWeight == 0 {
		e.slowStart.budget.At = now
	}
	e.slowStart.budget.Add(max(1, workUnits))
}

// slowStartRate returns the leak rate of a warming endpoint's budget in mean requests per second: half of this balancer's
// part of the permitted load. No endpoint is assumed to do more work than the best one does, because the weight of a zone
// can jump, but the capacity of its endpoints can't.
func (b *Balancer) slowStartRate(e *endpoint, now time.Duration) float64 {
	work := min(b.endpoints.stats.maxWorkPerWeight, e.zone.shareFactor()*b.endpoints.stats.workPerWeight)
	capacity := e.weight * work / bandPeriod.Seconds()
	if b.locality.localShare > 0 {
		capacity *= localitySlowStartBudgetRatio
	}
	return slowStartBudgetRatio / 2 * b.settings.Obligations.OverloadMultiple * b.slowStartCapacity(e, now) * capacity
}
