package balancer

import (
	"errors"
	"fmt"
	"math"
)

// ErrSettings is wrapped by every error that New returns for its settings.
var ErrSettings = errors.New("bad settings")

// settingsError returns an error for an invalid setting. It wraps ErrSettings.
func settingsError(format string, args ...any) error {
	return fmt.Errorf("sprucehill: %w: %s", ErrSettings, fmt.Sprintf(format, args...))
}

// isFiniteNonNegative reports whether x is finite and not negative.
func isFiniteNonNegative(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// Validate returns an error that wraps ErrSettings for the first setting that is missing or out of range. The error names
// the setting by its key in the site's configuration and by its field in Settings.
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
		if tenants[t.Name] || !isFiniteNonNegative(t.Quota) {
			return settingsError("tenants: %q is set twice or has a quota_rps (Quota) that is negative or not finite", t.Name)
		}
		tenants[t.Name] = true
	}
	return nil
}

// validateRanges checks all settings except those of the classes and tenants.
func (s Settings) validateRanges() error {
	obligations := s.Obligations
	validPollInterval := obligations.PollInterval > 0 || (obligations.PollInterval == 0 && !s.PollDiscovery)
	validOverloadMultiple := isFiniteNonNegative(obligations.OverloadMultiple) && obligations.OverloadMultiple > 0
	for _, setting := range []struct {
		name  string
		valid bool
	}{
		{"profiles (Classes)", len(s.Classes) > 0},
		{"balancers (Balancers)", s.Balancers >= 1},
		{"rank (Rank)", s.Rank >= 0 && s.Rank < max(s.Balancers, 1)},
		{"over_share_worth (OverQuotaFactor)", isFiniteNonNegative(s.OverQuotaFactor)},
		{"granularity_us (EventSpacing)", s.EventSpacing >= 0},
		{"weights (Weights)", s.Weights <= WeightLive},
		{"reporting.via (Reports)", s.Reports <= ReportInHealthChecks},
		{"limits.max_attempts (Limits.MaxAttempts)", s.Limits.MaxAttempts >= 1},
		{"limits.max_retry_after_us (Limits.MaxRetryAfter)", s.Limits.MaxRetryAfter >= 0},
		{"obligations.tip_after_us (Obligations.OverloadWindow)", obligations.OverloadWindow > 0},
		{"obligations.ramp_time_us (Obligations.SlowStartWindow)", obligations.SlowStartWindow > 0},
		{"obligations.tip_multiple (Obligations.OverloadMultiple)", validOverloadMultiple},
		{"obligations.cold_from (Obligations.SlowStartFrom)", obligations.SlowStartFrom > 0 && obligations.SlowStartFrom <= 1},
		{"obligations.ask_within_us (Obligations.PollInterval)", validPollInterval},
		{"obligations.drain_grace_us (Obligations.DrainGrace)", obligations.DrainGrace >= 0},
		{"obligations.answer_slack_us (Obligations.AnswerSlack)", obligations.AnswerSlack >= 0},
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
	case !isFiniteNonNegative(c.PriorityWeight) || !isFiniteNonNegative(c.LatePriorityFactor):
		return settingsError("profiles: class %q: worth (PriorityWeight) and late_worth (LatePriorityFactor) must be finite "+
			"and not negative, got %v and %v", c.Name, c.PriorityWeight, c.LatePriorityFactor)
	case c.LatencyObjective <= 0:
		return settingsError("profiles: class %q: target_us (LatencyObjective) must be positive, got %v",
			c.Name, c.LatencyObjective)
	case c.Deadline < c.LatencyObjective:
		return settingsError("profiles: class %q: give_up_us (Deadline) is %v, must be at least target_us (LatencyObjective), %v",
			c.Name, c.Deadline, c.LatencyObjective)
	case c.Idempotency > NonIdempotent:
		return settingsError("profiles: class %q: repeat (Idempotency) has the unknown value %d", c.Name, c.Idempotency)
	case c.Idempotency == IdempotentByKey && c.Scope > ScopeCell:
		return settingsError("profiles: class %q: group (Scope) has the unknown value %d", c.Name, c.Scope)
	case c.Idempotency == IdempotentByKey && c.IdempotencyWindow <= 0:
		return settingsError("profiles: class %q: memory_span_us (IdempotencyWindow) must be positive, got %v",
			c.Name, c.IdempotencyWindow)
	}
	return nil
}

// Invalid values that the owner reports at run time are not errors. They are replaced, so that they can't corrupt a moving
// average.

// sanitized returns the report without values that are negative, not finite or too large.
func (l LoadReport) sanitized() LoadReport {
	values := []*float64{&l.Utilization, &l.Inflight, &l.Queue, &l.ServiceTime, &l.Rate, &l.Errors}
	for i, value := range values {
		if !isFiniteNonNegative(*value) || *value > math.MaxInt32 {
			*value = 0
			l.Fields &^= 1 << i
		}
	}
	return l
}

// sanitized returns the result with a positive latency and a sanitized load report.
func (r AttemptResult) sanitized() AttemptResult {
	r.Latency = max(r.Latency, 1)
	r.Load = r.Load.sanitized()
	return r
}

// sanitized returns the endpoint with a valid weight. A weight that is not positive, not finite or too large becomes 1.
func (e Endpoint) sanitized() Endpoint {
	if !isFiniteNonNegative(e.Weight) || e.Weight == 0 || e.Weight > math.MaxInt32 {
		e.Weight = 1
	}
	return e
}
