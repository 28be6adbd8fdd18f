package balancer

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// shareByZone sends n requests and returns the fraction that went to each zone.
func shareByZone(t *testing.T, b *Balancer, now time.Duration, n int) map[string]float64 {
	t.Helper()
	shares := map[string]float64{}
	for i := range n {
		e := serveRequest(t, b, now+time.Duration(i)*ms, RequestID(1e6+int(now/ms)+i))
		shares[e.Zone] += 1 / float64(n)
	}
	return shares
}

// While the local zone has headroom, most requests must stay there, and some must go elsewhere, so that the other zones are
// still measured. Regression: with four zones, three of four requests went to another zone.
func TestTrafficStaysLocalWhileLocalZoneHasHeadroom(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fourZones(4))
	now := runPeriods(b, time.Hour, 30, map[string]float64{"near": 0.3, "b": 0.3, "c": 0.3, "d": 0.3})
	local := shareByZone(t, b, now, 1000)["near"]
	if local < 0.85 || local > 0.95 {
		t.Errorf("%.2f of the traffic stays local, want 0.85 to 0.95", local)
	}
}

// The local share of a zone that is more utilized than the fleet falls gradually, no faster than load reports can follow,
// down to half of an even share. It grows back when the utilization falls.
func TestSaturatedLocalZoneSpillsOverGradually(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), endpointsInZones(map[string]int{"near": 4, "b": 4}, "near", "b"))
	saturated := map[string]float64{"near": 0.9, "b": 0.3}
	idle := map[string]float64{"near": 0.3, "b": 0.3}
	now := runPeriods(b, time.Hour, 20, idle)
	before := b.locality.localShare
	for range 30 {
		now = runPeriods(b, now, 1, saturated)
		if before-b.locality.localShare > maxLocalShareStep+tolerance {
			t.Fatalf("local share %.2f, a period later %.2f; want a step of %v at most",
				before, b.locality.localShare, maxLocalShareStep)
		}
		before = b.locality.localShare
	}
	local := shareByZone(t, b, now, 1000)["near"]
	if math.Abs(local-0.25) > 0.05 {
		t.Errorf("%.2f of the traffic stays in a saturated local zone, want half of the even share of 0.5", local)
	}
	now = runPeriods(b, now, 30, idle)
	local = shareByZone(t, b, now, 1000)["near"]
	if local < 0.85 {
		t.Errorf("%.2f of the traffic is local again, want 0.85 at least", local)
	}
}

// If the whole fleet is saturated, the capacity of every endpoint is needed, so locality has no effect.
func TestSaturatedFleetIsSharedEvenly(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), endpointsInZones(map[string]int{"near": 4, "b": 4}, "near", "b"))
	now := runPeriods(b, time.Hour, 40, map[string]float64{"near": 0.95, "b": 0.95})
	local := shareByZone(t, b, now, 1000)["near"]
	if math.Abs(local-0.5) > 0.05 {
		t.Errorf("%.2f of the traffic stays local in a saturated fleet, want the even share of 0.5", local)
	}
}

// Spillover goes to the balancer's own region first. Another region only gets enough traffic to be measured.
func TestSpilloverPrefersOwnRegion(t *testing.T) {
	settings := testSettings()
	settings.Zone = "west/1"
	list := endpointsInZones(map[string]int{"west/1": 3, "west/2": 3, "east/1": 6}, "west/1", "west/2", "east/1")
	b, _ := newTestBalancer(t, settings, list)
	now := runPeriods(b, time.Hour, 30, map[string]float64{"west/1": 0.65, "west/2": 0.35, "east/1": 0.45})
	shares := shareByZone(t, b, now, 2000)
	if shares["west/2"] < 2*shares["east/1"] || shares["east/1"] == 0 || shares["east/1"] > 0.12 {
		t.Errorf("with a saturated local zone the traffic goes to %v, want west/2 to get twice as much as east/1 and east/1 to get some",
			shares)
	}
}

// A request goes to another region only if the expected latency there is within the time left.
func TestRemoteRegionNeedsTimeToAnswer(t *testing.T) {
	settings := testSettings()
	settings.Zone = "west/1"
	list := endpointsInZones(map[string]int{"west/1": 1, "west/2": 1, "east/1": 1}, "west/1", "west/2", "east/1")
	b, _ := newTestBalancer(t, settings, list)
	for _, e := range b.endpoints.known {
		e.latency.mean = float64(200 * ms)
		e.latency.workUnits = 1
	}
	deadline := time.Hour + 150*ms
	wholeRequest := &request{class: b.clients.classes["read"], workUnits: 1, deadline: deadline}
	halfRequest := &request{class: b.clients.classes["read"], workUnits: 0.5, deadline: deadline}
	for _, e := range b.endpoints.known {
		got, want := b.isEligible(e, wholeRequest, time.Hour), e.Zone != "east/1"
		if got != want {
			t.Errorf("%s, with 150 ms left and a mean latency of 200 ms: eligible %v, want %v", e.Zone, got, want)
		}
		if !b.isEligible(e, halfRequest, time.Hour) {
			t.Errorf("%s: not eligible for half of the work, which needs 100 ms", e.Zone)
		}
	}
}

