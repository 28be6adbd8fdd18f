package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"sprucehill/balancer"
)

// settingsJSON is the JSON form of the settings object; unused keys are left out. All durations are in microseconds. Error
// messages repeat the key of a field, because code can't refer to its tag.
type settingsJSON struct {
	Zone         string  `json:"az"`
	Balancers    int     `json:"balancers"`
	Rank         int     `json:"rank"`
	EventSpacing int64   `json:"granularity_us"`
	Membership   string  `json:"membership_mode"`
	OverQuota    float64 `json:"over_share_worth"`
	Weights      string  `json:"weights"`
	PriorityBy   string  `json:"worth_by"`
	Family       struct {
		KeyAffinity bool `json:"warm_keys"`
	} `json:"family_info"`
	Limits      limitsJSON      `json:"limits"`
	Obligations obligationsJSON `json:"obligations"`
	Classes     []classJSON     `json:"profiles"`
	Reporting   struct {
		Via string `json:"via"`
	} `json:"reporting"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_rps"`
	} `json:"tenants"`
}

type limitsJSON struct {
	Cancel         bool  `json:"cancel"`
	ConnectTimeout int64 `json:"connect_timeout_us"`
	KeepAlive      int64 `json:"keepalive_us"`
	MaxAttempts    int   `json:"max_attempts"`
	MaxRetryAfter  int64 `json:"max_retry_after_us"`
	HealthChecks   bool  `json:"probes"`
	RetryAfter     bool  `json:"retry_after"`
	Hedging        bool  `json:"second_copies"`
}

type obligationsJSON struct {
	AnswerSlack      int64   `json:"answer_slack_us"`
	PollInterval     int64   `json:"ask_within_us"`
	SlowStartFrom    float64 `json:"cold_from"`
	DrainGrace       int64   `json:"drain_grace_us"`
	SlowStartWindow  int64   `json:"ramp_time_us"`
	OverloadWindow   int64   `json:"tip_after_us"`
	OverloadMultiple float64 `json:"tip_multiple"`
}

type classJSON struct {
	Deadline           int64   `json:"give_up_us"`
	IdempotencyScope   string  `json:"group"`
	LatePriorityFactor float64 `json:"late_worth"`
	IdempotencyWindow  int64   `json:"memory_span_us"`
	Name               string  `json:"name"`
	Idempotency        string  `json:"repeat"`
	Stream             bool    `json:"stream"`
	LatencyObjective   int64   `json:"target_us"`
	PriorityWeight     float64 `json:"worth"`
}

// The settings with a fixed set of values, by the text of each value.
var (
	idempotencies = map[string]balancer.Idempotency{
		"read_like":       balancer.Idempotent,
		"idempotency_key": balancer.IdempotentByKey,
		"non_idempotent":  balancer.NonIdempotent,
	}
	idempotencyScopes = map[string]balancer.IdempotencyScope{
		"all":  balancer.ScopeAll,
		"zone": balancer.ScopeZone,
		"cell": balancer.ScopeCell,
	}
	weightKinds = map[string]balancer.WeightKind{
		"silent":  balancer.WeightNone,
		"nominal": balancer.WeightNominal,
		"rough":   balancer.WeightApproximate,
		"live":    balancer.WeightLive,
	}
	reportSources = map[string]balancer.ReportSource{
		"silent":    balancer.ReportNone,
		"piggyback": balancer.ReportInResponses,
		"pull":      balancer.ReportInHealthChecks,
	}
	// pollsDiscovery says for each membership mode whether endpoint lists have to be polled for.
	pollsDiscovery = map[string]bool{"pushed": false, "on_request": true}
	// prioritizesByWork says for each unit that priority weights can refer to whether it is a unit of work, not a request.
	prioritizesByWork = map[string]bool{"": false, "request": false, "work": true}
)

// ConnectionTimeouts is the part of the settings that concerns connections to upstreams. The simulator enforces these
// timeouts itself; a real balancer has to.
type ConnectionTimeouts struct {
	KeepAlive      time.Duration // idle time after which an upstream closes a connection
	ConnectTimeout time.Duration // bounds how long a connection takes to be established
}

