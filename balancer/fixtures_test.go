package balancer

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// settings returns valid settings with one class of each repeat kind.
func testSettings() Settings {
	return Settings{
		Zone: "near", Balancers: 2, OverQuotaFactor: 0.1, PriorityByWork: true, KeyAffinity: true,
		Classes: []Class{
			{Name: "read", LatencyObjective: 300 * ms, Deadline: time.Second, Idempotency: Idempotent, PriorityWeight: 1, LatePriorityFactor: 0.5},
			{Name: "keyed", LatencyObjective: 300 * ms, Deadline: time.Second, Idempotency: IdempotentByKey, Scope: ScopeZone, IdempotencyWindow: 400 * ms, PriorityWeight: 3},
			{Name: "write", LatencyObjective: 300 * ms, Deadline: time.Second, Idempotency: NonIdempotent, PriorityWeight: 2},
		},
		Tenants:      []Tenant{{Name: "big", Quota: 200}, {Name: "small", Quota: 20}},
		Limits:       Limits{AllowCancel: true, AllowHealthChecks: true, MaxAttempts: 4},
		Obligations:  Obligations{PollInterval: 10 * time.Second, SlowStartFrom: 0.3, SlowStartWindow: 9 * time.Second, OverloadMultiple: 3, OverloadWindow: 1500 * ms, DrainGrace: time.Second, AnswerSlack: 20 * ms},
		Weights:      WeightNominal,
		Reports:      ReportInResponses,
		EventSpacing: 5 * ms,
	}
}

// variants are settings that ask the rules differently.
func settingsVariants() map[string]Settings {
	all, cell, copies, asked := testSettings(), testSettings(), testSettings(), testSettings()
	all.Classes[1].Scope = ScopeAll
	cell.Classes[1].Scope, cell.Limits.AllowHedging = ScopeCell, true
	copies.Limits.AllowHedging, copies.Limits.AllowCancel, copies.KeyAffinity = true, false, false
	asked.PollDiscovery, asked.Reports, asked.PriorityByWork = true, ReportInHealthChecks, false
	many := testSettings()
	many.Balancers, many.Rank, many.Limits.AllowHedging, many.Weights = 5, 4, true, WeightLive
	return map[string]Settings{"zone": testSettings(), "all": all, "cell": cell, "copies": copies, "asked": asked, "many": many}
}

// fleet returns n active upstreams, long started, in two zones and three cells.
func fleet(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: EndpointID(i + 1), Zone: []string{"near", "far"}[i%2], Cell: i % 3, Weight: 1}
	}
	return list
}

// oneZone puts upstreams into the zone of settings, where shares alone decide.
func oneZone(list []Endpoint) []Endpoint {
	for i := range list {
		list[i].Zone = "near"
	}
	return list
}

// sited returns upstreams, so many in each named zone.
func endpointsInZones(zones map[string]int, order ...string) []Endpoint {
	var list []Endpoint
	for _, z := range order {
		for range zones[z] {
			list = append(list, Endpoint{ID: EndpointID(len(list) + 1), Zone: z, Weight: 1})
		}
	}
	return list
}

func fourZones(n int) []Endpoint {
	return endpointsInZones(map[string]int{"near": n, "b": n, "c": n, "d": n}, "near", "b", "c", "d")
}

// start returns a Balancer with a list, and its recorder.
func newTestBalancer(t *testing.T, s Settings, list []Endpoint) (*Balancer, *recorder) {
	t.Helper()
	effects := &recorder{}
	b, err := New(s, 1, time.Hour, effects)
	if err != nil {
		t.Fatal(err)
	}
	b.OnEndpointUpdate(time.Hour, UpdateCached, list)
	return b, effects
}

// serve sends a request and answers it at once; it returns the upstream that got it.
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

// answered sends n reads and ends every attempt as its zone does; it tells how many attempts each zone got.
func sendReads(b *Balancer, now time.Duration, first RequestID, n int, of map[string]Status) (after time.Duration, got map[string]int) {
	got = map[string]int{}
	for i := range n {
		id := first + RequestID(i)
		now += 20 * ms
		b.OnRequest(now, Request{ID: id, Class: "read", Timeout: time.Second})
		for r := b.requests[id]; r != nil && !r.finished && r.inFlight > 0; r = b.requests[id] {
			k := len(r.attempts) - 1
			e := r.attempts[k].endpoint
			got[e.Zone]++
			b.OnAttemptResult(now, AttemptResult{ID: id, Endpoint: e.ID, Attempt: k, Latency: 50 * ms, Status: of[e.Zone], RequestClosed: of[e.Zone] == OK})
		}
		b.OnTimer(now, tickToken)
	}
	return now, got
}

// periods lets n periods go by in which each upstream reads as use has it for its zone.
func runPeriods(b *Balancer, now time.Duration, n int, use map[string]float64) time.Duration {
	for range n {
		now += bandPeriod
		for _, e := range b.endpoints {
			for i := range bandReadings { // a window of like readings, each a little other than the last
				b.recordUtilization(e, LoadReport{Fields: HasUtilization | HasRate, Utilization: use[e.Zone], Rate: now.Seconds() + float64(i)}, 0, now)
			}
		}
		b.closePeriod(now)
	}
	return now
}
