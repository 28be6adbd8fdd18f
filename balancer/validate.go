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

// isAmount tells whether x is a finite figure that is not negative.
func isAmount(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// Validate returns an error, which wraps ErrSettings, for the first setting that is missing or out of range. It names the
// setting by its key in the platform's configuration, and by its field here.
func (s Settings) Validate() error {
	r := s.Obligations
	for _, x := range []struct {
		name string
		ok   bool
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
		{"obligations.tip_after_us (Obligations.OverloadWindow)", r.OverloadWindow > 0},
		{"obligations.ramp_time_us (Obligations.SlowStartWindow)", r.SlowStartWindow > 0},
		{"obligations.tip_multiple (Obligations.OverloadMultiple)", isAmount(r.OverloadMultiple) && r.OverloadMultiple > 0},
		{"obligations.cold_from (Obligations.SlowStartFrom)", r.SlowStartFrom > 0 && r.SlowStartFrom <= 1},
		{"obligations.ask_within_us (Obligations.PollInterval)", r.PollInterval > 0 || (r.PollInterval == 0 && !s.PollDiscovery)},
		{"obligations.drain_grace_us (Obligations.DrainGrace)", r.DrainGrace >= 0},
		{"obligations.answer_slack_us (Obligations.AnswerSlack)", r.AnswerSlack >= 0},
	} {
		if !x.ok {
			return settingsError("%s is missing or out of range", x.name)
		}
	}
	names := map[string]bool{}
	for _, c := range s.Classes {
		switch {
		case names[c.Name]:
			return settingsError("profiles: class %q is set twice", c.Name)
		case !isAmount(c.PriorityWeight) || !isAmount(c.LatePriorityFactor):
			return settingsError("profiles: class %q: worth (PriorityWeight) and late_worth (LatePriorityFactor) must be "+
				"finite and not negative", c.Name)
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
		names[c.Name] = true
	}
	names = map[string]bool{}
	for _, t := range s.Tenants {
		if names[t.Name] || !isAmount(t.Quota) {
			return settingsError("tenants: %q is set twice or has a quota_rps (Quota) that is negative or not finite", t.Name)
		}
		names[t.Name] = true
	}
	return nil
}

// What owners tell while running is not refused but cleaned, so that no figure poisons a mean.

// clean returns l without the values that are negative or not finite.
func (l LoadReport) clean() LoadReport {
	for i, x := range []*float64{&l.Utilization, &l.Inflight, &l.Queue, &l.ServiceTime, &l.Rate, &l.Errors} {
		if !isAmount(*x) || *x > math.MaxInt32 {
			*x, l.Fields = 0, l.Fields&^(1<<i)
		}
	}
	return l
}

// clean returns o with a latency over zero and a clean load.
func (o AttemptResult) clean() AttemptResult {
	o.Latency, o.Load = max(o.Latency, 1), o.Load.clean()
	return o
}

// clean returns u with a weight that can be set against others: 1 if it is not finite or not over zero.
func (u Endpoint) clean() Endpoint {
	if !isAmount(u.Weight) || u.Weight == 0 || u.Weight > math.MaxInt32 {
		u.Weight = 1
	}
	return u
}
