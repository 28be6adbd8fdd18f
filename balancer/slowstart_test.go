package balancer

import (
	"strings"
	"testing"
	"time"
)

// Regression: many requests with a small cost hint overloaded an endpoint that was warming up.
func TestSlowStartBudgetCountsSmallRequestsInFull(t *testing.T) {
	b, effects := newTestBalancer(t, testSettings(), oneZone(fleet(4)))
	now := time.Hour
	for i := range 4000 { // the warm endpoints serve requests for 20 s
		now += 5 * ms
		serveRequest(t, b, now, RequestID(i+1))
		if i%4 == 0 {
			b.OnTimer(now, tickToken)
		}
	}
	warming := Endpoint{ID: 9, Zone: "near", Weight: 1, StartedAt: now}
	b.OnEndpointUpdate(now, UpdateDelta, []Endpoint{warming})
	before := effects.count("send")
	for i := range 300 { // one overload window
		now += 5 * ms
		id := RequestID(10000 + i)
		b.OnRequest(now, Request{ID: id, Class: "write", Timeout: time.Second, CostHint: ms})
		if r := b.requests[id]; r != nil && r.inFlight == 1 {
			b.OnAttemptResult(now, AttemptResult{
				ID: id, Endpoint: r.attempts[0].endpoint.ID, Latency: 20 * ms, Status: OK, RequestClosed: true,
			})
		}
	}
	toWarming := 0
	for _, call := range effects.calls {
		if strings.Contains(call, " up=9 ") {
			toWarming++
		}
	}
	// A warm endpoint gets at most 75 sends in the window. Rule 4 allows about 100 for the warming one: 75 x OverloadMultiple
	// x 0.45, the fraction of its capacity that it has reached. The budget must stay well below that.
	const maxSends = 40
	sent := effects.count("send") - before
	if toWarming == 0 || toWarming > maxSends || sent < 250 {
		t.Errorf("the warming endpoint got %d of %d sends, at most %d are allowed", toWarming, sent, maxSends)
	}
}

// With many balancers, each one's part of a warming endpoint's budget is less than one request. Regression: no balancer sent
// any request before the slow start ended, and then all of them sent their full traffic share at once. Together they must
// send some requests during the slow start.
func TestSlowStartBudgetHoldsOverManyBalancers(t *testing.T) {
	const (
		balancers = 200
		window    = 1500 * ms
		warmRate  = 0.2 // requests per second that a warm endpoint gets from each balancer
	)
	settings := testSettings()
	settings.Balancers = balancers
	settings.Obligations.OverloadWindow = window
	sent := 0
	for rank := range balancers {
		settings.Rank = rank
		sent += sendToWarmingEndpoint(t, settings, warmRate)
	}
	// The requests that a warm endpoint gets from all balancers in the window, times the overload multiple and the fraction of
	// its capacity that the warming endpoint has reached at the end of the window.
	maxSends := warmRate * balancers * 3 * 0.4 * window.Seconds()
	if sent == 0 || float64(sent) > maxSends {
		t.Errorf("%d sent to a warming endpoint, want 1 to %v", sent, maxSends)
	}
}

// sendToWarmingEndpoint sends the traffic of 1.5 s through a new balancer, for which only a warming endpoint is available.
// It returns the number of attempts.
func sendToWarmingEndpoint(t *testing.T, settings Settings, warmRate float64) int {
	t.Helper()
	effects := &recorder{}
	b, err := New(settings, uint64(settings.Rank), time.Hour, effects)
	if err != nil {
		t.Fatal(err)
	}
	list := fleet(3)
	list[2].StartedAt = time.Hour
	b.OnEndpointUpdate(time.Hour, UpdateCached, list)
	b.endpoints.stats.workPerWeight = warmRate
	b.endpoints.stats.maxWorkPerWeight = warmRate
	for i := range 150 {
		for _, warm := range b.endpoints.known[:2] {
			warm.limit.pausedUntil = 2 * time.Hour
		}
		now := time.Hour + time.Duration(i)*10*ms
		id := RequestID(i + 1)
		b.OnRequest(now, Request{ID: id, Class: "read", Timeout: time.Second})
		if r := b.requests[id]; r != nil && r.inFlight > 0 {
			b.OnAttemptResult(now, AttemptResult{ID: id, Endpoint: 3, Latency: 5 * ms, Status: OK, RequestClosed: true})
		}
	}
	return effects.count("send")
}

