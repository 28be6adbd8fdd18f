// Package lab runs a scenario and returns its result: an engine produces a history of events, the checker looks for
// violations in it, and its metrics are computed.
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

// Result is the result of a run.
type Result struct {
	Scenario   *scenario.Scenario
	Fleet      *scenario.Fleet
	Arrivals   []scenario.Arrival
	Events     []history.Event
	Violations []check.Violation
	Summary    *measure.Summary
}

// Passed reports whether the run is valid and has no violations.
func (r *Result) Passed() bool {
	return len(r.Violations) == 0 && (r.Summary.Lab == nil || r.Summary.Lab.VoidReason == "")
}

// RunLive runs a scenario with real processes of the balancer.
func RunLive(ctx context.Context, s *scenario.Scenario, o live.Options) (*Result, error) {
	out, err := live.Run(ctx, s, o)
	if err != nil {
		return nil, err
	}
	r := newResult(s, "live", out.Events)
	r.Summary.Lab = measure.NewLab(out.Lateness, s.Length.D().Seconds(), out.LabCPU, out.BalancerCPU, out.RetriesOnClosed)
	return r, nil
}

// RunModel runs a scenario in virtual time.
func RunModel(ctx context.Context, s *scenario.Scenario, o model.Options) (*Result, error) {
	events, err := model.Run(ctx, s, o)
	if err != nil {
		return nil, err
	}
	return newResult(s, "model", events), nil
}

// newResult checks and measures the history of a run.
func newResult(s *scenario.Scenario, engine string, events []history.Event) *Result {
	r := &Result{Scenario: s, Fleet: s.Fleet(), Arrivals: s.Arrivals(), Events: events}
	r.Violations = check.Check(s, r.Fleet, events)
	r.Summary = measure.Summarize(s, r.Fleet, engine, r.Arrivals, events, r.Violations)
	return r
}
