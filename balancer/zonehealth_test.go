package balancer

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A zone that answers everything at once with an error once drew traffic without end. It is left but for trials, the rest
// are not; when it answers well it comes back by steps, and in the end has its part again.
func TestFailingZoneIsEjectedAndRecovers(t *testing.T) {
	s := testSettings()
	s.Zone = "d"
	b, _ := newTestBalancer(t, s, fourZones(4))
	well := map[string]Status{"near": OK, "b": OK, "c": OK, "d": OK}
	now, before := sendReads(b, time.Hour, 1, 400, well)
	hole := map[string]Status{"near": OK, "b": Error, "c": OK, "d": OK}
	now, _ = sendReads(b, now, 1000, 400, hole)
	now, got := sendReads(b, now, 2000, 400, hole)
	if z := b.zoneNamed("b"); !z.health.ejected || got["b"] > 20 {
		t.Errorf("a zone of errors got %d of %v attempts, failed %v", got["b"], got, z.health.ejected)
	}
	states := map[string]ZoneState{}
	for _, z := range b.ZoneStatuses(now) {
		states[z.Name] = z.State
	}
	if states["b"] != ZoneFailed || states["c"] != ZoneHealthy {
		t.Errorf("zones are told as %v", states)
	}
	for _, name := range []string{"near", "c", "d"} {
		if b.zoneNamed(name).health.ejected {
			t.Errorf("zone %s was left too", name)
		}
	}
	now, _ = sendReads(b, now, 3000, 1500, well)
	if z := b.zoneNamed("b"); z.health.ejected || z.health.recoveredShare < 1 {
		t.Errorf("after 30 s of good answers: failed %v, %v of its share", z.health.ejected, z.health.recoveredShare)
	}
	if _, after := sendReads(b, now, 5000, 400, well); after["b"] < before["b"]/2 {
		t.Errorf("%d of 400 attempts before, %d after", before["b"], after["b"])
	}
}

// Where every zone is sick alike the fault may be this balancer's own link: nobody is left. Nor is one whose loss the
// others could not bear, nor one with a single bad rack.
func TestZonesAreNotEjectedWithoutEvidence(t *testing.T) {
	for _, c := range []struct {
		name string
		list []Endpoint
		sick func(e *endpoint) bool
	}{
		{"all alike", fourZones(4), func(e *endpoint) bool { return e.ID%4 != 0 }},
		{"others somewhat less", fourZones(4), func(e *endpoint) bool { return e.Zone == "b" || e.ID%2 == 0 }},
		{"the greater part of the fleet", endpointsInZones(map[string]int{"near": 2, "b": 8}, "near", "b"), func(e *endpoint) bool { return e.Zone == "b" }},
		{"one bad rack of four", fourZones(4), func(e *endpoint) bool { return e.Zone == "b" && e.ID%4 == 0 }},
		{"a lone upstream", fourZones(1), func(e *endpoint) bool { return e.Zone == "b" }},
	} {
		b, _ := newTestBalancer(t, testSettings(), c.list)
		for _, e := range b.endpoints {
			if c.sick(e) {
				e.outlier.errorRate = 1
			}
		}
		b.updateZoneHealth(time.Hour)
		for _, z := range b.zones {
			if z.health.ejected {
				t.Errorf("%s: zone %s was left", c.name, z.name)
			}
		}
	}
}

// Several upstreams of one zone that owe at once, while the rest answers, are silent long before each would count as such
// alone; two of them, or some everywhere, are not.
func TestCorrelatedSilenceEjectsZone(t *testing.T) {
	for _, c := range []struct {
		name string
		owes func(e *endpoint) bool
		want bool
	}{
		{"a zone", func(e *endpoint) bool { return e.Zone == "b" }, true},
		{"most of it, and nothing is heard of the last", func(e *endpoint) bool { return e.Zone == "b" && e.ID != 5 }, true},
		{"two of it", func(e *endpoint) bool { return e.ID == 5 || e.ID == 6 }, false},
		{"half of every zone", func(e *endpoint) bool { return e.ID%4 > 1 }, false},
		{"a zone, beside others whose answers are late", func(e *endpoint) bool { return e.Zone == "b" }, false},
	} {
		b, _ := newTestBalancer(t, testSettings(), fourZones(4))
		now := time.Hour
		for i, e := range b.endpoints {
			e.latency.mean, e.latency.deviation, e.latency.workUnits = float64(100*ms), float64(20*ms), 1
			if e.outlier.respondedAt = now; e.ID == 5 && !c.owes(e) && c.want {
				e.outlier.respondedAt = 0 // idle for long
			}
			if e.latency.baseline, e.latency.smoothed = 1, 1; strings.Contains(c.name, "late") {
				e.latency.smoothed = 2
			}
			if c.owes(e) {
				id := RequestID(i + 1)
				r := &request{Request: Request{ID: id, Timeout: time.Second}, class: b.classes["read"], workUnits: 1, deadline: now + time.Second}
				b.requests[id] = r
				b.startAttempt(r, e, now)
			}
		}
		now += 200 * ms // the patience with one alone is over 350 ms
		for _, e := range b.endpoints {
			if !c.owes(e) && e.outlier.respondedAt > 0 {
				e.outlier.respondedAt = now
			}
		}
		b.latency = float64(100 * ms)
		b.updateZoneHealth(now)
		if z := b.zoneNamed("b"); z.health.ejected != c.want {
			t.Errorf("%s owe answers for twice the usual time: failed %v, want %v", c.name, z.health.ejected, c.want)
		}
		for _, name := range []string{"near", "c", "d"} {
			if b.zoneNamed(name).health.ejected {
				t.Errorf("%s: zone %s was left", c.name, name)
			}
		}
	}
}

