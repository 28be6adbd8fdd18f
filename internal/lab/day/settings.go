package day

import "encoding/json"

// repeatNames are, for each kind of repeat in a day file, that of the settings.
var repeatNames = map[string]string{"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}

// Settings is the settings object that balancer b reads from its configuration, in the form of the platform. Both
// engines hand it to the program through the same decoder.
func (d *Day) Settings(f *Fleet, b int) json.RawMessage {
	type object = map[string]any
	us := func(x Duration) int64 { return x.D().Microseconds() }
	from, warm := 1.0, Duration(0)
	kinds := []string{}
	for name, m := range d.Models {
		from, warm = min(from, m.ColdFrom), max(warm, m.Warm)
		kinds = append(kinds, name)
	}
	zones := []string{}
	for z := range f.Zones {
		zones = append(zones, f.Locality(z))
	}
	profiles := []object{}
	for _, c := range d.Classes {
		profiles = append(profiles, object{"name": c.Name, "repeat": repeatNames[c.Repeat], "group": c.Group,
			"memory_span_us": us(c.Memory), "target_us": us(c.Aim), "give_up_us": us(c.Deadline), "worth": c.Worth,
			"late_worth": 0.0, "stream": false})
	}
	tenants := []object{}
	for _, t := range d.Tenants {
		tenants = append(tenants, object{"name": t.Name, "share": t.Share, "quota_rps": t.Quota})
	}
	l := d.Balancer
	text, err := json.Marshal(object{
		"az": f.Locality(f.Balancers[b].Zone), "balancers": len(f.Balancers), "rank": b, "granularity_us": 5000,
		"membership_mode": "pushed", "weights": "nominal", "worth_by": "request", "over_share_worth": 0.05,
		"family": "proxy", "family_info": object{}, "kinds": kinds, "zones": zones,
		"limits": object{"cancel": true, "connect_timeout_us": us(l.ConnectTimeout), "keepalive_us": us(l.KeepAlive),
			"max_attempts": l.MaxAttempts, "max_retry_after_us": us(l.RetryAfter), "probes": l.Probes,
			"retry_after": l.RetryAfter > 0, "second_copies": l.SecondCopies, "peers": false, "streams_per_conn": 1},
		"obligations": object{"answer_slack_us": 20000, "ask_within_us": 10000000, "cold_from": from,
			"drain_grace_us": us(l.DrainGrace), "ramp_time_us": us(warm), "tip_after_us": us(l.TipAfter),
			"tip_multiple": l.TipMultiple},
		"profiles": profiles, "tenants": tenants,
		"reporting": object{"fields": []string{"load_share", "err_ps", "depth"}, "via": "piggyback"},
	})
	if err != nil {
		panic(err) // all of it is plain figures and names
	}
	return text
}
