package balancer

import "time"

const (
	slowStartBudgetRatio         = 0.6 // part of the slow-start budget that is used
	localitySlowStartBudgetRatio = 0.8 // part of that part, where all balancers of a zone send there at once
)

// slowStartCapacity is the fraction of its capacity that an endpoint is sure to have.
func (b *Balancer) slowStartCapacity(e *endpoint, now time.Duration) float64 {
	rules := &b.settings.Obligations
	if e.slowStart.active && now-e.slowStart.since < rules.SlowStartWindow {
		elapsed := float64(now-e.slowStart.since) / float64(rules.SlowStartWindow)
		return rules.SlowStartFrom + (1-rules.SlowStartFrom)*max(0, elapsed)
	}
	return 1
}

// expireSlowStart ends the slow start of an endpoint once its window has passed.
func (b *Balancer) expireSlowStart(e *endpoint, now time.Duration) {
	if now-e.slowStart.since >= b.settings.Obligations.SlowStartWindow {
		e.slowStart.active = false
	}
}

// beginSlowStart treats an endpoint as started at a time: measurements from before are dropped.
func (b *Balancer) beginSlowStart(e *endpoint, at time.Duration) {
	e.slowStart.active = true
	e.slowStart.since = at
	e.forgetMeasurements()
	e.limit.current = b.endpoints.initialLimit
}

// fitsSlowStart reports whether an endpoint is warm, or r fits this balancer's part of its slow-start budget. The budget
// follows from the work of warm endpoints. No request counts less than the mean: many small ones overload an endpoint too.
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

// chargeSlowStart counts an attempt against the budget of a warming endpoint. Until a warm endpoint is known the budget
// does not leak.
func (b *Balancer) chargeSlowStart(e *endpoint, workUnits float64, now time.Duration) {
	if b.endpoints.stats.workPerWeight == 0 {
		e.slowStart.budget.At = now
	}
	e.slowStart.budget.Add(max(1, workUnits))
}

// slowStartRate is the rate, in mean requests a second, at which the budget of a warming endpoint leaks: half of this
// balancer's part of what it may get. No endpoint is assumed to do more work than the best one does, because the weight
// of a zone can jump and the work of its endpoints can't.
func (b *Balancer) slowStartRate(e *endpoint, now time.Duration) float64 {
	work := min(b.endpoints.stats.maxWorkPerWeight, e.zone.shareFactor()*b.endpoints.stats.workPerWeight)
	capacity := e.weight * work / bandPeriod.Seconds()
	if b.locality.localShare > 0 {
		capacity *= localitySlowStartBudgetRatio
	}
	return slowStartBudgetRatio / 2 * b.settings.Obligations.OverloadMultiple * b.slowStartCapacity(e, now) * capacity
}