// A balancer that brings a zone little hears two errors of each of its upstreams long before five of any.
func TestErrorsOfAZoneAreCountedTogether(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fourZones(6))
	now, id := time.Hour, RequestID(1)
	for i := range 12 {
		e := b.endpoints[6+i%6]
		r := &request{Request: Request{ID: id, Timeout: time.Second}, class: b.classes["read"], workUnits: 1, deadline: now + time.Second}
		b.requests[id] = r
		b.startAttempt(r, e, now)
		b.OnAttemptResult(now, AttemptResult{ID: id, Endpoint: e.ID, Latency: ms, Status: Error, RequestClosed: true})
		id++
		now += 10 * ms
		b.updateZoneHealth(now)
		if z := b.zoneNamed("b"); z.health.ejected != (i >= 10) { // three quarters of six
			t.Fatalf("after %d errors over all 6: failed %v", i+1, z.health.ejected)
		}
	}
}

// Two upstreams of four that fail everything at once draw most of a zone's requests. The zone is not left for that: the
// other two answer in between.
func TestTwoFailingEndpointsDoNotEjectZone(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fourZones(4))
	now := time.Hour
	for i := range 600 {
		e := b.endpoints[4+i%2]
		if i%15 == 14 {
			e = b.endpoints[6+i%2]
		}
		id := RequestID(i + 1)
		r := &request{Request: Request{ID: id, Timeout: time.Second}, class: b.classes["read"], workUnits: 1, deadline: now + time.Second}
		b.requests[id] = r
		b.startAttempt(r, e, now)
		status := OK
		if e.ID <= 6 || i%300 == 299 { // the good ones fail now and then, too
			status = Error
		}
		b.OnAttemptResult(now, AttemptResult{ID: id, Endpoint: e.ID, Latency: ms, Status: status, RequestClosed: true})
		now += 10 * ms
		if b.updateZoneHealth(now); b.zoneNamed("b").health.ejected {
			t.Fatalf("the zone was left after %d answers", i+1)
		}
	}
}

// Whatever happens to upstreams, no zone goes from failed to its whole share without each step, a failed one gets one
// attempt at a time, and those that are not failed keep the floor.
func TestZoneHealthTransitionsOnRandomEvents(t *testing.T) {
	names := []string{"near", "b", "c", "d"}
	rapid.Check(t, func(rt *rapid.T) {
		b, _ := newTestBalancer(t, testSettings(), fourZones(3))
		now, id := time.Hour, RequestID(1)
		back, failed, since := map[string]float64{}, map[string]bool{}, map[string]time.Duration{}
		for _, z := range names {
			back[z] = 1
		}
		for range rapid.IntRange(1, 30).Draw(rt, "events") {
			of := map[string]Status{}
			for _, z := range names {
				of[z] = rapid.SampledFrom([]Status{OK, OK, Error, Reset, ConnectFailed, Rejected}).Draw(rt, z)
			}
			if rapid.Bool().Draw(rt, "a period") {
				now = runPeriods(b, now, 1, map[string]float64{"near": 0.3, "b": 0.3, "c": 0.3, "d": 0.3})
			}
			for range rapid.IntRange(1, 60).Draw(rt, "requests") {
				now, _ = sendReads(b, now, id, 1, of)
				id++
				for _, z := range b.zones {
					if !z.health.ejected && failed[z.name] && z.health.recoveredShare > recoveryStep {
						rt.Fatalf("%s has %v of its share as it returns", z.name, z.health.recoveredShare)
					} else if !z.health.ejected && z.health.recoveredShare > back[z.name]+recoveryStep+1e-9 {
						rt.Fatalf("%s went from %v to %v of its share", z.name, back[z.name], z.health.recoveredShare)
					} else if z.health.ejected && !failed[z.name] && b.weightOutside(z) < minRemainingCapacity*12 {
						rt.Fatalf("%s was left, and only %v of 12 is well elsewhere", z.name, b.weightOutside(z))
					}
					out := 0
					for _, e := range b.endpoints {
						for _, a := range e.attempts {
							if e.zone == z && a.sentAt > since[z.name] {
								out++
							}
						}
					}
					if z.health.ejected && !failed[z.name] {
						since[z.name] = now
					}
					if z.health.ejected && failed[z.name] && out > 1 {
						rt.Fatalf("%s is failed and has %d attempts out", z.name, out)
					}
					back[z.name], failed[z.name] = z.health.recoveredShare, z.health.ejected
				}
			}
		}
	})
}
