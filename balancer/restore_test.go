package balancer

import (
	"math"
	"testing"
	"time"
)

// learned returns a balancer that has served for a while, with one upstream cut, one silent and one zone failed.
func trainedBalancer(t *testing.T) (*Balancer, time.Duration) {
	t.Helper()
	b, _ := newTestBalancer(t, testSettings(), fourZones(3))
	now, _ := sendReads(b, time.Hour, 1, 400, map[string]Status{"near": OK, "b": OK, "c": OK, "d": OK})
	b.endpoints[1].shareFactor, b.endpoints[2].outlier.unresponsive, b.endpoints[2].outlier.backoff = 0.4, true, 300*ms
	b.zoneNamed("c").health.ejected, b.zoneNamed("c").health.recoveredShare = true, 1
	return b, now
}

// reborn is a balancer started anew on a list, with what is known of before.
func restoredBalancer(t *testing.T, now time.Duration, list []Endpoint, k Snapshot) *Balancer {
	t.Helper()
	b, err := New(testSettings(), 99, now, &recorder{})
	if err != nil {
		t.Fatal(err)
	}
	b.OnEndpointUpdate(now, UpdateCached, list)
	b.Restore(now, k)
	return b
}

// Knowledge survives as it was when fresh, fades evenly with its age, and is nothing beyond it or where a clock was set back.
func TestSnapshotConfidenceFadesWithAge(t *testing.T) {
	b, now := trainedBalancer(t)
	k := b.TakeSnapshot(now)
	for _, c := range []struct {
		age   time.Duration
		trust float64
	}{{0, 1}, {snapshotLifetime / 2, 0.5}, {snapshotLifetime, 0}, {7 * 24 * time.Hour, 0}, {-time.Hour, 0}} {
		x := restoredBalancer(t, now+c.age, fourZones(3), k)
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
func TestDrainedZonesAreRestoredAtAnyAge(t *testing.T) {
	x := restoredBalancer(t, time.Hour, endpointsInZones(map[string]int{"near": 2}, "near"), Snapshot{TakenAt: -1e9, DrainedZones: []string{"b"}})
	x.OnEndpointUpdate(time.Hour, UpdateComplete, fourZones(2))
	for i := range 200 {
		if e := serveRequest(t, x, time.Hour+time.Duration(i)*ms, RequestID(i+1)); e.Zone == "b" {
			t.Fatal("a zone that was left gets requests")
		}
	}
	if !x.ReinstateZone(time.Hour, "b") {
		t.Error("it can't be returned")
	}
}

// A silent upstream has to pass a trial before it gets traffic, and balancers that start together try at moments of their own.
func TestRestoredUnresponsiveEndpointsNeedTrial(t *testing.T) {
	b, now := trainedBalancer(t)
	k := b.TakeSnapshot(now)
	moments := map[time.Duration]bool{}
	for seed := range uint64(20) {
		x, err := New(testSettings(), seed, now, &recorder{})
		if err != nil {
			t.Fatal(err)
		}
		x.OnEndpointUpdate(now, UpdateCached, fourZones(3))
		x.Restore(now, k)
		e := x.endpoints[2]
		if r := (&request{class: x.classes["read"], workUnits: 1, deadline: now + time.Second}); e.outlier.nextTrialAt > now && x.isEligible(e, r, now) {
			t.Error("a silent upstream gets traffic before its trial is due")
		}
		moments[e.outlier.nextTrialAt] = true
	}
	if len(moments) < 15 {
		t.Errorf("20 balancers try at %d moments", len(moments))
	}
}
