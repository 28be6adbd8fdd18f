package balancer

import (
	"encoding/json"
	"math"
	"reflect"
	"testing"
	"time"
)

// learned returns a balancer that has served for a while, with one upstream cut, one silent and one zone failed.
func learned(t *testing.T) (*Balancer, time.Duration) {
	t.Helper()
	b, _ := start(t, settings(), four(3))
	now, _ := answered(b, time.Hour, 1, 400, map[string]Status{"near": OK, "b": OK, "c": OK, "d": OK})
	b.endpoints[1].shareFactor, b.endpoints[2].outlier.unresponsive, b.endpoints[2].outlier.backoff = 0.4, true, 300*ms
	b.zoneNamed("c").health.ejected, b.zoneNamed("c").health.recoveredShare = true, 1
	return b, now
}

// reborn is a balancer started anew on a list, with what is known of before.
func reborn(t *testing.T, now time.Duration, list []Endpoint, k Snapshot) *Balancer {
	t.Helper()
	b, err := New(settings(), 99, now, &recorder{})
	if err != nil {
		t.Fatal(err)
	}
	b.OnEndpointUpdate(now, UpdateCached, list)
	b.Restore(now, k)
	return b
}

// Knowledge survives as it was when fresh, fades evenly with its age, and is nothing beyond it or where a clock was set back.
func TestKnowledgeFadesWithAge(t *testing.T) {
	b, now := learned(t)
	k := b.TakeSnapshot(now)
	for _, c := range []struct {
		age   time.Duration
		trust float64
	}{{0, 1}, {snapshotLifetime / 2, 0.5}, {snapshotLifetime, 0}, {7 * 24 * time.Hour, 0}, {-time.Hour, 0}} {
		x := reborn(t, now+c.age, four(3), k)
		if want := 1 - c.trust*0.6; math.Abs(x.endpoints[1].shareFactor-want) > 1e-9 {
			t.Errorf("age %v: share factor %v, want %v", c.age, x.endpoints[1].shareFactor, want)
		}
		want := x.initialLimit + c.trust*(b.endpoints[0].limit.current-x.initialLimit)
		if math.Abs(x.endpoints[0].limit.current-want) > 1e-9 {
			t.Errorf("age %v: bound %v, want %v", c.age, x.endpoints[0].limit.current, want)
		}
		if known := c.trust > 0; x.endpoints[2].outlier.unresponsive != known || x.zoneNamed("c").health.ejected != known || (x.endpoints[0].latency.mean > 0) != known || (x.latency == b.latency) != known {
			t.Errorf("age %v: silent %v, zone failed %v, latency %v of %v", c.age, x.endpoints[2].outlier.unresponsive, x.zoneNamed("c").health.ejected, x.latency, b.latency)
		}
	}
}

// A zone left by hand is left whatever the age and whether it is listed now or later.
func TestOrdersDoNotFade(t *testing.T) {
	x := reborn(t, time.Hour, sited(map[string]int{"near": 2}, "near"), Snapshot{TakenAt: -1e9, DrainedZones: []string{"b"}})
	x.OnEndpointUpdate(time.Hour, UpdateComplete, four(2))
	for i := range 200 {
		if u := serve(t, x, time.Hour+time.Duration(i)*ms, RequestID(i+1)); u.Zone == "b" {
			t.Fatal("a zone that was left gets requests")
		}
	}
	if !x.ReinstateZone(time.Hour, "b") {
		t.Error("it can't be returned")
	}
}

// A silent upstream has to pass a trial before it gets traffic, and balancers that start together try at moments of their own.
func TestSilentOnesAreTriedFirst(t *testing.T) {
	b, now := learned(t)
	k := b.TakeSnapshot(now)
	moments := map[time.Duration]bool{}
	for seed := range uint64(20) {
		x, err := New(settings(), seed, now, &recorder{})
		if err != nil {
			t.Fatal(err)
		}
		x.OnEndpointUpdate(now, UpdateCached, four(3))
		x.Restore(now, k)
		u := x.endpoints[2]
		if r := (&request{class: x.classes["read"], workUnits: 1, deadline: now + time.Second}); u.outlier.nextTrialAt > now && x.isEligible(u, r, now) {
			t.Error("a silent upstream gets traffic before its trial is due")
		}
		moments[u.outlier.nextTrialAt] = true
	}
	if len(moments) < 15 {
		t.Errorf("20 balancers try at %d moments", len(moments))
	}
}

