package balancer

import (
	"math"
	"testing"
	"time"
)

func TestLimitOfSaturatedEndpointIsReducedAndRecovers(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fleet(1))
	e, now := b.endpoints[0], time.Hour
	answer := func(id RequestID, lat time.Duration) {
		now += time.Second
		b.OnRequest(now, Request{ID: id, Class: "write", Timeout: time.Second})
		if r := b.requests[id]; r != nil && r.inFlight == 1 {
			now += lat
			b.OnAttemptResult(now, AttemptResult{ID: id, Endpoint: e.ID, Latency: lat, Status: OK, RequestClosed: true})
		}
	}
	for i := range 30 {
		answer(RequestID(i+1), 80*ms)
	}
	healthy := e.limit.current
	for i := range 20 {
		answer(RequestID(i+100), 290*ms)
	}
	if e.limit.current > healthy/4 {
		t.Errorf("bound %v after late answers, %v before", e.limit.current, healthy)
	}
	e.limit.pausedUntil = now
	answer(500, 80*ms)
	if e.limit.current < b.initialLimit {
		t.Error("the bound does not come back with a good answer")
	}
}

// With many balancers the trickle of all together once kept a choked server from the rest it needs.
func TestMinLimitIsSharedByAllBalancers(t *testing.T) {
	for _, n := range []int{2, 24} {
		s := testSettings()
		s.Balancers = n
		b, _ := newTestBalancer(t, s, fleet(1))
		for i := range 60 {
			b.reduceLimit(b.endpoints[0], time.Hour+time.Duration(i)*time.Second, limitReduction)
		}
		if total := b.endpoints[0].limit.current * float64(n); math.Abs(total-minFleetLimit) > 1e-9 {
			t.Errorf("%d balancers: %v attempts over all, want %v", n, total, minFleetLimit)
		}
	}
}

// A balancer that started while a server was choked once took its slow answers for usual.
func TestEndpointSaturatedFromTheStartIsJudgedByFleetBaseline(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fleet(8))
	for _, e := range b.endpoints {
		e.utilization.readings, e.utilization.mean, e.latency.baseline = 1, 0.9, float64(60*ms)
	}
	e := b.endpoints[3]
	e.latency.baseline = 0
	b.closePeriod(time.Hour + bandPeriod)
	a := &attempt{request: &request{class: b.classes["write"], workUnits: 1}, endpoint: e}
	b.observeResult(a, AttemptResult{Latency: 200 * ms, Status: OK}, time.Hour+2*bandPeriod)
	if e.limit.current >= b.initialLimit {
		t.Errorf("bound %v after an answer three times as slow as the fleet's calm", e.limit.current)
	}
}

// Many balancers that started together once sent to every server at once and choked the fleet.
func TestInitialLimitIsSharedByAllBalancers(t *testing.T) {
	for _, n := range []int{2, 8, 24} { // of 24 each uses some of the upstreams, or else all
		got := map[EndpointID]int{}
		for rank := range n {
			s := testSettings()
			s.Balancers, s.Rank = n, rank
			b, err := New(s, uint64(rank), time.Hour, &recorder{})
			if err != nil {
				t.Fatal(err)
			}
			b.OnEndpointUpdate(time.Hour, UpdateCached, fleet(20))
			for i := range 200 { // more than it may have out at once
				b.OnRequest(time.Hour, Request{ID: RequestID(i + 1), Class: "write", Timeout: time.Second})
			}
			for _, e := range b.endpoints {
				got[e.ID] += len(e.attempts)
			}
		}
		for id, sent := range got {
			if sent > initialFleetLimit {
				t.Errorf("upstream %d was sent %d at once by %d balancers", id, sent, n)
			}
		}
		if n == 2 && got[1] != initialFleetLimit { // at three, a fifth of the requests was refused until bounds had grown
			t.Errorf("an upstream was sent %d at first by 2 balancers, want %v", got[1], initialFleetLimit)
		}
	}
}

// Balancers that began in overload once let bounds grow at servers that were busy already.
func TestLimitDoesNotGrowAtFullUtilization(t *testing.T) {
	for _, c := range []struct {
		use   float64
		grows bool
	}{{0.5, true}, {0.97, false}} {
		b, _ := newTestBalancer(t, testSettings(), fleet(1))
		e := b.endpoints[0]
		e.utilization.mean, e.utilization.readings, b.saturatedAt = c.use, bandReadings, time.Hour
		before := e.limit.current
		b.observeResult(&attempt{request: &request{class: b.classes["write"], workUnits: 1}, endpoint: e}, AttemptResult{Latency: 50 * ms, Status: OK}, time.Hour)
		if (e.limit.current > before) != c.grows {
			t.Errorf("use %v: bound %v, then %v", c.use, before, e.limit.current)
		}
	}
}

