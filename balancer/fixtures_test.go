package balancer

import (
	"math"
	"testing"
	"time"
)

const (
	ms        = time.Millisecond
	tolerance = 1e-9 // for comparisons of floating-point values
)

// testSettings returns valid settings with one class of each kind of idempotency.
func testSettings() Settings {
	return Settings{
		Zone:            "near",
		Balancers:       2,
		OverQuotaFactor: 0.1,
		PriorityByWork:  true,
		KeyAffinity:     true,
		Classes: []Class{
			{Name: "read", LatencyObjective: 300 * ms, Deadline: time.Second, PriorityWeight: 1, LatePriorityFactor: 0.5,
				Idempotency: Idempotent},
			{Name: "keyed", LatencyObjective: 300 * ms, Deadline: time.Second, PriorityWeight: 3,
				Idempotency: IdempotentByKey, Scope: ScopeZone, IdempotencyWindow: 400 * ms},
			{Name: "write", LatencyObjective: 300 * ms, Deadline: time.Second, PriorityWeight: 2,
				Idempotency: NonIdempotent},
		},
		Tenants: []Tenant{{Name: "big", Quota: 200}, {Name: "small", Quota: 20}},
		Limits:  Limits{AllowCancel: true, AllowHealthChecks: true, MaxAttempts: 4},
		Obligations: Obligations{
			PollInterval:     10 * time.Second,
			SlowStartFrom:    0.3,
			SlowStartWindow:  9 * time.Second,
			OverloadMultiple: 3,
			OverloadWindow:   1500 * ms,
			DrainGrace:       time.Second,
			AnswerSlack:      20 * ms,
		},
		Weights:      WeightNominal,
		Reports:      ReportInResponses,
		EventSpacing: 5 * ms,
	}
}

// settingsVariants returns settings that exercise different rules, by name. The names are part of testdata/actions.txt.
func settingsVariants() map[string]Settings {
	allScope := testSettings()
	allScope.Classes[1].Scope = ScopeAll

	cellScope := testSettings()
	cellScope.Classes[1].Scope = ScopeCell
	cellScope.Limits.AllowHedging = true

	hedging := testSettings()
	hedging.Limits.AllowHedging = true
	hedging.Limits.AllowCancel = false
	hedging.KeyAffinity = false

	polling := testSettings()
	polling.PollDiscovery = true
	polling.Reports = ReportInHealthChecks
	polling.PriorityByWork = false

	manyBalancers := testSettings()
	manyBalancers.Balancers = 5
	manyBalancers.Rank = 4
	manyBalancers.Limits.AllowHedging = true
	manyBalancers.Weights = WeightLive

	return map[string]Settings{
		"zone":   testSettings(),
		"all":    allScope,
		"cell":   cellScope,
		"copies": hedging,
		"asked":  polling,
		"many":   manyBalancers,
	}
}

// fleet returns n active endpoints in two zones and three cells that have all been started long ago.
func fleet(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: EndpointID(i + 1), Zone: []string{"near", "far"}[i%2], Cell: i % 3, Weight: 1}
	}
	return list
}

// oneZone moves endpoints into the zone of testSettings, so that locality does not affect traffic shares.
func oneZone(list []Endpoint) []Endpoint {
	for i := range list {
		list[i].Zone = "near"
	}
	return list
}

// endpointsInZones returns counts[zone] endpoints for each zone in the given order.
func endpointsInZones(counts map[string]int, order ...string) []Endpoint {
	var list []Endpoint
	for _, zone := range order {
		for range counts[zone] {
			list = append(list, Endpoint{ID: EndpointID(len(list) + 1), Zone: zone, Weight: 1})
		}
	}
	return list
}

// fourZones returns n endpoints in each of four zones. The first zone is that of testSettings.
func fourZones(n int) []Endpoint {
	return endpointsInZones(map[string]int{"near": n, "b": n, "c": n, "d": n}, "near", "b", "c", "d")
}