// Rule 4 holds across restarts: what was sent before one counts, though nobody knows how much it was.
func TestColdBudgetHoldsAcrossRestarts(t *testing.T) {
	most := func() (worst float64) {
		s := settings()
		list := fleet(4)
		b, _ := start(t, s, list)
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
			u := r.attempts[0].endpoint
			if u.ID == list[0].ID && u.slowStart.active {
				sent = append(sent, now)
			}
			b.OnAttemptResult(now, AttemptResult{ID: id, Endpoint: u.ID, Latency: 40 * ms, Status: OK, RequestClosed: true, Load: LoadReport{Fields: HasUtilization, Utilization: 0.5}})
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
func TestColdUpstreamWaitsAWindowAfterARestart(t *testing.T) {
	b, now := learned(t)
	list := four(3)
	list[0].StartedAt = now
	b.OnEndpointUpdate(now, UpdateDelta, list[:1])
	k := b.TakeSnapshot(now)
	for _, c := range []struct {
		age  time.Duration
		want bool
	}{{100 * ms, false}, {settings().Obligations.OverloadWindow + ms, true}} {
		x := reborn(t, now+c.age, list, k)
		u := x.byID[list[0].ID]
		r := &request{class: x.classes["read"], workUnits: 1}
		if !u.slowStart.active {
			t.Fatal("it is not cold")
		}
		if got := x.fitsSlowStart(u, r, now+c.age); got != c.want {
			t.Errorf("restarted %v after the snapshot: room %v, want %v", c.age, got, c.want)
		}
		if later := now + c.age + settings().Obligations.OverloadWindow; !x.fitsSlowStart(u, r, later) {
			t.Errorf("restarted %v after the snapshot: no room a window later", c.age)
		}
	}
}

// What is read back is what was written, and senseless figures poison nothing.
func TestKnowledgeAsText(t *testing.T) {
	b, now := learned(t)
	k := b.TakeSnapshot(now)
	text, err := json.Marshal(k)
	if err != nil {
		t.Fatal(err)
	}
	var back Snapshot
	if err := json.Unmarshal(text, &back); err != nil || !reflect.DeepEqual(k, back) {
		t.Errorf("%v: %+v reads back as %+v", err, k, back)
	}
	for _, bad := range []float64{-1, math.NaN(), math.Inf(1), 1e300} {
		k := b.TakeSnapshot(now)
		k.Latency, k.MeanCost, k.WorkPerWeight, k.MaxWorkPerWeight, k.LocalShare, k.RegionShare = bad, bad, bad, bad, bad, bad
		for i := range k.Endpoints {
			u := &k.Endpoints[i]
			u.ShareFactor, u.ConcurrencyLimit, u.Latency, u.LatencyDeviation, u.WorkUnits, u.ErrorRate, u.LatencyEWMA, u.BaselineLatency, u.WorkRate = bad, bad, bad, bad, bad, bad, bad, bad, bad
		}
		x := reborn(t, now, four(3), k)
		for i := range 100 {
			serve(t, x, now+time.Duration(i)*ms, RequestID(i+1))
		}
		for _, u := range x.endpoints {
			if s := x.trafficShare(u, now); math.IsNaN(s) || math.IsInf(s, 0) || s < 0 || math.IsNaN(u.limit.current) {
				t.Errorf("%v: upstream %d has share %v and bound %v", bad, u.ID, s, u.limit.current)
			}
		}
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{12, 2000} {
		x, now := wide(b, n)
		b.Run(name(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				x.TakeSnapshot(now)
			}
		})
	}
}

func BenchmarkRestore(b *testing.B) {
	for _, n := range []int{12, 2000} {
		x, now := wide(b, n)
		k := x.TakeSnapshot(now)
		b.Run(name(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				x.Restore(now, k)
			}
		})
	}
}

func name(n int) string { return map[int]string{12: "12", 2000: "2000"}[n] }

func wide(b *testing.B, n int) (*Balancer, time.Duration) {
	b.Helper()
	x, err := New(settings(), 1, time.Hour, &recorder{})
	if err != nil {
		b.Fatal(err)
	}
	x.OnEndpointUpdate(time.Hour, UpdateComplete, four(n/4))
	return x, time.Hour
}
