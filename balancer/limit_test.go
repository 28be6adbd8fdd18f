package balancer

import (
	"testing"
	"time"
)

func TestLimitOfSaturatedEndpointIsReducedAndRecovers(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fleet(1))
	e := b.endpoints.known[0]
	now := time.Hour
	serve := func(id RequestID, latency time.Duration) {
		now += time.Second
		b.OnRequest(now, Request{ID: id, Class: "write", Timeout: time.Second})
		r := b.requests[id]
		if r != nil && r.inFlight == 1 {
			now += latency
			b.OnAttemptResult(now, AttemptResult{ID: id, Endpoint: e.ID, Latency: latency, Status: OK, RequestClosed: true})
		}
	}
	for i := range 30 {
		serve(RequestID(i+1), 80*ms)
	}
	healthy := e.limit.current
	for i := range 20 {
		serve(RequestID(i+100), 290*ms)
	}
	if e.limit.current > healthy/4 {
		t.Errorf("limit %v after slow responses, want a quarter of %v at most", e.limit.current, healthy)
	}
	e.limit.pausedUntil = now
	serve(500, 80*ms)
	if e.limit.current < b.endpoints.initialLimit {
		t.Errorf("limit %v after a fast response, want %v at least", e.limit.current, b.endpoints.initialLimit)
	}
}

// Regression: with many balancers, the sum of their minimum limits was too high for a saturated endpoint to recover.
func TestMinLimitIsSharedByAllBalancers(t *testing.T) {
	for _, balancers := range []int{2, 24} {
		settings := testSettings()
		settings.Balancers = balancers
		b, _ := newTestBalancer(t, settings, fleet(1))
		e := b.endpoints.known[0]
		for i := range 60 {
			b.reduceLimit(e, time.Hour+time.Duration(i)*time.Second, limitReductionFactor)
		}
		total := e.limit.current * float64(balancers)
		if !approximately(total, minFleetLimitAttempts) {
			t.Errorf("%d balancers: their limits sum to %v, want %v", balancers, total, minFleetLimitAttempts)
		}
	}
}

// Regression: a balancer that started while an endpoint was saturated took the latency of slow responses as the baseline.
func TestEndpointSaturatedFromTheStartIsJudgedByFleetBaseline(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fleet(8))
	for _, e := range b.endpoints.known {
		setUtilization(e, 1, 0.9)
		e.latency.baseline = float64(60 * ms)
	}
	e := b.endpoints.known[3]
	e.latency.baseline = 0
	b.closePeriod(time.Hour + bandPeriod)
	observeWrite(b, e, OK, 200*ms, time.Hour+2*bandPeriod)
	if e.limit.current >= b.endpoints.initialLimit {
		t.Errorf("limit %v after a response three times as slow as the fleet's baseline, want less than %v",
			e.limit.current, b.endpoints.initialLimit)
	}
}

// Regression: many balancers that started together each sent up to their limits to every endpoint and overloaded the fleet.
func TestInitialLimitIsSharedByAllBalancers(t *testing.T) {
	for _, balancers := range []int{2, 8, 24} { // each of 24 balancers uses a subset of the endpoints; fewer use all of them
		attempts := map[EndpointID]int{}
		for rank := range balancers {
			settings := testSettings()
			settings.Balancers = balancers
			settings.Rank = rank
			b, err := New(settings, uint64(rank), time.Hour, &recorder{})
			if err != nil {
				t.Fatal(err)
			}
			b.OnEndpointUpdate(time.Hour, UpdateCached, fleet(20))
			for i := range 200 { // more than the limits allow
				b.OnRequest(time.Hour, Request{ID: RequestID(i + 1), Class: "write", Timeout: time.Second})
			}
			for _, e := range b.endpoints.known {
				attempts[e.ID] += len(e.attempts)
			}
		}
		for id, n := range attempts {
			if n > initialFleetLimitAttempts {
				t.Errorf("endpoint %d got %d attempts at once from %d balancers", id, n, balancers)
			}
		}
		if balancers == 2 && attempts[1] != initialFleetLimitAttempts {
			t.Errorf("endpoint 1 got %d attempts at once from 2 balancers, want %v", attempts[1], initialFleetLimitAttempts)
		}
	}
}