// newTestBalancer returns a Balancer with an endpoint list, and the recorder of its effects.
func newTestBalancer(t *testing.T, settings Settings, list []Endpoint) (*Balancer, *recorder) {
	t.Helper()
	effects := &recorder{}
	b, err := New(settings, 1, time.Hour, effects)
	if err != nil {
		t.Fatal(err)
	}
	b.OnEndpointUpdate(time.Hour, UpdateCached, list)
	return b, effects
}

// serveRequest sends a request, reports its success at once and returns the endpoint that served it.
func serveRequest(t *testing.T, b *Balancer, now time.Duration, id RequestID) *endpoint {
	t.Helper()
	b.OnRequest(now, Request{ID: id, Class: "write", Timeout: time.Second})
	r := b.requests[id]
	if r == nil || r.inFlight != 1 {
		t.Fatalf("request %d was not sent", id)
	}
	e := r.attempts[0].endpoint
	b.OnAttemptResult(now, AttemptResult{ID: id, Endpoint: e.ID, Latency: 50 * ms, Status: OK, RequestClosed: true})
	return e
}

// sendReads sends n reads and ends every attempt with the status given for its zone. It returns the time after the last
// request, and the number of attempts in each zone.
func sendReads(b *Balancer, now time.Duration, first RequestID, n int, statuses map[string]Status) (time.Duration, map[string]int) {
	attempts := map[string]int{}
	for i := range n {
		id := first + RequestID(i)
		now += 20 * ms
		b.OnRequest(now, Request{ID: id, Class: "read", Timeout: time.Second})
		for r := b.requests[id]; r != nil && !r.finished && r.inFlight > 0; r = b.requests[id] {
			index := len(r.attempts) - 1
			e := r.attempts[index].endpoint
			attempts[e.Zone]++
			status := statuses[e.Zone]
			b.OnAttemptResult(now, AttemptResult{
				ID: id, Endpoint: e.ID, Attempt: index, Latency: 50 * ms, Status: status, RequestClosed: status == OK,
			})
		}
		b.OnTimer(now, tickToken)
	}
	return now, attempts
}

// observeWrite reports the result of a write of mean work at an endpoint, without a recorded request or attempt.
func observeWrite(b *Balancer, e *endpoint, status Status, latency, now time.Duration) {
	a := &attempt{request: &request{class: b.clients.classes["write"], workUnits: 1}, endpoint: e}
	b.observeResult(a, AttemptResult{Latency: latency, Status: status}, now)
}

// startRead starts an attempt of a read at the given endpoint, whichever the Balancer would choose.
func startRead(b *Balancer, e *endpoint, id RequestID, now time.Duration) {
	r := &request{
		Request:   Request{ID: id, Timeout: time.Second},
		class:     b.clients.classes["read"],
		workUnits: 1,
		deadline:  now + time.Second,
	}
	b.requests[id] = r
	b.startAttempt(r, e, now)
}

// setUtilization sets the number and the mean of an endpoint's utilization readings.
func setUtilization(e *endpoint, readings int, mean float64) {
	e.utilization.readings = readings
	e.utilization.mean = mean
}

// runPeriods simulates n periods in which each endpoint reports the utilization given for its zone. It returns the end time.
func runPeriods(b *Balancer, now time.Duration, n int, utilization map[string]float64) time.Duration {
	for range n {
		now += bandPeriod
		for _, e := range b.endpoints.known {
			for i := range bandWindowReadings { // a full window; the rates differ so that no report counts as repeated
				report := LoadReport{
					Fields:      HasUtilization | HasRate,
					Utilization: utilization[e.Zone],
					Rate:        now.Seconds() + float64(i),
				}
				b.recordUtilization(e, report, 0, now)
			}
		}
		b.closePeriod(now)
	}
	return now
}

// approximately reports whether two values are equal except for rounding.
func approximately(got, want float64) bool { return math.Abs(got-want) <= tolerance }
