package balancer

import (
	"errors"
	"fmt"
	"math"
)

// ErrSettings is wrapped by every error that New returns for its settings.
var ErrSettings = errors.New("bad settings")

// settingsError reports a setting that is missing or out of range.
func settingsError(format string, args ...any) error {
	return fmt.Errorf("sprucehill: %w: %s", ErrSettings, fmt.Sprintf(format, args...))
}

// isAmount reports whether x is finite and not negative.
func isAmount(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// Validate returns an error, which wraps ErrSettings, for the first setting that is missing or out of range. It names the
// setting by its key in the platform's configuration, and by its field here.
func (s Settings) Validate() error {
	if err := s.validateRanges(); err != nil {
		return err
	}
	classes := map[string]bool{}
	for _, c := range s.Classes {
		if classes[c.Name] {
			return settingsError("profiles: class %q is set twice", c.Name)
		}
		if err := c.validate(); err != nil {
			return err
		}
		classes[c.Name] = true
	}
	tenants := map[string]bool{}
	for _, t := range s.Tenants {
		if tenants[t.Name] || !isAmount(t.Quota) {
			return settingsError("tenants: %q is set twice or has a quota_rps (Quota) that is negative or not finite", t.Name)
		}
		tenants[t.Name] = true
	}
	return nil
}

// validateRanges checks each setting but classes and tenants.
func (s Settings) validateRanges() error {
	o := s.Obligations
	polled := o.PollInterval > 0 || (o.PollInterval == 0 && !s.PollDiscovery)
	for _, setting := range []struct {
		name  string
		valid bool
	}{
		{"profiles (Classes)", len(s.Classes) > 0},
		{"balancers (Balancers)", s.Balancers >= 1},
		{"rank (Rank)", s.Rank >= 0 && s.Rank < max(s.Balancers, 1)},
		{"over_share_worth (OverQuotaFactor)", isAmount(s.OverQuotaFactor)},
		{"granularity_us (EventSpacing)", s.EventSpacing >= 0},
		{"weights (Weights)", s.Weights <= WeightLive},
		{"reporting.via (Reports)", s.Reports <= ReportInHealthChecks},
		{"limits.max_attempts (Limits.MaxAttempts)", s.Limits.MaxAttempts >= 1},
		{"limits.max_retry_after_us (Limits.MaxRetryAfter)", s.Limits.MaxRetryAfter >= 0},
		{"obligations.tip_after_us (Obligations.OverloadWindow)", o.OverloadWindow > 0},
		{"obligations.ramp_time_us (Obligations.SlowStartWindow)", o.SlowStartWindow > 0},
		{"obligations.tip_multiple (Obligations.OverloadMultiple)", isAmount(o.OverloadMultiple) && o.OverloadMultiple > 0},
		{"obligations.cold_from (Obligations.SlowStartFrom)", o.SlowStartFrom > 0 && o.SlowStartFrom <= 1},
		{"obligations.ask_within_us (Obligations.PollInterval)", polled},
		{"obligations.drain_grace_us (Obligations.DrainGrace)", o.DrainGrace >= 0},
		{"obligations.answer_slack_us (Obligations.AnswerSlack)", o.AnswerSlack >= 0},
	} {
		if !setting.valid {
			return settingsError("%s is missing or out of range", setting.name)
		}
	}
	return nil
}

// validate checks the settings of one class.
func (c Class) validate() error {
	switch {
	case !isAmount(c.PriorityWeight) || !isAmount(c.LatePriorityFactor):
		return settingsError("profiles: class %q: worth (PriorityWeight) and late_worth (LatePriorityFactor) must be finite "+
			"and not negative", c.Name)
	case c.LatencyObjective <= 0:
		return settingsError("profiles: class %q: target_us (LatencyObjective) must be over zero", c.Name)
	case c.Deadline < c.LatencyObjective:
		return settingsError("profiles: class %q: give_up_us (Deadline) is before target_us (LatencyObjective)", c.Name)
	case c.Idempotency > NonIdempotent:
		return settingsError("profiles: class %q: repeat (Idempotency) is of no known kind", c.Name)
	case c.Idempotency == IdempotentByKey && c.Scope > ScopeCell:
		return settingsError("profiles: class %q: group (Scope) is of no known kind", c.Name)
	case c.Idempotency == IdempotentByKey && c.IdempotencyWindow <= 0:
		return settingsError("profiles: class %q: memory_span_us (IdempotencyWindow) must be over zero", c.Name)
	}
	return nil
}

// What owners report while running is not rejected but cleaned, so that no single figure spoils a running mean.

// clean returns the report without the values that are negative or not finite.
func (l LoadReport) clean() LoadReport {
	values := []*float64{&l.Utilization, &l.Inflight, &l.Queue, &l.ServiceTime, &l.Rate, &l.Errors}
	for i, value := range values {
		if !isAmount(*value) || *value > math.MaxInt32 {
			*value = 0
			l.Fields &^= 1 << i
		}
	}
	return l
}

// clean returns the result with a latency over zero and a clean load report.
func (o AttemptResult) clean() AttemptResult {
	o.Latency = max(o.Latency, 1)
	o.Load = o.Load.clean()
	return o
}

// clean returns the endpoint with a weight that can be set against others: 1 if it is not finite or not over zero.
func (e Endpoint) clean() Endpoint {
	if !isAmount(e.Weight) || e.Weight == 0 || e.Weight > math.MaxInt32 {
		e.Weight = 1
	}
	return e
}
