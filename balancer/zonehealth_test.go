package balancer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// expectNotEjected checks that none of the named zones is ejected.
func expectNotEjected(t *testing.T, b *Balancer, names ...string) {
	t.Helper()
	for _, name := range names {
		if b.endpoints.findOrAddZone(name).health.ejected {
			t.Errorf("zone %s was ejected", name)
		}
	}
}

// A zone that responds to everything with an error is ejected and gets trials only, while the other zones stay in use. When
// it serves again, its share recovers in steps. Regression: the immediate errors attracted more and more traffic.
func TestFailingZoneIsEjectedAndRecovers(t *testing.T) {
	settings := testSettings()
	settings.Zone = "d"
	b, _ := newTestBalancer(t, settings, fourZones(4))
	healthy := map[string]Status{"near": OK, "b": OK, "c": OK, "d": OK}
	failing := map[string]Status{"near": OK, "b": Error, "c": OK, "d": OK}
	now, before := sendReads(b, time.Hour, 1, 400, healthy)
	now, _ = sendReads(b, now, 1000, 400, failing)
	now, during := sendReads(b, now, 2000, 400, failing)
	z := b.endpoints.findOrAddZone("b")
	if !z.health.ejected || during["b"] > 20 {
		t.Errorf("a failing zone got %d of %v attempts, want 20 at most; ejected %v, want true", during["b"], during, z.health.ejected)
	}
	states := map[string]ZoneState{}
	for _, status := range b.ZoneStatuses(now) {
		states[status.Name] = status.State
	}
	if states["b"] != ZoneFailed || states["c"] != ZoneHealthy {
		t.Errorf("states of the zones: %v; want b failed and c healthy", states)
	}
	expectNotEjected(t, b, "near", "c", "d")
	now, _ = sendReads(b, now, 3000, 1500, healthy)
	z = b.endpoints.findOrAddZone("b")
	if z.health.ejected || z.health.recoveredShare < 1 {
		t.Errorf("30 s after the zone serves again: ejected %v, %v of its share; want false, 1",
			z.health.ejected, z.health.recoveredShare)
	}
	_, after := sendReads(b, now, 5000, 400, healthy)
	if after["b"] < before["b"]/2 {
		t.Errorf("the zone got %d of 400 requests before it failed and %d after it has recovered, want half as many at least",
			before["b"], after["b"])
	}
}

// If all zones are equally unhealthy the fault may be in this balancer's network link, so none is ejected. A zone is not
// ejected either if the others lack the capacity to serve without it, or if it has only a single unhealthy endpoint.
func TestZonesAreNotEjectedWithoutEvidence(t *testing.T) {
	for _, test := range []struct {
		name      string
		list      []Endpoint
		unhealthy func(e *endpoint) bool
	}{
		{"all alike", fourZones(4), func(e *endpoint) bool { return e.ID%4 != 0 }},
		{"the others somewhat less", fourZones(4), func(e *endpoint) bool { return e.Zone == "b" || e.ID%2 == 0 }},
		{"the greater part of the fleet", endpointsInZones(map[string]int{"near": 2, "b": 8}, "near", "b"),
			func(e *endpoint) bool { return e.Zone == "b" }},
		{"one endpoint of four", fourZones(4), func(e *endpoint) bool { return e.Zone == "b" && e.ID%4 == 0 }},
		{"the only endpoint", fourZones(1), func(e *endpoint) bool { return e.Zone == "b" }},
	} {
		t.Run(test.name, func(t *testing.T) {
			b, _ := newTestBalancer(t, testSettings(), test.list)
			for _, e := range b.endpoints.known {
				if test.unhealthy(e) {
					e.outlier.errorRate = 1
				}
			}
			b.updateZoneHealth(time.Hour)
			for _, z := range b.endpoints.zones {
				expectNotEjected(t, b, z.name)
			}
		})
	}
}

// If several endpoints of one zone are overdue at once while the other zones respond, they are ejected long before each one
// would be alone. This must not happen for only two endpoints, or if endpoints of all zones are late.
func TestCorrelatedSilenceEjectsZone(t *testing.T) {
	inZone := func(e *endpoint) bool { return e.Zone == "b" }
	for _, test := range []struct {
		name      string
		overdue   func(e *endpoint) bool
		firstIdle bool // endpoint 5, the first of zone b, has had no request for a long time
		slow      bool // responses take twice the baseline latency
		want      bool
	}{
		{name: "a zone", overdue: inZone, want: true},
		{name: "all of a zone except an idle endpoint", overdue: func(e *endpoint) bool { return inZone(e) && e.ID != 5 }, firstIdle: true, want: true},
		{name: "two endpoints of a zone", overdue: func(e *endpoint) bool { return e.ID == 5 || e.ID == 6 }},
		{name: "half of every zone", overdue: func(e *endpoint) bool { return e.ID%4 > 1 }},
		{name: "a zone, while all others are slow", overdue: inZone, slow: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			b, _ := newTestBalancer(t, testSettings(), fourZones(4))
			now := time.Hour
			for i, e := range b.endpoints.known {
				e.latency = latencyStats{
					mean: float64(100 * ms), deviation: float64(20 * ms), workUnits: 1, baseline: 1, smoothed: 1,
				}
				if test.slow {
					e.latency.smoothed = 2
				}
				e.outlier.respondedAt = now
				if test.firstIdle && e.ID == 5 {
					e.outlier.respondedAt = 0
				}
				if test.overdue(e) {
					startRead(b, e, RequestID(i+1), now)
				}
			}
			now += 200 * ms // twice the mean latency; the response timeout of a single endpoint is over 350 ms
			for _, e := range b.endpoints.known {
				if !test.overdue(e) && e.outlier.respondedAt > 0 {
					e.outlier.respondedAt = now
				}
			}
			b.means.latency = float64(100 * ms)
			b.updateZoneHealth(now)
			ejected := b.endpoints.findOrAddZone("b").health.ejected
			if ejected != test.want {
				t.Errorf("ejected %v, want %v", ejected, test.want)
			}
			expectNotEjected(t, b, "near", "c", "d")
		})
	}
}

