// Package lab plays a day and returns its result: an engine makes a history, the checker judges it, and its figures are
// measured.
package lab

import (
	"context"

	"sprucehill/internal/lab/check"
	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/live"
	"sprucehill/internal/lab/measure"
	"sprucehill/internal/lab/model"
	"sprucehill/internal/lab/scenario"
)

// Result is a day that has been played.
type Result struct {
	Day        *scenario.Scenario
	Fleet      *scenario.Fleet
	Arrivals   []scenario.Arrival
	Events     []history.Event
	Violations []check.Violation
	Summary    *measure.Summary
}

// Good reports whether no rule was broken and the day counts.
func (r *Result) Good() bool {
	return len(r.Violations) == 0 && (r.Summary.Lab == nil || r.Summary.Lab.VoidReason == "")
}

// Live plays a day with real processes.
func Live(ctx context.Context, d *scenario.Scenario, o live.Options) (*Result, error) {
	out, err := live.Play(ctx, d, o)
	if err != nil {
		return nil, err
	}
	r := newResult(d, "live", out.Events)
	r.Summary.Lab = measure.LabOf(out.Lateness, d.Length.D().Seconds(), out.LabCPU, out.BalancerCPU, out.RetriesOnClosed)
	return r, nil
}

// Model plays a day in virtual time.
func Model(ctx context.Context, d *scenario.Scenario, o model.Options) (*Result, error) {
	events, err := model.Play(ctx, d, o)
	if err != nil {
		return nil, err
	}
	return newResult(d, "model", events), nil
}

// newResult makes a result of a history.
func newResult(d *scenario.Scenario, engine string, events []history.Event) *Result {
	r := &Result{Day: d, Fleet: d.Fleet(), Arrivals: d.Arrivals(), Events: events}
	r.Violations = check.Judge(d, r.Fleet, events)
	r.Summary = measure.Summarize(d, r.Fleet, engine, r.Arrivals, events, r.Violations)
	return r
}
