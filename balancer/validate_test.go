package balancer

import (
	"errors"
	"math"
	"strings"
	"testing"
)

// Each invalid value gives an error that wraps ErrSettings and names the setting.
func TestInvalidSettingsAreRejected(t *testing.T) {
	for message, invalidate := range map[string]func(*Settings){
		"Classes":                      func(s *Settings) { s.Classes = nil },
		"Balancers":                    func(s *Settings) { s.Balancers = 0 },
		"Limits.MaxAttempts":           func(s *Settings) { s.Limits.MaxAttempts = 0 },
		"Obligations.OverloadWindow":   func(s *Settings) { s.Obligations.OverloadWindow = 0 },
		"Obligations.SlowStartWindow":  func(s *Settings) { s.Obligations.SlowStartWindow = 0 },
		"Obligations.OverloadMultiple": func(s *Settings) { s.Obligations.OverloadMultiple = 0 },
		"Obligations.SlowStartFrom":    func(s *Settings) { s.Obligations.SlowStartFrom = 0 },
		"Obligations.PollInterval":     func(s *Settings) { s.PollDiscovery = true; s.Obligations.PollInterval = 0 },
		"LatencyObjective":             func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
		"Deadline":                     func(s *Settings) { s.Classes[0].Deadline = ms },
		"IdempotencyWindow":            func(s *Settings) { s.Classes[1].IdempotencyWindow = 0 },
		"\"read\" is set twice":        func(s *Settings) { s.Classes = append(s.Classes, s.Classes[0]) },
		"PriorityWeight":               func(s *Settings) { s.Classes[2].PriorityWeight = -1 },
		"Quota":                        func(s *Settings) { s.Tenants[1].Quota = -1 },
		"Rank":                         func(s *Settings) { s.Rank = s.Balancers },
		"OverQuotaFactor":              func(s *Settings) { s.OverQuotaFactor = math.NaN() },
		"EventSpacing":                 func(s *Settings) { s.EventSpacing = -1 },
		"Weights":                      func(s *Settings) { s.Weights = 9 },
		"Reports":                      func(s *Settings) { s.Reports = 9 },
		"Idempotency":                  func(s *Settings) { s.Classes[0].Idempotency = 9 },
		"Scope":                        func(s *Settings) { s.Classes[1].Scope = 9 },
		"LatePriorityFactor":           func(s *Settings) { s.Classes[0].LatePriorityFactor = math.Inf(1) },
		"\"small\" is set twice or has a quota_rps (Quota)": func(s *Settings) { s.Tenants[1].Quota = math.NaN() },
		"\"big\" is set twice":                              func(s *Settings) { s.Tenants = append(s.Tenants, s.Tenants[0]) },
	} {
		t.Run(message, func(t *testing.T) {
			settings := testSettings()
			invalidate(&settings)
			_, err := New(settings, 1, 0, &recorder{})
			if !errors.Is(err, ErrSettings) || !strings.Contains(err.Error(), message) {
				t.Errorf("error %v", err)
			}
		})
	}
	for _, value := range []float64{math.NaN(), math.Inf(1), -1, 0} {
		settings := testSettings()
		settings.Obligations.OverloadMultiple = value
		if settings.Validate() == nil {
			t.Errorf("OverloadMultiple %v is accepted", value)
		}
		settings = testSettings()
		settings.Obligations.SlowStartFrom = value
		if settings.Validate() == nil {
			t.Errorf("SlowStartFrom %v is accepted", value)
		}
	}
	_, err := New(testSettings(), 1, 0, nil)
	if !errors.Is(err, ErrSettings) || !strings.Contains(err.Error(), "Effects") {
		t.Errorf("without Effects: error %v", err)
	}
}
