//go:build review

package standin

import "time"

// class is a request class of the settings.
type class struct {
	name     string
	repeat   string
	group    string
	target   time.Duration
	deadline time.Duration
}

// The classes of java-main.
var (
	planTrip    = class{"plan-trip", "read_like", "all", 600 * time.Millisecond, 2 * time.Second}
	buyTicket   = class{"buy-ticket", "non_idempotent", "all", 2 * time.Second, 7500 * time.Millisecond}
	walletTopUp = class{"wallet-topup", "idempotency_key", "zone", 2 * time.Second, 4 * time.Second}
)

// settings returns the settings of java-main, as WIRE gives them, for a number of balancers and one zone.
func settings(balancers int) map[string]any {
	var profiles []map[string]any
	for _, c := range []class{planTrip, buyTicket, walletTopUp} {
		profiles = append(profiles, map[string]any{
			"name": c.name, "repeat": c.repeat, "group": c.group, "target_us": c.target.Microseconds(),
			"give_up_us": c.deadline.Microseconds(), "late_worth": 0.0, "memory_span_us": 7500000, "stream": false, "worth": 3.0,
		})
	}
	return map[string]any{
		"az": "dc-cibitung", "zones": []string{"dc-cibitung"}, "balancers": balancers, "rank": balancers - 1,
		"clients": map[string]any{"marks_retry": false}, "family": "proxy", "family_info": map[string]any{"warm_keys": true},
		"granularity_us": 5000, "kinds": []string{"fast-node"},
		"limits": map[string]any{
			"cancel": true, "connect_timeout_us": 250000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000,
			"keepalive_us": 15000000, "max_attempts": 5, "max_open": 20000, "max_retry_after_us": 2500000, "peers": false,
			"probes": true, "retry_after": true, "second_copies": true, "streams_per_conn": 1,
		},
		"membership_mode": "pushed",
		"obligations": map[string]any{
			"answer_slack_us": 20000, "ask_within_us": 10000000, "cold_from": 0.14, "drain_grace_us": 500000,
			"ramp_time_us": 22000000, "tip_after_us": 2000000, "tip_multiple": 2.5,
		},
		"over_share_worth": 0.05, "profiles": profiles,
		"reporting": map[string]any{"fields": []string{"load_share", "err_ps", "depth"}, "via": "piggyback"},
		"tenants":   []map[string]any{{"name": "kereta-raya", "quota_rps": 1000.0, "share": 1.0}},
		"tiers":     []string{"planner"}, "stage": 0, "weights": "silent", "worth_by": "request",
	}
}
