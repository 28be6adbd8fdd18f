package balancer

import (
	"errors"
	"fmt"
	"math"
)

// ErrSettings is wrapped by every error that New returns for its settings.
var ErrSettings = errors.New("bad settings")

// bad reports a setting that is missing or out of range.
func bad(format string, args ...any) error {
	return fmt.Errorf("sprucehill: %w: %s", ErrSettings, fmt.Sprintf(format, args...))
}

// amount tells whether x is a finite figure that is not negative.
func amount(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// Validate returns an error, which wraps ErrSettings, for the first setting that is missing or out of range. It names the
// setting by its key in the platform's configuration, and by its field here.
func (s Settings) Validate() error {
	r := s.Rules
	for _, x := range []struct {
		name string
		ok   bool
	}{
		{"profiles (Classes)", len(s.Classes) > 0},
		{"balancers (Balancers)", s.Balancers >= 1},
		{"rank (Rank)", s.Rank >= 0 && s.Rank < max(s.Balancers, 1)},
		{"over_share_worth (OverShareWorth)", amount(s.OverShareWorth)},
		{"granularity_us (Granularity)", s.Granularity >= 0},
		{"weights (Weights)", s.Weights <= WeightLive},
		{"reporting.via (Reports)", s.Reports <= ReportProbes},
		{"limits.max_attempts (Limits.MaxAttempts)", s.Limits.MaxAttempts >= 1},
		{"limits.max_retry_after_us (Limits.MaxRetry)", s.Limits.MaxRetry >= 0},
		{"obligations.tip_after_us (Rules.TipAfter)", r.TipAfter > 0},
		{"obligations.ramp_time_us (Rules.RampTime)", r.RampTime > 0},
		{"obligations.tip_multiple (Rules.TipMultiple)", amount(r.TipMultiple) && r.TipMultiple > 0},
		{"obligations.cold_from (Rules.ColdFrom)", r.ColdFrom > 0 && r.ColdFrom <= 1},
		{"obligations.ask_within_us (Rules.AskWithin)", r.AskWithin > 0 || (r.AskWithin == 0 && !s.OnRequest)},
		{"obligations.drain_grace_us (Rules.DrainGrace)", r.DrainGrace >= 0},
		{"obligations.answer_slack_us (Rules.AnswerWithin)", r.AnswerWithin >= 0},
	} {
		if !x.ok {
			return bad("%s is missing or out of range", x.name)
		}
	}
	names := map[string]bool{}
	for _, c := range s.Classes {
		switch {
		case names[c.Name]:
			return bad("profiles: class %q is set twice", c.Name)
		case !amount(c.Worth) || !amount(c.LateWorth):
			return bad("profiles: class %q: worth (Worth) and late_worth (LateWorth) must be finite and not negative", c.Name)
		case c.Aim <= 0:
			return bad("profiles: class %q: target_us (Aim) must be over zero", c.Name)
		case c.Deadline < c.Aim:
			return bad("profiles: class %q: give_up_us (Deadline) is before target_us (Aim)", c.Name)
		case c.Repeat > Unsafe:
			return bad("profiles: class %q: repeat (Repeat) is of no known kind", c.Name)
		case c.Repeat == Keyed && c.Group > GroupCell:
			return bad("profiles: class %q: group (Group) is of no known kind", c.Name)
		case c.Repeat == Keyed && c.Memory <= 0:
			return bad("profiles: class %q: memory_span_us (Memory) must be over zero", c.Name)
		}
		names[c.Name] = true
	}
	names = map[string]bool{}
	for _, t := range s.Tenants {
		if names[t.Name] || !amount(t.Quota) {
			return bad("tenants: %q is set twice or has a quota_rps (Quota) that is negative or not finite", t.Name)
		}
		names[t.Name] = true
	}
	return nil
}

// What owners tell while running is not refused but cleaned, so that no figure poisons a mean.

// clean returns l without the values that are negative or not finite.
func (l Load) clean() Load {
	for i, x := range []*float64{&l.Util, &l.Inflight, &l.Queue, &l.Service, &l.Rate, &l.Errors} {
		if !amount(*x) || *x > math.MaxInt32 {
			*x, l.Fields = 0, l.Fields&^(1<<i)
		}
	}
	return l
}

// clean returns o with a latency over zero and a clean load.
func (o Outcome) clean() Outcome {
	o.Latency, o.Load = max(o.Latency, 1), o.Load.clean()
	return o
}

// clean returns u with a weight that can be set against others: 1 if it is not finite or not over zero.
func (u Upstream) clean() Upstream {
	if !amount(u.Weight) || u.Weight == 0 || u.Weight > math.MaxInt32 {
		u.Weight = 1
	}
	return u
}
