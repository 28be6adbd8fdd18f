package balancer

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// homePart sends n requests and tells which part of them went to each zone.
func shareByZone(t *testing.T, b *Balancer, now time.Duration, n int) map[string]float64 {
	t.Helper()
	parts := map[string]float64{}
	for i := range n {
		e := serveRequest(t, b, now+time.Duration(i)*ms, RequestID(1e6+int(now/ms)+i))
		parts[e.Zone] += 1 / float64(n)
	}
	return parts
}

// Three picks of four once crossed a zone on a fleet with four. With use to spare most stay home, and somebody is
// always asked elsewhere, or nothing would be known of them.
func TestTrafficStaysLocalWhileLocalZoneHasHeadroom(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), endpointsInZones(map[string]int{"near": 4, "b": 4, "c": 4, "d": 4}, "near", "b", "c", "d"))
	now := runPeriods(b, time.Hour, 30, map[string]float64{"near": 0.3, "b": 0.3, "c": 0.3, "d": 0.3})
	if p := shareByZone(t, b, now, 1000)["near"]; p < 0.85 || p > 0.95 {
		t.Errorf("%.2f of the traffic stays home", p)
	}
}

// A home used beyond the fleet's use lets traffic out by degrees, no faster than its reports can tell of it, down to
// half of an even part and no further; and takes it back as it cools.
func TestSaturatedLocalZoneSpillsOverGradually(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), endpointsInZones(map[string]int{"near": 4, "b": 4}, "near", "b"))
	hot, cool := map[string]float64{"near": 0.9, "b": 0.3}, map[string]float64{"near": 0.3, "b": 0.3}
	now := runPeriods(b, time.Hour, 20, cool)
	before := b.locality.localShare
	for range 30 {
		now = runPeriods(b, now, 1, hot)
		if before-b.locality.localShare > maxLocalShareStep+1e-9 {
			t.Fatalf("from %.2f to %.2f in a period", before, b.locality.localShare)
		}
		before = b.locality.localShare
	}
	if p := shareByZone(t, b, now, 1000)["near"]; math.Abs(p-0.25) > 0.05 {
		t.Errorf("%.2f of the traffic stays at a full home, an even part is 0.5", p)
	}
	now = runPeriods(b, now, 30, cool)
	if p := shareByZone(t, b, now, 1000)["near"]; p < 0.85 {
		t.Errorf("only %.2f of it comes back", p)
	}
}

// Where the whole fleet is full, no turn is lost for being elsewhere: shares alone decide.
func TestSaturatedFleetIsSharedEvenly(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), endpointsInZones(map[string]int{"near": 4, "b": 4}, "near", "b"))
	now := runPeriods(b, time.Hour, 40, map[string]float64{"near": 0.95, "b": 0.95})
	if p := shareByZone(t, b, now, 1000)["near"]; math.Abs(p-0.5) > 0.05 {
		t.Errorf("%.2f of the traffic stays home on a full fleet", p)
	}
}

// What leaves a zone goes to its region first; another region gets the trickle that keeps it known.
func TestSpilloverPrefersOwnRegion(t *testing.T) {
	s := testSettings()
	s.Zone = "west/1"
	b, _ := newTestBalancer(t, s, endpointsInZones(map[string]int{"west/1": 3, "west/2": 3, "east/1": 6}, "west/1", "west/2", "east/1"))
	now := runPeriods(b, time.Hour, 30, map[string]float64{"west/1": 0.65, "west/2": 0.35, "east/1": 0.45})
	p := shareByZone(t, b, now, 2000)
	if p["west/2"] < 2*p["east/1"] || p["east/1"] == 0 || p["east/1"] > 0.12 {
		t.Errorf("a hot zone's traffic goes %v", p)
	}
}

// What can't be back in time from another region is not sent there; what can is, when home takes no more.
func TestRemoteRegionNeedsTimeToAnswer(t *testing.T) {
	s := testSettings()
	s.Zone = "west/1"
	b, _ := newTestBalancer(t, s, endpointsInZones(map[string]int{"west/1": 1, "west/2": 1, "east/1": 1}, "west/1", "west/2", "east/1"))
	for _, e := range b.endpoints {
		e.latency.mean, e.latency.workUnits = float64(200*ms), 1
	}
	r := &request{class: b.classes["read"], workUnits: 1, deadline: time.Hour + 150*ms}
	for _, e := range b.endpoints {
		if got, want := b.isEligible(e, r, time.Hour), e.Zone != "east/1"; got != want {
			t.Errorf("%s, 150 ms left of the usual 200: eligible %v, want %v", e.Zone, got, want)
		}
		if r.workUnits = 0.5; !b.isEligible(e, r, time.Hour) {
			t.Errorf("%s: half of the work has the time", e.Zone)
		}
		r.workUnits = 1
	}
}