// DecodeSettings decodes the settings object of an attach message or of a real balancer's configuration. It checks syntax
// and enumerated values; balancer.Settings.Validate checks ranges.
func DecodeSettings(text []byte) (balancer.Settings, ConnectionTimeouts, error) {
	var decoded settingsJSON
	if err := json.Unmarshal(text, &decoded); err != nil {
		return balancer.Settings{}, ConnectionTimeouts{}, fmt.Errorf("settings: %w", err)
	}
	settings, err := decoded.settings()
	if err != nil {
		return balancer.Settings{}, ConnectionTimeouts{}, fmt.Errorf("settings: %w", err)
	}
	timeouts := ConnectionTimeouts{
		KeepAlive:      microseconds(decoded.Limits.KeepAlive),
		ConnectTimeout: microseconds(decoded.Limits.ConnectTimeout),
	}
	return settings, timeouts, nil
}

// settings parses a field that holds the settings object.
func (f *fields) settings(name string) balancer.Settings {
	settings, _, err := DecodeSettings(f.required(name))
	if err != nil {
		f.fail(name, err.Error())
	}
	return settings
}

// settings converts the decoded object to the decision module's settings.
func (s *settingsJSON) settings() (balancer.Settings, error) {
	settings := balancer.Settings{
		Zone:            s.Zone,
		Balancers:       s.Balancers,
		Rank:            s.Rank,
		OverQuotaFactor: s.OverQuota,
		KeyAffinity:     s.Family.KeyAffinity,
		EventSpacing:    microseconds(s.EventSpacing),
		Limits:          s.Limits.limits(),
		Obligations:     s.Obligations.obligations(),
	}
	var err error
	if settings.PriorityByWork, err = lookUpEnum(prioritizesByWork, "worth_by", s.PriorityBy); err != nil {
		return settings, err
	}
	if settings.PollDiscovery, err = lookUpEnum(pollsDiscovery, "membership_mode", s.Membership); err != nil {
		return settings, err
	}
	if settings.Weights, err = lookUpEnum(weightKinds, "weights", s.Weights); err != nil {
		return settings, err
	}
	if settings.Reports, err = lookUpEnum(reportSources, "reporting.via", s.Reporting.Via); err != nil {
		return settings, err
	}
	for i := range s.Classes {
		class, err := s.Classes[i].class()
		if err != nil {
			return settings, fmt.Errorf("profiles: %w", err)
		}
		settings.Classes = append(settings.Classes, class)
	}
	for _, t := range s.Tenants {
		settings.Tenants = append(settings.Tenants, balancer.Tenant{Name: t.Name, Quota: t.Quota})
	}
	return settings, nil
}

func (l *limitsJSON) limits() balancer.Limits {
	return balancer.Limits{
		AllowCancel:       l.Cancel,
		AllowHealthChecks: l.HealthChecks,
		AllowHedging:      l.Hedging,
		AllowRetryAfter:   l.RetryAfter,
		MaxRetryAfter:     microseconds(l.MaxRetryAfter),
		MaxAttempts:       l.MaxAttempts,
	}
}

func (o *obligationsJSON) obligations() balancer.Obligations {
	return balancer.Obligations{
		PollInterval:     microseconds(o.PollInterval),
		SlowStartFrom:    o.SlowStartFrom,
		SlowStartWindow:  microseconds(o.SlowStartWindow),
		OverloadMultiple: o.OverloadMultiple,
		OverloadWindow:   microseconds(o.OverloadWindow),
		DrainGrace:       microseconds(o.DrainGrace),
		AnswerSlack:      microseconds(o.AnswerSlack),
	}
}

func (c *classJSON) class() (balancer.Class, error) {
	class := balancer.Class{
		Name:               c.Name,
		LatencyObjective:   microseconds(c.LatencyObjective),
		Deadline:           microseconds(c.Deadline),
		IdempotencyWindow:  microseconds(c.IdempotencyWindow),
		Stream:             c.Stream,
		PriorityWeight:     c.PriorityWeight,
		LatePriorityFactor: c.LatePriorityFactor,
	}
	var err error
	if class.Idempotency, err = lookUpEnum(idempotencies, "repeat", c.Idempotency); err != nil {
		return class, err
	}
	class.Scope, err = lookUpEnum(idempotencyScopes, "group", c.IdempotencyScope)
	if class.Idempotency != balancer.IdempotentByKey {
		return class, nil // the scope matters for idempotency keys only, and is often missing without them
	}
	return class, err
}

// lookUpEnum returns the value that a setting has under the given name, or an error that names the setting.
func lookUpEnum[T any](values map[string]T, setting, name string) (T, error) {
	value, ok := values[name]
	if !ok {
		return value, fmt.Errorf("%s: unknown value %q", setting, name)
	}
	return value, nil
}

func microseconds(count int64) time.Duration { return time.Duration(count) * time.Microsecond }
