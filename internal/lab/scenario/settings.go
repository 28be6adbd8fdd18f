package scenario

import "encoding/json"

// settings is the settings object of a balancer's configuration. The platform defines the JSON names. The order of the
// fields is the order in the output.
type settings struct {
	Zone                string           `json:"az"`
	Balancers           int              `json:"balancers"`
	Family              string           `json:"family"`
	FamilyInfo          struct{}         `json:"family_info"`
	TickMicros          int64            `json:"granularity_us"`
	EndpointKinds       []string         `json:"kinds"`
	Limits              settingsLimits   `json:"limits"`
	MembershipMode      string           `json:"membership_mode"`
	Obligations         settingsRules    `json:"obligations"`
	OverQuotaWeight     float64          `json:"over_share_worth"`
	Classes             []settingsClass  `json:"profiles"`
	Rank                int              `json:"rank"`
	LoadReports         settingsReports  `json:"reporting"`
	Tenants             []settingsTenant `json:"tenants"`
	NominalWeights      string           `json:"weights"`
	PriorityWeightUnits string           `json:"worth_by"`
	Zones               []string         `json:"zones"`
}

// settingsLimits is the features and resources that a balancer may use. Durations are in microseconds.
type settingsLimits struct {
	Cancel          bool  `json:"cancel"`
	ConnectTimeout  int64 `json:"connect_timeout_us"`
	KeepAlive       int64 `json:"keepalive_us"`
	MaxAttempts     int   `json:"max_attempts"`
	MaxRetryAfter   int64 `json:"max_retry_after_us"`
	Peers           bool  `json:"peers"`
	HealthChecks    bool  `json:"probes"`
	RetryAfter      bool  `json:"retry_after"`
	HedgedRequests  bool  `json:"second_copies"`
	RequestsPerConn int   `json:"streams_per_conn"`
}

// settingsRules is the requirements that a balancer has to meet. Durations are in microseconds.
type settingsRules struct {
	AnswerSlack           int64   `json:"answer_slack_us"`
	DiscoveryPollInterval int64   `json:"ask_within_us"`
	SlowStartCapacity     float64 `json:"cold_from"` // ratio to the full capacity
	DrainGrace            int64   `json:"drain_grace_us"`
	SlowStart             int64   `json:"ramp_time_us"`
	OverloadWindow        int64   `json:"tip_after_us"`
	OverloadMultiple      float64 `json:"tip_multiple"`
}

// settingsClass is a class of requests. Durations are in microseconds.
type settingsClass struct {
	Deadline          int64   `json:"give_up_us"`
	Group             string  `json:"group"`
	LateWeight        float64 `json:"late_worth"`
	IdempotencyWindow int64   `json:"memory_span_us"`
	Name              string  `json:"name"`
	Repeat            string  `json:"repeat"`
	Stream            bool    `json:"stream"`
	LatencyObjective  int64   `json:"target_us"`
	PriorityWeight    float64 `json:"worth"`
}

// settingsTenant is a tenant with its quota, both as a share of the fleet's capacity and in requests a second.
type settingsTenant struct {
	Name      string  `json:"name"`
	QuotaRate float64 `json:"quota_rps"`
	Quota     float64 `json:"share"`
}

// settingsReports is the contents of load reports and how upstreams send them.
type settingsReports struct {
	Fields []string `json:"fields"`
	Via    string   `json:"via"`
}

const (
	tickMicros            = 5_000
	answerSlackMicros     = 20_000
	discoveryPollMicros   = 10_000_000
	overQuotaWeight       = 0.05 // ratio to the weight within the quota
	requestsPerConnection = 1
)

// repeatNames maps the values of "repeat" in a scenario file to those in the settings.
var repeatNames = map[string]string{"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}

// Settings returns the settings object for the configuration of balancer b, in the platform's JSON format. The balancer
// decodes it with the same code in both engines.
func (s *Scenario) Settings(f *Fleet, b int) json.RawMessage {
	text, err := json.Marshal(settings{
		Zone:                f.Locality(f.Balancers[b].Zone),
		Balancers:           len(f.Balancers),
		Family:              "proxy",
		TickMicros:          tickMicros,
		EndpointKinds:       s.modelNames(),
		Limits:              s.settingsLimits(),
		MembershipMode:      "pushed",
		Obligations:         s.settingsRules(),
		OverQuotaWeight:     overQuotaWeight,
		Classes:             s.settingsClasses(),
		Rank:                b,
		LoadReports:         settingsReports{Fields: []string{"load_share", "err_ps", "depth"}, Via: "piggyback"},
		Tenants:             s.settingsTenants(),
		NominalWeights:      "nominal",
		PriorityWeightUnits: "request",
		Zones:               f.localities(),
	})
	if err != nil {
		panic(err) // only numbers, strings and booleans, which can always be encoded
	}
	return text
}

func (s *Scenario) modelNames() []string {
	names := []string{}
	for name := range s.Models {
		names = append(names, name)
	}
	return names
}

func (f *Fleet) localities() []string {
	zones := []string{}
	for z := range f.Zones {
		zones = append(zones, f.Locality(z))
	}
	return zones
}

func (s *Scenario) settingsLimits() settingsLimits {
	l := s.Balancer
	return settingsLimits{
		Cancel:          true,
		ConnectTimeout:  micros(l.ConnectTimeout),
		KeepAlive:       micros(l.KeepAlive),
		MaxAttempts:     l.MaxAttempts,
		MaxRetryAfter:   micros(l.RetryAfter),
		HealthChecks:    l.Probes,
		RetryAfter:      l.RetryAfter > 0,
		HedgedRequests:  l.SecondCopies,
		RequestsPerConn: requestsPerConnection,
	}
}

// settingsRules returns the requirements. The settings have one slow start for all models: the longest duration and the
// lowest capacity at its start.
func (s *Scenario) settingsRules() settingsRules {
	capacity := 1.0
	slowStart := Duration(0)
	for _, m := range s.Models {
		capacity = min(capacity, m.ColdFrom)
		slowStart = max(slowStart, m.Warm)
	}
	l := s.Balancer
	return settingsRules{
		AnswerSlack:           answerSlackMicros,
		DiscoveryPollInterval: discoveryPollMicros,
		SlowStartCapacity:     capacity,
		DrainGrace:            micros(l.DrainGrace),
		SlowStart:             micros(slowStart),
		OverloadWindow:        micros(l.TipAfter),
		OverloadMultiple:      l.TipMultiple,
	}
}

func (s *Scenario) settingsClasses() []settingsClass {
	classes := []settingsClass{}
	for _, c := range s.Classes {
		classes = append(classes, settingsClass{
			Deadline:          micros(c.Deadline),
			Group:             c.Group,
			IdempotencyWindow: micros(c.Memory),
			Name:              c.Name,
			Repeat:            repeatNames[c.Repeat],
			LatencyObjective:  micros(c.Aim),
			PriorityWeight:    c.Worth,
		})
	}
	return classes
}

func (s *Scenario) settingsTenants() []settingsTenant {
	tenants := []settingsTenant{}
	for _, t := range s.Tenants {
		tenants = append(tenants, settingsTenant{Name: t.Name, QuotaRate: t.Quota, Quota: t.Share})
	}
	return tenants
}

// micros converts a duration to microseconds, the unit of the settings object.
func micros(x Duration) int64 { return x.D().Microseconds() }
