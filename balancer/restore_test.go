package balancer

import (
	"testing"
	"time"
)

// balancerWithHistory returns a balancer that has served 400 requests, and the current time. One traffic share is cut, one
// endpoint is unresponsive and one zone is ejected.
func balancerWithHistory(t *testing.T) (*Balancer, time.Duration) {
	t.Helper()
	b, _ := newTestBalancer(t, testSettings(), fourZones(3))
	now, _ := sendReads(b, time.Hour, 1, 400, map[string]Status{"near": OK, "b": OK, "c": OK, "d": OK})
	b.endpoints.known[1].shareFactor = 0.4
	b.endpoints.known[2].outlier.unresponsive = true
	b.endpoints.known[2].outlier.backoff = 300 * ms
	ejected := b.endpoints.findOrAddZone("c")
	ejected.health.ejected = true
	ejected.health.recoveredShare = 1
	return b, now
}

// restoredBalancer returns a new balancer that has got an endpoint list and was then restored from a snapshot.
func restoredBalancer(t *testing.T, now time.Duration, list []Endpoint, snapshot Snapshot) *Balancer {
	t.Helper()
	b, err := New(testSettings(), 99, now, &recorder{})
	if err != nil {
		t.Fatal(err)
	}
	b.OnEndpointUpdate(now, UpdateCached, list)
	b.Restore(now, snapshot)
	return b
}

// A fresh snapshot is restored in full. The weight of an older one falls linearly with its age. It is 0 beyond its lifetime,
// and for a negative age from a clock that was set back.
func TestSnapshotConfidenceFadesWithAge(t *testing.T) {
	before, now := balancerWithHistory(t)
	snapshot := before.TakeSnapshot(now)
	for _, test := range []struct {
		age        time.Duration
		confidence float64
	}{{0, 1}, {snapshotLifetime / 2, 0.5}, {snapshotLifetime, 0}, {7 * 24 * time.Hour, 0}, {-time.Hour, 0}} {
		t.Run(test.age.String(), func(t *testing.T) {
			b := restoredBalancer(t, now+test.age, fourZones(3), snapshot)
			wantFactor := 1 - test.confidence*0.6
			if !approximately(b.endpoints.known[1].shareFactor, wantFactor) {
				t.Errorf("share factor %v, want %v", b.endpoints.known[1].shareFactor, wantFactor)
			}
			limit := b.endpoints.known[0].limit.current
			wantLimit := b.endpoints.initialLimit + test.confidence*(before.endpoints.known[0].limit.current-b.endpoints.initialLimit)
			if !approximately(limit, wantLimit) {
				t.Errorf("limit %v, want %v", limit, wantLimit)
			}
			known := test.confidence > 0
			if b.endpoints.known[2].outlier.unresponsive != known {
				t.Errorf("unresponsive %v, want %v", !known, known)
			}
			if b.endpoints.findOrAddZone("c").health.ejected != known {
				t.Errorf("zone ejected %v, want %v", !known, known)
			}
			if (b.endpoints.known[0].latency.mean > 0) != known {
				t.Errorf("latency of an endpoint known: %v, want %v", !known, known)
			}
			if (b.means.latency == before.means.latency) != known {
				t.Errorf("latency %v, before the restart %v; want them equal: %v", b.means.latency, before.means.latency, known)
			}
		})
	}
}

// A zone that operators drained stays drained, whatever the age of the snapshot, even if the zone is listed only later.
func TestDrainedZonesAreRestoredAtAnyAge(t *testing.T) {
	snapshot := Snapshot{TakenAt: -1e9, DrainedZones: []string{"b"}}
	b := restoredBalancer(t, time.Hour, endpointsInZones(map[string]int{"near": 2}, "near"), snapshot)
	b.OnEndpointUpdate(time.Hour, UpdateComplete, fourZones(2))
	for i := range 200 {
		e := serveRequest(t, b, time.Hour+time.Duration(i)*ms, RequestID(i+1))
		if e.Zone == "b" {
			t.Fatal("a drained zone got a request")
		}
	}
	if !b.ReinstateZone(time.Hour, "b") {
		t.Error("the drained zone can't be reinstated")
	}
}

// A restored unresponsive endpoint must pass a trial before it gets traffic. Balancers that start together send their trials
// at different times.
func TestRestoredUnresponsiveEndpointsNeedTrial(t *testing.T) {
	before, now := balancerWithHistory(t)
	snapshot := before.TakeSnapshot(now)
	trialTimes := map[time.Duration]bool{}
	for seed := range uint64(20) {
		b, err := New(testSettings(), seed, now, &recorder{})
		if err != nil {
			t.Fatal(err)
		}
		b.OnEndpointUpdate(now, UpdateCached, fourZones(3))
		b.Restore(now, snapshot)
		e := b.endpoints.known[2]
		r := &request{class: b.clients.classes["read"], workUnits: 1, deadline: now + time.Second}
		if e.outlier.nextTrialAt > now && b.isEligible(e, r, now) {
			t.Error("an unresponsive endpoint is eligible before its trial is due")
		}
		trialTimes[e.outlier.nextTrialAt] = true
	}
	if len(trialTimes) < 15 {
		t.Errorf("20 balancers send their trials at %d different times, want 15 at least", len(trialTimes))
	}
}