// Errors of several endpoints of a zone are counted together: a balancer that sends little traffic to the zone gets two
// errors from each endpoint long before it gets five from any.
func TestErrorsOfAZoneAreCountedTogether(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fourZones(6))
	now := time.Hour
	for i := range 12 {
		e := b.endpoints.known[6+i%6]
		id := RequestID(i + 1)
		startRead(b, e, id, now)
		b.OnAttemptResult(now, AttemptResult{ID: id, Endpoint: e.ID, Latency: ms, Status: Error, RequestClosed: true})
		now += 10 * ms
		b.updateZoneHealth(now)
		ejected := b.endpoints.findOrAddZone("b").health.ejected
		want := i >= 10 // the second error of the fifth endpoint: more than ejectFraction of six
		if ejected != want {
			t.Fatalf("after %d errors of all 6 endpoints: ejected %v, want %v", i+1, ejected, want)
		}
	}
}

// Two of four endpoints that fail every request immediately attract most of the requests of their zone. The zone must not be
// ejected for that, since the other two still serve.
func TestTwoFailingEndpointsDoNotEjectZone(t *testing.T) {
	b, _ := newTestBalancer(t, testSettings(), fourZones(4))
	now := time.Hour
	for i := range 600 {
		e := b.endpoints.known[4+i%2]
		if i%15 == 14 {
			e = b.endpoints.known[6+i%2]
		}
		status := OK
		if e.ID <= 6 || i%300 == 299 { // the healthy ones fail now and then, too
			status = Error
		}
		id := RequestID(i + 1)
		startRead(b, e, id, now)
		b.OnAttemptResult(now, AttemptResult{ID: id, Endpoint: e.ID, Latency: ms, Status: status, RequestClosed: true})
		now += 10 * ms
		b.updateZoneHealth(now)
		if b.endpoints.findOrAddZone("b").health.ejected {
			t.Fatalf("the zone was ejected after %d responses", i+1)
		}
	}
}

// zoneHistory is the state of a zone at its last check.
type zoneHistory struct {
	share     float64 // recovered share
	ejected   bool
	ejectedAt time.Duration // last ejection
}

// check checks the transition of a zone from its state at the last check.
func (h *zoneHistory) check(rt *rapid.T, b *Balancer, z *zone, now time.Duration) {
	rt.Helper()
	const endpoints = 12
	ejected, share := z.health.ejected, z.health.recoveredShare
	switch {
	case !ejected && h.ejected && share > recoveryStep:
		rt.Fatalf("%s has %v of its share as its recovery begins", z.name, share)
	case !ejected && share > h.share+recoveryStep+tolerance:
		rt.Fatalf("%s went from %v to %v of its share", z.name, h.share, share)
	case ejected && !h.ejected && b.endpoints.weightOutside(z) < minRemainingCapacityRatio*endpoints:
		rt.Fatalf("%s was ejected, and the others have only %v of %v", z.name, b.endpoints.weightOutside(z), endpoints)
	}
	trials := 0
	for _, e := range b.endpoints.known {
		for _, a := range e.attempts {
			if e.zone == z && a.sentAt > h.ejectedAt {
				trials++
			}
		}
	}
	if ejected && h.ejected && trials > 1 {
		rt.Fatalf("%s is ejected and has %d attempts in flight", z.name, trials)
	}
	if ejected && !h.ejected {
		h.ejectedAt = now
	}
	h.share = share
	h.ejected = ejected
}

// With random results of attempts, an ejected zone gets one attempt at a time, its recovery skips no step, and a zone is
// ejected only if the others have the capacity to serve without it.
func TestZoneHealthTransitionsOnRandomEvents(t *testing.T) {
	names := []string{"near", "b", "c", "d"}
	rapid.Check(t, func(rt *rapid.T) {
		b, _ := newTestBalancer(t, testSettings(), fourZones(3))
		now := time.Hour
		id := RequestID(1)
		histories := map[string]*zoneHistory{}
		for _, name := range names {
			histories[name] = &zoneHistory{share: 1}
		}
		for range rapid.IntRange(1, 30).Draw(rt, "events") {
			statuses := map[string]Status{}
			for _, name := range names {
				statuses[name] = rapid.SampledFrom([]Status{OK, OK, Error, Reset, ConnectFailed, Rejected}).Draw(rt, name)
			}
			if rapid.Bool().Draw(rt, "a period") {
				now = runPeriods(b, now, 1, map[string]float64{"near": 0.3, "b": 0.3, "c": 0.3, "d": 0.3})
			}
			for range rapid.IntRange(1, 60).Draw(rt, "requests") {
				now, _ = sendReads(b, now, id, 1, statuses)
				id++
				for _, z := range b.endpoints.zones {
					histories[z.name].check(rt, b, z, now)
				}
			}
		}
	})
}
