package balancer

import (
	"strings"
	"testing"
	"time"
)

// Many requests of small hinted cost once pushed a cold upstream over.
func TestSlowStartBudgetCountsSmallRequestsInFull(t *testing.T) {
	b, effects := newTestBalancer(t, testSettings(), oneZone(fleet(4)))
	now := time.Hour
	for i := range 4000 { // warm ones carry work for a while
		now += 5 * ms
		serveRequest(t, b, now, RequestID(i+1))
		if i%4 == 0 {
			b.OnTimer(now, tickToken)
		}
	}
	cold := Endpoint{ID: 9, Zone: "near", Weight: 1, StartedAt: now}
	b.OnEndpointUpdate(now, UpdateDelta, []Endpoint{cold})
	before := effects.count("send")
	for i := range 300 { // one window
		now += 5 * ms
		id := RequestID(10000 + i)
		b.OnRequest(now, Request{ID: id, Class: "write", Timeout: time.Second, CostHint: ms})
		if r := b.requests[id]; r != nil && r.inFlight == 1 {
			b.OnAttemptResult(now, AttemptResult{ID: id, Endpoint: r.attempts[0].endpoint.ID, Latency: 20 * ms, Status: OK, RequestClosed: true})
		}
	}
	toCold := 0
	for _, l := range effects.calls {
		if strings.Contains(l, " up=9 ") {
			toCold++
		}
	}
	// A warm one carries 75 in the window at most; a cold one may get the margin of its rule's multiple.
	most := 40 // 75 x tipMargin x 3 x the share of capacity reached, 0.45
	if toCold == 0 || toCold > most || effects.count("send")-before < 250 {
		t.Errorf("a cold upstream got %d of %d sends, at most %d fit", toCold, effects.count("send")-before, most)
	}
}

// At full size a balancer's part of a cold upstream's budget is under one request: none was sent until the ramp
// had ended, and then all balancers sent their full share at once. Over many balancers it must come to the part.
func TestSlowStartBudgetHoldsOverManyBalancers(t *testing.T) {
	const balancers, window = 200, 1500 * ms
	s, sent := testSettings(), 0
	s.Balancers, s.Obligations.OverloadWindow = balancers, window
	for s.Rank = range balancers {
		effects := &recorder{}
		b, err := New(s, uint64(s.Rank), time.Hour, effects)
		if err != nil {
			t.Fatal(err)
		}
		list := fleet(3)
		list[2].StartedAt = time.Hour
		b.OnEndpointUpdate(time.Hour, UpdateCached, list)
		b.fleet.workPerWeight, b.fleet.maxWorkPerWeight = 0.2, 0.2 // requests a second that a warm upstream takes from this balancer
		for i := range 150 {
			for _, e := range b.endpoints[:2] {
				e.limit.pausedUntil = 2 * time.Hour // all the traffic asks for the cold one
			}
			now := time.Hour + time.Duration(i)*10*ms
			b.OnRequest(now, Request{ID: RequestID(i + 1), Class: "read", Timeout: time.Second})
			if r := b.requests[RequestID(i+1)]; r != nil && r.inFlight > 0 {
				b.OnAttemptResult(now, AttemptResult{ID: r.ID, Endpoint: 3, Latency: 5 * ms, Status: OK, RequestClosed: true})
			}
		}
		sent += effects.count("send")
	}
	// All together may send what a warm one takes times the multiple and the ramp, at most.
	if most := 0.2 * balancers * 3 * 0.4 * window.Seconds(); sent == 0 || float64(sent) > most {
		t.Errorf("%d sent to a cold upstream, 1 to %v fit", sent, most)
	}
}

// Rule 4 holds across restarts: what was sent before one counts, though nobody knows how much it was.
func TestSlowStartBudgetHoldsAcrossRestarts(t *testing.T) {
	most := func() (worst float64) {
		s := testSettings()
		list := fleet(4)
		b, _ := newTestBalancer(t, s, list)
		now := time.Hour
		var id RequestID
		var sent []time.Duration
		serveOne := func() {
			now += 10 * ms
			id++
			b.OnRequest(now, Request{ID: id, Class: "read", Timeout: time.Second})
			r := b.requests[id]
			if r == nil || r.inFlight == 0 {
				return
			}
			e := r.attempts[0].endpoint
			if e.ID == list[0].ID && e.slowStart.active {
				sent = append(sent, now)
			}
			b.OnAttemptResult(now, AttemptResult{ID: id, Endpoint: e.ID, Latency: 40 * ms, Status: OK, RequestClosed: true, Load: LoadReport{Fields: HasUtilization, Utilization: 0.5}})
			b.OnTimer(now, tickToken)
		}
		for range 800 {
			serveOne()
		}
		warm := 800.0 / 4 / 8 // requests a second that a warm one carries at half of its use: 25
		list[0].StartedAt = now
		b.OnEndpointUpdate(now, UpdateDelta, list[:1])
		began := now
		for i := range 300 {
			if i%10 == 9 { // started anew every 100 ms
				k := b.TakeSnapshot(now)
				x, err := New(s, uint64(i), now, &recorder{})
				if err != nil {
					t.Fatal(err)
				}
				x.OnEndpointUpdate(now, UpdateCached, list)
				x.Restore(now, k)
				b, id = x, id+1000
			}
			serveOne()
		}
		for _, from := range sent {
			n := 0.0
			for _, at := range sent {
				if at >= from && at < from+s.Obligations.OverloadWindow {
					n++
				}
			}
			can := s.Obligations.SlowStartFrom + (1-s.Obligations.SlowStartFrom)*float64(from-began)/float64(s.Obligations.SlowStartWindow)
			worst = max(worst, n/(s.Obligations.OverloadMultiple*can*2*warm*s.Obligations.OverloadWindow.Seconds()))
		}
		return worst
	}
	if with := most(); with > 1 || with < 0.1 {
		t.Errorf("%.2f times the budget of a cold upstream is sent across restarts", with)
	}
}

// What a cold upstream was sent since the last snapshot is not known, so a window has to pass; one that is older than a
// window holds nothing that counts.
func TestWarmingEndpointWaitsOverloadWindowAfterRestart(t *testing.T) {
	b, now := trainedBalancer(t)
	list := fourZones(3)
	list[0].StartedAt = now
	b.OnEndpointUpdate(now, UpdateDelta, list[:1])
	k := b.TakeSnapshot(now)
	for _, c := range []struct {
		age  time.Duration
		want bool
	}{{100 * ms, false}, {testSettings().Obligations.OverloadWindow + ms, true}} {
		x := restoredBalancer(t, now+c.age, list, k)
		e := x.byID[list[0].ID]
		r := &request{class: x.classes["read"], workUnits: 1}
		if !e.slowStart.active {
			t.Fatal("it is not cold")
		}
		if got := x.fitsSlowStart(e, r, now+c.age); got != c.want {
			t.Errorf("restarted %v after the snapshot: room %v, want %v", c.age, got, c.want)
		}
		if later := now + c.age + testSettings().Obligations.OverloadWindow; !x.fitsSlowStart(e, r, later) {
			t.Errorf("restarted %v after the snapshot: no room a window later", c.age)
		}
	}
}