// One balancer of four was left for ten seconds, and refused most of its requests beside idle servers: live
// weights rise with idleness, and a server of weight 3 was judged against a third of the fleet's latency.
func TestIdleEndpointOfHighWeightIsNotTakenForSaturated(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fleet(4))
	for _, e := range b.endpoints {
		e.utilization.mean, e.utilization.readings, e.latency.workUnits, e.latency.mean = 0.2, bandReadings, 1, float64(50*ms)
	}
	b.closePeriod(time.Hour)
	e := b.endpoints[0]
	e.weight, e.limit.current, b.saturatedAt = 3, 2, time.Hour
	b.observeResult(&attempt{request: &request{class: b.classes["write"], workUnits: 1}, endpoint: e}, AttemptResult{Latency: 55 * ms, Status: OK}, time.Hour)
	if e.limit.current <= 2 {
		t.Errorf("bound %v, want more than 2", e.limit.current)
	}
}

// Where many balancers see few answers each, a server whose latency merely varies was cut again and again.
func TestVaryingLatencyIsNotSaturation(t *testing.T) {
	set := testSettings()
	set.Balancers = 8
	b, _ := newTestBalancer(t, set, fleet(4))
	e := b.endpoints[0]
	for i := range 30 {
		lat := []time.Duration{190, 60, 60, 60}[i%4] * ms
		now := 2*time.Hour + time.Duration(i)*time.Second
		b.observeResult(&attempt{request: &request{class: b.classes["write"], workUnits: 1}, endpoint: e}, AttemptResult{Latency: lat, Status: OK}, now)
		if i > 8 && e.limit.current < b.initialLimit {
			t.Fatalf("answer %d after %v: bound %v, want %v", i, lat, e.limit.current, b.initialLimit)
		}
	}
}

// Bounds once doubled each round trip: many balancers choked a fleet before the first reading told of full use.
func TestLimitAtMostDoublesInAPeriod(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fleet(1))
	e := b.endpoints[0]
	e.utilization.readings, e.utilization.mean = 1, 0.5
	answers := func(now time.Duration) {
		for range 50 {
			b.saturatedAt = now
			b.observeResult(&attempt{request: &request{class: b.classes["write"], workUnits: 1}, endpoint: e}, AttemptResult{Latency: 10 * ms, Status: OK}, now)
		}
	}
	answers(time.Hour)
	if e.limit.current != initialFleetLimit {
		t.Errorf("bound %v before the first period has passed, want %v", e.limit.current, initialFleetLimit)
	}
	b.closePeriod(time.Hour + bandPeriod)
	answers(time.Hour + bandPeriod)
	if e.limit.current != 2*initialFleetLimit {
		t.Errorf("bound %v in the next period, want %v", e.limit.current, 2*initialFleetLimit)
	}
}

// Single late answers are chance where latency varies; each once cut the bound, and turns were refused.
func TestOnlySaturationReducesLimit(t *testing.T) {
	for _, c := range []struct {
		name  string
		lat   time.Duration
		calm  time.Duration
		short bool
	}{
		{"usual latency near the aim", 280 * ms, 200 * ms, false},
		{"twice the calm latency, a third of the aim", 100 * ms, 50 * ms, false},
		{"twice the calm latency, most of the aim", 240 * ms, 120 * ms, true},
	} {
		b, _ := newTestBalancer(t, testSettings(), fleet(1))
		e := b.endpoints[0]
		e.latency.mean, e.latency.workUnits, e.latency.smoothed, e.latency.baseline = float64(c.lat), 1, float64(c.calm), float64(c.calm)
		b.observeResult(&attempt{request: &request{class: b.classes["write"], workUnits: 1}, endpoint: e}, AttemptResult{Latency: c.lat, Status: OK}, 2*time.Hour)
		if (e.limit.current < b.initialLimit) != c.short {
			t.Errorf("%s: bound %v, at first %v", c.name, e.limit.current, b.initialLimit)
		}
	}
}