// restartingBalancer is a Balancer that serves a request every 10 ms, and can be restarted from its snapshot. It records the
// times of sends to the first endpoint while that warms up.
type restartingBalancer struct {
	t        *testing.T
	balancer *Balancer
	settings Settings
	list     []Endpoint
	now      time.Duration
	lastID   RequestID
	sentAt   []time.Duration
}

func (r *restartingBalancer) serve() {
	r.now += 10 * ms
	r.lastID++
	r.balancer.OnRequest(r.now, Request{ID: r.lastID, Class: "read", Timeout: time.Second})
	entry := r.balancer.requests[r.lastID]
	if entry == nil || entry.inFlight == 0 {
		return
	}
	e := entry.attempts[0].endpoint
	if e.ID == r.list[0].ID && e.slowStart.active {
		r.sentAt = append(r.sentAt, r.now)
	}
	r.balancer.OnAttemptResult(r.now, AttemptResult{
		ID: r.lastID, Endpoint: e.ID, Latency: 40 * ms, Status: OK, RequestClosed: true,
		Load: LoadReport{Fields: HasUtilization, Utilization: 0.5},
	})
	r.balancer.OnTimer(r.now, tickToken)
}

func (r *restartingBalancer) restart(seed uint64) {
	r.t.Helper()
	snapshot := r.balancer.TakeSnapshot(r.now)
	b, err := New(r.settings, seed, r.now, &recorder{})
	if err != nil {
		r.t.Fatal(err)
	}
	b.OnEndpointUpdate(r.now, UpdateCached, r.list)
	b.Restore(r.now, snapshot)
	r.balancer = b
	r.lastID += 1000
}

// Rule 4 holds across restarts: the sends before a restart count, although the restored balancer does not know their number.
func TestSlowStartBudgetHoldsAcrossRestarts(t *testing.T) {
	settings := testSettings()
	list := fleet(4)
	b, _ := newTestBalancer(t, settings, list)
	r := &restartingBalancer{t: t, balancer: b, settings: settings, list: list, now: time.Hour}
	for range 800 {
		r.serve()
	}
	const warmRate = 800.0 / 4 / 8 // requests per second that a warm endpoint serves at half of its capacity: 25
	startedAt := r.now
	list[0].StartedAt = startedAt
	r.balancer.OnEndpointUpdate(r.now, UpdateDelta, list[:1])
	for i := range 300 {
		if i%10 == 9 { // every 100 ms
			r.restart(uint64(i))
		}
		r.serve()
	}
	maxBudgetUse := 0.0 // maximum over all overload windows of sends / budget
	obligations := settings.Obligations
	for _, from := range r.sentAt {
		sends := 0.0
		for _, at := range r.sentAt {
			if at >= from && at < from+obligations.OverloadWindow {
				sends++
			}
		}
		capacity := obligations.SlowStartFrom +
			(1-obligations.SlowStartFrom)*float64(from-startedAt)/float64(obligations.SlowStartWindow)
		budget := obligations.OverloadMultiple * capacity * 2 * warmRate * obligations.OverloadWindow.Seconds()
		maxBudgetUse = max(maxBudgetUse, sends/budget)
	}
	if maxBudgetUse > 1 || maxBudgetUse < 0.1 {
		t.Errorf("%.2f times the budget of a warming endpoint was sent across restarts, want 0.1 to 1", maxBudgetUse)
	}
}

// The number of sends to a warming endpoint since the snapshot is unknown, so a restored balancer must wait for an overload
// window before it sends more. It need not wait if the snapshot is older than a window.
func TestWarmingEndpointWaitsOverloadWindowAfterRestart(t *testing.T) {
	b, now := balancerWithHistory(t)
	list := fourZones(3)
	list[0].StartedAt = now
	b.OnEndpointUpdate(now, UpdateDelta, list[:1])
	snapshot := b.TakeSnapshot(now)
	window := testSettings().Obligations.OverloadWindow
	for _, test := range []struct {
		age  time.Duration
		want bool
	}{{100 * ms, false}, {window + ms, true}} {
		restartedAt := now + test.age
		restored := restoredBalancer(t, restartedAt, list, snapshot)
		e := restored.endpoints.byID[list[0].ID]
		r := &request{class: restored.clients.classes["read"], workUnits: 1}
		if !e.slowStart.active {
			t.Fatal("the endpoint is not warming up")
		}
		fits := restored.fitsSlowStart(e, r, restartedAt)
		if fits != test.want {
			t.Errorf("restarted %v after the snapshot: fits %v, want %v", test.age, fits, test.want)
		}
		if !restored.fitsSlowStart(e, r, restartedAt+window) {
			t.Errorf("restarted %v after the snapshot: does not fit a window later", test.age)
		}
	}
}