// Regression: balancers that started under overload raised the limits of endpoints that were already fully utilized.
func TestLimitDoesNotGrowAtFullUtilization(t *testing.T) {
	for _, test := range []struct {
		utilization float64
		wantGrowth  bool
	}{{0.5, true}, {0.97, false}} {
		b, _ := newTestBalancer(t, testSettings(), fleet(1))
		b.blocking.saturatedAt = time.Hour
		e := b.endpoints.known[0]
		setUtilization(e, bandWindowReadings, test.utilization)
		before := e.limit.current
		observeWrite(b, e, OK, 50*ms, time.Hour)
		if (e.limit.current > before) != test.wantGrowth {
			t.Errorf("utilization %v: limit %v, then %v; want growth: %v", test.utilization, before, e.limit.current, test.wantGrowth)
		}
	}
}

// Regression: live weights rise as endpoints become idle, and an endpoint of weight 3 was compared with a third of the
// fleet's latency. One balancer of four rejected most of its requests for 10 s while endpoints were idle.
func TestIdleEndpointOfHighWeightIsNotTakenForSaturated(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fleet(4))
	for _, e := range b.endpoints.known {
		setUtilization(e, bandWindowReadings, 0.2)
		e.latency.workUnits = 1
		e.latency.mean = float64(50 * ms)
	}
	b.closePeriod(time.Hour)
	b.blocking.saturatedAt = time.Hour
	e := b.endpoints.known[0]
	e.weight = 3
	e.limit.current = 2
	observeWrite(b, e, OK, 55*ms, time.Hour)
	if e.limit.current <= 2 {
		t.Errorf("limit %v, want more than 2", e.limit.current)
	}
}

// Regression: with many balancers, each of which sees few responses, the limit of an endpoint was reduced again and again
// although its latency merely varied.
func TestVaryingLatencyIsNotSaturation(t *testing.T) {
	settings := testSettings()
	settings.Balancers = 8
	b, _ := newTestBalancer(t, settings, fleet(4))
	e := b.endpoints.known[0]
	for i := range 30 {
		latency := []time.Duration{190, 60, 60, 60}[i%4] * ms
		observeWrite(b, e, OK, latency, 2*time.Hour+time.Duration(i)*time.Second)
		if i > 8 && e.limit.current < b.endpoints.initialLimit {
			t.Fatalf("response %d after %v: limit %v, want %v", i, latency, e.limit.current, b.endpoints.initialLimit)
		}
	}
}

// Regression: limits doubled in each round trip, so that many balancers overloaded a fleet before the first reading showed
// full utilization.
func TestLimitAtMostDoublesInAPeriod(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fleet(1))
	e := b.endpoints.known[0]
	setUtilization(e, 1, 0.5)
	respond := func(now time.Duration) {
		for range 50 {
			b.blocking.saturatedAt = now
			observeWrite(b, e, OK, 10*ms, now)
		}
	}
	respond(time.Hour)
	if e.limit.current != initialFleetLimitAttempts {
		t.Errorf("limit %v in the first period, want %v", e.limit.current, initialFleetLimitAttempts)
	}
	b.closePeriod(time.Hour + bandPeriod)
	respond(time.Hour + bandPeriod)
	if e.limit.current != 2*initialFleetLimitAttempts {
		t.Errorf("limit %v in the next period, want %v", e.limit.current, 2*initialFleetLimitAttempts)
	}
}

// Regression: every single slow response reduced the limit, although some are slow by chance where latency varies.
func TestOnlySaturationReducesLimit(t *testing.T) {
	for _, test := range []struct {
		name        string
		latency     time.Duration
		baseline    time.Duration
		wantReduced bool
	}{
		{"near the baseline and the objective", 280 * ms, 200 * ms, false},
		{"twice the baseline, a third of the objective", 100 * ms, 50 * ms, false},
		{"twice the baseline, most of the objective", 240 * ms, 120 * ms, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b, _ := newTestBalancer(t, testSettings(), fleet(1))
			e := b.endpoints.known[0]
			e.latency.mean = float64(test.latency)
			e.latency.workUnits = 1
			e.latency.smoothed = float64(test.baseline)
			e.latency.baseline = float64(test.baseline)
			observeWrite(b, e, OK, test.latency, 2*time.Hour)
			if (e.limit.current < b.endpoints.initialLimit) != test.wantReduced {
				t.Errorf("limit %v, initially %v; want a reduction: %v", e.limit.current, b.endpoints.initialLimit, test.wantReduced)
			}
		})
	}
}