// Where work and waits on others vary, an answer is often slow beside an idle server. Such answers alone once held
// the bound at its start, and four requests in five were refused while readings told of a quarter of full use.
func TestSlowResponsesWithHeadroomDoNotReduceLimit(t *testing.T) {
	for _, c := range []struct {
		balancers  int
		use, queue float64
		grows      bool
	}{{2, 0.25, 0, true}, {8, 0.25, 0, true}, {2, 0.95, 0, false}, {8, 0.95, 0, false}, {2, 0.5, 3, false}} {
		s := testSettings()
		s.Balancers = c.balancers
		b, _ := newTestBalancer(t, s, fleet(1))
		e, now := b.endpoints[0], 2*time.Hour
		for i := range 20 {
			now += time.Second
			b.saturatedAt = now
			e.utilization.readings, e.utilization.mean, e.utilization.lastReport.Queue = 1, c.use, c.queue
			lat := []time.Duration{90, 250}[i%2] * ms
			b.observeResult(&attempt{request: &request{class: b.classes["write"], workUnits: 1}, endpoint: e}, AttemptResult{Latency: lat, Status: OK}, now)
		}
		if grew := e.limit.current >= min(2*b.initialLimit, e.limit.ceiling); grew != c.grows {
			t.Errorf("%+v: bound %v, at first %v", c, e.limit.current, b.initialLimit)
		}
	}
}

// Requests come by chance. Spaced evenly by its pause, a thin flow left turns unused and refused at others.
func TestIdleEndpointMayTakeOneAttemptBeforePausing(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fleet(1))
	e := b.endpoints[0]
	e.limit.current, e.latency.mean = 0.2, float64(100*ms)
	answer := func(sent time.Duration) {
		e.limit.current = 0.2
		a := &attempt{request: &request{class: b.classes["write"], workUnits: 1}, endpoint: e, sentAt: sent}
		b.observeResult(a, AttemptResult{Latency: 100 * ms, Status: Error}, sent+100*ms)
	}
	now := 2 * time.Hour // idle for long
	if answer(now); e.limit.pausedUntil > now+100*ms {
		t.Errorf("after one attempt: free after %v", e.limit.pausedUntil-now)
	}
	if answer(now + 100*ms); e.limit.pausedUntil < now+500*ms {
		t.Errorf("after two in a row: free after %v", e.limit.pausedUntil-now)
	}
}

// Attempts whose answers are lost time out at idle servers as at full ones. They once cut the bounds of all, and a
// fleet that idled was refused to clients.
func TestTimeoutWithHeadroomDoesNotReduceLimit(t *testing.T) {
	for _, c := range []struct {
		readings int
		use      float64
		cut      bool
	}{{bandReadings, 0.2, false}, {bandReadings, 0.95, true}, {0, 0, true}} {
		b, _ := newTestBalancer(t, testSettings(), fleet(1))
		e := b.endpoints[0]
		e.utilization.readings, e.utilization.mean, e.limit.current = c.readings, c.use, 8
		b.observeResult(&attempt{request: &request{class: b.classes["write"], workUnits: 1}, endpoint: e}, AttemptResult{Latency: time.Second, Status: Timeout}, 2*time.Hour)
		if (e.limit.current < 8) != c.cut {
			t.Errorf("%+v: bound %v, 8 before", c, e.limit.current)
		}
	}
}

// Where a class's latency is near half its aim, a request that finds no turn can't be held and is refused at once. Only
// held ones once counted as short turns, so bounds stayed low beside such refusals and idle servers.
func TestImmediateRejectionCountsAsSaturation(t *testing.T) {
	s := testSettings()
	s.Balancers = 8 // one attempt at once for each
	b, effects := newTestBalancer(t, s, fleet(1))
	e, now := b.endpoints[0], 2*time.Hour
	b.classes["read"].latency = float64(200 * ms)
	e.limit.pausedUntil = 0
	for id := range RequestID(2) {
		b.OnRequest(now, Request{ID: id + 1, Class: "read", Timeout: time.Second})
	}
	if effects.count("send") != 1 || effects.count("refuse") != 1 {
		t.Fatalf("want one sent and one refused: %v", effects.calls)
	}
	e.utilization.readings, e.utilization.mean = 1, 0.3
	b.OnAttemptResult(now+50*ms, AttemptResult{ID: 1, Endpoint: e.ID, Latency: 50 * ms, Status: OK, RequestClosed: true})
	if e.limit.current != b.initialLimit+limitGrowth {
		t.Errorf("bound %v after an answer beside a refusal, want %v", e.limit.current, b.initialLimit+limitGrowth)
	}
}