// Without zones, with one, or with none of its own listed, a balancer does what shares alone say.
func TestNoLocalityWeightsWithoutZones(t *testing.T) {
	for _, c := range []struct{ own, of string }{{"", ""}, {"near", "near"}, {"elsewhere", "near"}} {
		s := testSettings()
		s.Zone = c.own
		list := fleet(6)
		for i := range list {
			list[i].Zone = c.of
		}
		b, _ := newTestBalancer(t, s, list)
		runPeriods(b, time.Hour, 10, map[string]float64{c.of: 0.4})
		for _, z := range b.zones {
			if z.localityWeight != 1 {
				t.Errorf("%+v: zone %q has a tilt of %v", c, z.name, z.localityWeight)
			}
		}
	}
}

// A balancer that uses few of many upstreams has one or two at home. Nine parts in ten of its traffic went there, and where
// one of them drained or was cold all of that waited on the other. Such a balancer goes by shares alone; one that uses all
// of its upstreams, or enough, leans to its zone.
func TestSmallSubsetDisablesLocality(t *testing.T) {
	for _, x := range []struct {
		upstreams, balancers int
		leans                bool
	}{{4, 1, true}, {200, 300, false}, {200, 60, true}} {
		s := testSettings()
		s.Zone, s.Balancers = "a", x.balancers
		list := fleet(x.upstreams)
		for i := range list {
			list[i].Zone = []string{"a", "b", "c", "d"}[i%4]
		}
		b, _ := newTestBalancer(t, s, list)
		home, used := 0, 0
		for _, e := range b.subset {
			if used++; e.Zone == "a" {
				home++
			}
		}
		if leans := b.locality.localShare > 0; leans != x.leans || used == 0 {
			t.Errorf("%d balancers of %d upstreams: uses %d, %d at home, %.2f stay, want leaning %v", x.balancers, x.upstreams, used, home, b.locality.localShare, x.leans)
		}
	}
}

// Whatever readings say, the parts keep their bounds, every tilt is a figure over 0, and zones that nobody is in any more
// are forgotten.
func TestLocalityWeightsStayWithinBounds(t *testing.T) {
	names := []string{"near", "b", "x/c", "x/d", "y/e"}
	rapid.Check(t, func(rt *rapid.T) {
		s := testSettings()
		s.Zone = rapid.SampledFrom(names).Draw(rt, "own")
		b, _ := newTestBalancer(t, s, nil)
		now := time.Hour
		for range rapid.IntRange(1, 20).Draw(rt, "events") {
			count, use := map[string]int{}, map[string]float64{}
			for _, z := range names {
				count[z] = rapid.IntRange(0, 4).Draw(rt, "upstreams of "+z)
				use[z] = rapid.Float64Range(0, 1).Draw(rt, "use of "+z)
			}
			list := endpointsInZones(count, names...)
			for i := range list { // zones are renamed and upstreams move between them
				list[i].Weight = rapid.Float64Range(0.1, 10).Draw(rt, "weight")
			}
			b.OnEndpointUpdate(now, UpdateComplete, list)
			now = runPeriods(b, now, rapid.IntRange(1, 4).Draw(rt, "periods"), use)
			listed := map[string]bool{s.Zone: true}
			for _, e := range b.endpoints {
				listed[e.Zone] = true
			}
			for _, z := range b.zones {
				if !(z.localityWeight > 0) || math.IsInf(z.localityWeight, 1) {
					rt.Fatalf("zone %s has a tilt of %v", z.name, z.localityWeight)
				}
				if !listed[z.name] {
					rt.Fatalf("zone %s is kept though nobody is in it", z.name)
				}
			}
			if b.locality.localShare < 0 || b.locality.localShare > 1 || (b.locality.localShare > 0 && b.locality.regionShare < b.locality.localShare) {
				rt.Fatalf("stay %v, keep %v", b.locality.localShare, b.locality.regionShare)
			}
		}
	})
}