// Locality has no effect without zones, with a single zone, or without endpoints in the balancer's own zone.
func TestNoLocalityWeightsWithoutZones(t *testing.T) {
	for _, test := range []struct{ balancerZone, endpointZone string }{{"", ""}, {"near", "near"}, {"elsewhere", "near"}} {
		settings := testSettings()
		settings.Zone = test.balancerZone
		list := fleet(6)
		for i := range list {
			list[i].Zone = test.endpointZone
		}
		b, _ := newTestBalancer(t, settings, list)
		runPeriods(b, time.Hour, 10, map[string]float64{test.endpointZone: 0.4})
		for _, z := range b.endpoints.zones {
			if z.localityWeight != 1 {
				t.Errorf("%+v: zone %q has locality weight %v, want 1", test, z.name, z.localityWeight)
			}
		}
	}
}

// Locality is off for a balancer with a small subset of many endpoints, and on for one that uses all or enough of them.
// Regression: in a small subset one or two local endpoints got nine tenths of the traffic, and while one of them drained or
// warmed up, the other got all of that.
func TestSmallSubsetDisablesLocality(t *testing.T) {
	for _, test := range []struct {
		endpoints, balancers int
		wantLocality         bool
	}{{4, 1, true}, {200, 300, false}, {200, 60, true}} {
		settings := testSettings()
		settings.Zone = "a"
		settings.Balancers = test.balancers
		list := fleet(test.endpoints)
		for i := range list {
			list[i].Zone = []string{"a", "b", "c", "d"}[i%4]
		}
		b, _ := newTestBalancer(t, settings, list)
		local := 0
		for _, e := range b.endpoints.tracked {
			if e.Zone == "a" {
				local++
			}
		}
		locality := b.locality.localShare > 0
		if locality != test.wantLocality || len(b.endpoints.tracked) == 0 {
			t.Errorf("%+v: %d endpoints in use, %d of them local, local share %.2f",
				test, len(b.endpoints.tracked), local, b.locality.localShare)
		}
	}
}

// With any load reports and endpoint lists, local and region shares stay within their bounds, every locality weight is
// positive and finite, and zones without endpoints are dropped.
func TestLocalityWeightsStayWithinBounds(t *testing.T) {
	names := []string{"near", "b", "x/c", "x/d", "y/e"}
	rapid.Check(t, func(rt *rapid.T) {
		settings := testSettings()
		settings.Zone = rapid.SampledFrom(names).Draw(rt, "own zone")
		b, _ := newTestBalancer(t, settings, nil)
		now := time.Hour
		for range rapid.IntRange(1, 20).Draw(rt, "events") {
			counts := map[string]int{}
			utilization := map[string]float64{}
			for _, name := range names {
				counts[name] = rapid.IntRange(0, 4).Draw(rt, "endpoints of "+name)
				utilization[name] = rapid.Float64Range(0, 1).Draw(rt, "utilization of "+name)
			}
			list := endpointsInZones(counts, names...) // an ID may be in another zone than before
			for i := range list {
				list[i].Weight = rapid.Float64Range(0.1, 10).Draw(rt, "weight")
			}
			b.OnEndpointUpdate(now, UpdateComplete, list)
			now = runPeriods(b, now, rapid.IntRange(1, 4).Draw(rt, "periods"), utilization)
			checkLocality(rt, b)
		}
	})
}

// checkLocality checks the bounds of locality weights and shares, and that every zone is listed or the balancer's own.
func checkLocality(rt *rapid.T, b *Balancer) {
	rt.Helper()
	listed := map[string]bool{b.settings.Zone: true}
	for _, e := range b.endpoints.known {
		listed[e.Zone] = true
	}
	for _, z := range b.endpoints.zones {
		if !(z.localityWeight > 0) || math.IsInf(z.localityWeight, 1) {
			rt.Fatalf("zone %s has locality weight %v", z.name, z.localityWeight)
		}
		if !listed[z.name] {
			rt.Fatalf("zone %s remains without endpoints", z.name)
		}
	}
	local, region := b.locality.localShare, b.locality.regionShare
	if local < 0 || local > 1 || (local > 0 && region < local) {
		rt.Fatalf("local share %v, region share %v", local, region)
	}
}