// Responses of an idle endpoint are often slow if its work and its waits for other services vary. Regression: such responses
// kept the limit at its initial value, and four of five requests were rejected at a utilization of a quarter.
func TestSlowResponsesWithHeadroomDoNotReduceLimit(t *testing.T) {
	for _, test := range []struct {
		balancers   int
		utilization float64
		queue       float64
		wantGrowth  bool
	}{
		{2, 0.25, 0, true},
		{8, 0.25, 0, true},
		{2, 0.95, 0, false},
		{8, 0.95, 0, false},
		{2, 0.5, 3, false},
	} {
		settings := testSettings()
		settings.Balancers = test.balancers
		b, _ := newTestBalancer(t, settings, fleet(1))
		e := b.endpoints.known[0]
		now := 2 * time.Hour
		for i := range 20 {
			now += time.Second
			b.blocking.saturatedAt = now
			setUtilization(e, 1, test.utilization)
			e.utilization.lastReport.Queue = test.queue
			latency := []time.Duration{90, 250}[i%2] * ms
			observeWrite(b, e, OK, latency, now)
		}
		grown := e.limit.current >= min(2*b.endpoints.initialLimit, e.limit.ceiling)
		if grown != test.wantGrowth {
			t.Errorf("%+v: limit %v, initially %v", test, e.limit.current, b.endpoints.initialLimit)
		}
	}
}

// Regression: with pauses of equal length between attempts, randomly arriving requests were rejected at some times, although
// an endpoint had been idle shortly before.
func TestIdleEndpointMayTakeOneAttemptBeforePausing(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fleet(1))
	e := b.endpoints.known[0]
	e.latency.mean = float64(100 * ms)
	endAttempt := func(sentAt time.Duration) {
		e.limit.current = 0.2
		a := &attempt{request: &request{class: b.clients.classes["write"], workUnits: 1}, endpoint: e, sentAt: sentAt}
		b.observeResult(a, AttemptResult{Latency: 100 * ms, Status: Error}, sentAt+100*ms)
	}
	now := 2 * time.Hour // the endpoint has been idle for a long time
	endAttempt(now)
	if e.limit.pausedUntil > now+100*ms {
		t.Errorf("paused for %v after one attempt, want 100ms at most", e.limit.pausedUntil-now)
	}
	endAttempt(now + 100*ms)
	if e.limit.pausedUntil < now+500*ms {
		t.Errorf("paused for %v after two consecutive attempts, want 500ms at least", e.limit.pausedUntil-now)
	}
}

// Attempts whose responses are lost time out at idle endpoints, too. Regression: such timeouts reduced the limits of all
// endpoints, and requests were rejected while the fleet was idle.
func TestTimeoutWithHeadroomDoesNotReduceLimit(t *testing.T) {
	for _, test := range []struct {
		readings    int
		utilization float64
		wantReduced bool
	}{{bandWindowReadings, 0.2, false}, {bandWindowReadings, 0.95, true}, {0, 0, true}} {
		b, _ := newTestBalancer(t, testSettings(), fleet(1))
		e := b.endpoints.known[0]
		setUtilization(e, test.readings, test.utilization)
		e.limit.current = 8
		observeWrite(b, e, Timeout, time.Second, 2*time.Hour)
		if (e.limit.current < 8) != test.wantReduced {
			t.Errorf("%+v: limit %v, 8 before", test, e.limit.current)
		}
	}
}

// A request that finds no endpoint is rejected immediately if the latency of its class is too close to the objective for
// queueing. Regression: only queued requests counted as saturation, so limits stayed low despite such rejections and idle
// endpoints.
func TestImmediateRejectionCountsAsSaturation(t *testing.T) {
	settings := testSettings()
	settings.Balancers = 8 // each may have one attempt in flight
	b, effects := newTestBalancer(t, settings, fleet(1))
	e := b.endpoints.known[0]
	now := 2 * time.Hour
	b.clients.classes["read"].latency = float64(200 * ms)
	e.limit.pausedUntil = 0
	for id := range RequestID(2) {
		b.OnRequest(now, Request{ID: id + 1, Class: "read", Timeout: time.Second})
	}
	if effects.count("send") != 1 || effects.count("refuse") != 1 {
		t.Fatalf("want one request sent and one rejected: %v", effects.calls)
	}
	setUtilization(e, 1, 0.3)
	b.OnAttemptResult(now+50*ms, AttemptResult{ID: 1, Endpoint: e.ID, Latency: 50 * ms, Status: OK, RequestClosed: true})
	want := b.endpoints.initialLimit + limitGrowthAttempts
	if e.limit.current != want {
		t.Errorf("limit %v after a response and a rejection, want %v", e.limit.current, want)
	}
}
