package balancer

import (
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// sited returns upstreams, so many in each named zone.
func sited(zones map[string]int, order ...string) []Endpoint {
	var list []Endpoint
	for _, z := range order {
		for range zones[z] {
			list = append(list, Endpoint{ID: EndpointID(len(list) + 1), Zone: z, Weight: 1})
		}
	}
	return list
}

// periods lets n periods go by in which each upstream reads as use has it for its zone.
func periods(b *Balancer, now time.Duration, n int, use map[string]float64) time.Duration {
	for range n {
		now += bandPeriod
		for _, u := range b.endpoints {
			for i := range bandReadings { // a window of like readings, each a little other than the last
				b.recordUtilization(u, LoadReport{Fields: HasUtilization | HasRate, Utilization: use[u.Zone], Rate: now.Seconds() + float64(i)}, 0, now)
			}
		}
		b.closePeriod(now)
	}
	return now
}

// homePart sends n requests and tells which part of them went to each zone.
func homePart(t *testing.T, b *Balancer, now time.Duration, n int) map[string]float64 {
	t.Helper()
	parts := map[string]float64{}
	for i := range n {
		u := serve(t, b, now+time.Duration(i)*ms, RequestID(1e6+int(now/ms)+i))
		parts[u.Zone] += 1 / float64(n)
	}
	return parts
}

// Three picks of four once crossed a zone on a fleet with four. With use to spare most stay home, and somebody is
// always asked elsewhere, or nothing would be known of them.
func TestHomeFirstWhileItHasUseToSpare(t *testing.T) {
	b, _ := start(t, settings(), sited(map[string]int{"near": 4, "b": 4, "c": 4, "d": 4}, "near", "b", "c", "d"))
	now := periods(b, time.Hour, 30, map[string]float64{"near": 0.3, "b": 0.3, "c": 0.3, "d": 0.3})
	if p := homePart(t, b, now, 1000)["near"]; p < 0.85 || p > 0.95 {
		t.Errorf("%.2f of the traffic stays home", p)
	}
}

// A home used beyond the fleet's use lets traffic out by degrees, no faster than its reports can tell of it, down to
// half of an even part and no further; and takes it back as it cools.
func TestFullHomeLetsTrafficOutByDegrees(t *testing.T) {
	b, _ := start(t, settings(), sited(map[string]int{"near": 4, "b": 4}, "near", "b"))
	hot, cool := map[string]float64{"near": 0.9, "b": 0.3}, map[string]float64{"near": 0.3, "b": 0.3}
	now := periods(b, time.Hour, 20, cool)
	before := b.locality.localShare
	for range 30 {
		now = periods(b, now, 1, hot)
		if before-b.locality.localShare > maxLocalShareStep+1e-9 {
			t.Fatalf("from %.2f to %.2f in a period", before, b.locality.localShare)
		}
		before = b.locality.localShare
	}
	if p := homePart(t, b, now, 1000)["near"]; math.Abs(p-0.25) > 0.05 {
		t.Errorf("%.2f of the traffic stays at a full home, an even part is 0.5", p)
	}
	now = periods(b, now, 30, cool)
	if p := homePart(t, b, now, 1000)["near"]; p < 0.85 {
		t.Errorf("only %.2f of it comes back", p)
	}
}

// Where the whole fleet is full, no turn is lost for being elsewhere: shares alone decide.
func TestFullFleetIsSharedEvenly(t *testing.T) {
	b, _ := start(t, settings(), sited(map[string]int{"near": 4, "b": 4}, "near", "b"))
	now := periods(b, time.Hour, 40, map[string]float64{"near": 0.95, "b": 0.95})
	if p := homePart(t, b, now, 1000)["near"]; math.Abs(p-0.5) > 0.05 {
		t.Errorf("%.2f of the traffic stays home on a full fleet", p)
	}
}

// What leaves a zone goes to its region first; another region gets the trickle that keeps it known.
func TestRegionComesNext(t *testing.T) {
	s := settings()
	s.Zone = "west/1"
	b, _ := start(t, s, sited(map[string]int{"west/1": 3, "west/2": 3, "east/1": 6}, "west/1", "west/2", "east/1"))
	now := periods(b, time.Hour, 30, map[string]float64{"west/1": 0.65, "west/2": 0.35, "east/1": 0.45})
	p := homePart(t, b, now, 2000)
	if p["west/2"] < 2*p["east/1"] || p["east/1"] == 0 || p["east/1"] > 0.12 {
		t.Errorf("a hot zone's traffic goes %v", p)
	}
}

// What can't be back in time from another region is not sent there; what can is, when home takes no more.
func TestAnotherRegionOnlyInTime(t *testing.T) {
	s := settings()
	s.Zone = "west/1"
	b, _ := start(t, s, sited(map[string]int{"west/1": 1, "west/2": 1, "east/1": 1}, "west/1", "west/2", "east/1"))
	for _, u := range b.endpoints {
		u.latency.mean, u.latency.workUnits = float64(200*ms), 1
	}
	r := &request{class: b.classes["read"], workUnits: 1, deadline: time.Hour + 150*ms}
	for _, u := range b.endpoints {
		if got, want := b.isEligible(u, r, time.Hour), u.Zone != "east/1"; got != want {
			t.Errorf("%s, 150 ms left of the usual 200: eligible %v, want %v", u.Zone, got, want)
		}
		if r.workUnits = 0.5; !b.isEligible(u, r, time.Hour) {
			t.Errorf("%s: half of the work has the time", u.Zone)
		}
		r.workUnits = 1
	}
}

// Without zones, with one, or with none of its own listed, a balancer does what shares alone say.
func TestNoZonesAsBefore(t *testing.T) {
	for _, c := range []struct{ own, of string }{{"", ""}, {"near", "near"}, {"elsewhere", "near"}} {
		s := settings()
		s.Zone = c.own
		list := fleet(6)
		for i := range list {
			list[i].Zone = c.of
		}
		b, _ := start(t, s, list)
		periods(b, time.Hour, 10, map[string]float64{c.of: 0.4})
		for _, z := range b.zones {
			if z.localityWeight != 1 {
				t.Errorf("%+v: zone %q has a tilt of %v", c, z.name, z.localityWeight)
			}
		}
	}
}

// Whatever readings say, the parts keep their bounds, every tilt is a figure over 0, and zones that nobody is in any more
// are forgotten.
func TestTiltsStayWithinBounds(t *testing.T) {
	names := []string{"near", "b", "x/c", "x/d", "y/e"}
	rapid.Check(t, func(rt *rapid.T) {
		s := settings()
		s.Zone = rapid.SampledFrom(names).Draw(rt, "own")
		b, _ := start(t, s, nil)
		now := time.Hour
		for range rapid.IntRange(1, 20).Draw(rt, "events") {
			count, use := map[string]int{}, map[string]float64{}
			for _, z := range names {
				count[z] = rapid.IntRange(0, 4).Draw(rt, "upstreams of "+z)
				use[z] = rapid.Float64Range(0, 1).Draw(rt, "use of "+z)
			}
			list := sited(count, names...)
			for i := range list { // zones are renamed and upstreams move between them
				list[i].Weight = rapid.Float64Range(0.1, 10).Draw(rt, "weight")
			}
			b.OnEndpointUpdate(now, UpdateComplete, list)
			now = periods(b, now, rapid.IntRange(1, 4).Draw(rt, "periods"), use)
			listed := map[string]bool{s.Zone: true}
			for _, u := range b.endpoints {
				listed[u.Zone] = true
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

// A zone left by hand gets nothing until it is returned, whatever discovery and readings do, and then each step of its
// share in order, each held for its periods; at any time some zone that is not left has upstreams.
func TestHandLeftZoneComesBackStepByStep(t *testing.T) {
	names := []string{"near", "b", "c"}
	rapid.Check(t, func(rt *rapid.T) {
		b, h := start(t, settings(), sited(map[string]int{"near": 2, "b": 2, "c": 2}, names...))
		now, id := time.Hour, RequestID(1)
		back := map[string]float64{"near": 1, "b": 1, "c": 1}
		left, held := map[string]bool{}, map[string]int{}
		for range rapid.IntRange(1, 40).Draw(rt, "events") {
			name := rapid.SampledFrom(names).Draw(rt, "zone")
			switch rapid.IntRange(0, 4).Draw(rt, "event") {
			case 0:
				done := b.DrainZone(now, name)
				others := 0
				for _, z := range names {
					if z != name && !left[z] {
						others++
					}
				}
				if done != (others > 0) {
					rt.Fatalf("leaving %s with %d others: %v", name, others, done)
				}
				left[name] = left[name] || done
			case 1:
				if done := b.ReinstateZone(now, name); done != left[name] {
					rt.Fatalf("returning %s, left %v: %v", name, left[name], done)
				} else if done {
					left[name], back[name], held[name] = false, 0, 0
				}
			case 2:
				b.OnEndpointUpdate(now, UpdateComplete, sited(map[string]int{"near": 2, "b": 2, "c": 2}, names...))
			case 3:
				use := map[string]float64{}
				for _, z := range names {
					use[z] = rapid.Float64Range(0, 1).Draw(rt, "use of "+z)
					held[z]++
				}
				now = periods(b, now, 1, use)
			case 4:
				from := len(h.lines)
				u := serve(t, b, now, id)
				if id++; left[u.Zone] {
					rt.Fatalf("%s was left and got %s", u.Zone, h.lines[from:])
				}
			}
			now += 50 * ms
			for _, z := range b.zones {
				switch step := z.health.recoveredShare - back[z.name]; {
				case left[z.name]:
				case step > recoveryStep+1e-9:
					rt.Fatalf("%s went from %v to %v of its share at once", z.name, back[z.name], z.health.recoveredShare)
				case step > 0 && back[z.name] > 0 && held[z.name] < minHoldPeriods:
					rt.Fatalf("%s went on after %d periods", z.name, held[z.name])
				case step > 0:
					back[z.name], held[z.name] = z.health.recoveredShare, 0
				}
			}
		}
	})
}

// answered sends n reads and ends every attempt as its zone does; it tells how many attempts each zone got.
func answered(b *Balancer, now time.Duration, first RequestID, n int, of map[string]Status) (after time.Duration, got map[string]int) {
	got = map[string]int{}
	for i := range n {
		id := first + RequestID(i)
		now += 20 * ms
		b.OnRequest(now, Request{ID: id, Class: "read", Timeout: time.Second})
		for r := b.requests[id]; r != nil && !r.finished && r.inFlight > 0; r = b.requests[id] {
			k := len(r.attempts) - 1
			u := r.attempts[k].endpoint
			got[u.Zone]++
			b.OnAttemptResult(now, AttemptResult{ID: id, Endpoint: u.ID, Attempt: k, Latency: 50 * ms, Status: of[u.Zone], RequestClosed: of[u.Zone] == OK})
		}
		b.OnTimer(now, tickToken)
	}
	return now, got
}

func four(n int) []Endpoint {
	return sited(map[string]int{"near": n, "b": n, "c": n, "d": n}, "near", "b", "c", "d")
}

// A zone that answers everything at once with an error once drew traffic without end. It is left but for trials, the rest
// are not; when it answers well it comes back by steps, and in the end has its part again.
func TestBlackHoleIsLeftAndComesBack(t *testing.T) {
	s := settings()
	s.Zone = "d"
	b, _ := start(t, s, four(4))
	well := map[string]Status{"near": OK, "b": OK, "c": OK, "d": OK}
	now, before := answered(b, time.Hour, 1, 400, well)
	hole := map[string]Status{"near": OK, "b": Error, "c": OK, "d": OK}
	now, _ = answered(b, now, 1000, 400, hole)
	now, got := answered(b, now, 2000, 400, hole)
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
	now, _ = answered(b, now, 3000, 1500, well)
	if z := b.zoneNamed("b"); z.health.ejected || z.health.recoveredShare < 1 {
		t.Errorf("after 30 s of good answers: failed %v, %v of its share", z.health.ejected, z.health.recoveredShare)
	}
	if _, after := answered(b, now, 5000, 400, well); after["b"] < before["b"]/2 {
		t.Errorf("%d of 400 attempts before, %d after", before["b"], after["b"])
	}
}

// Where every zone is sick alike the fault may be this balancer's own link: nobody is left. Nor is one whose loss the
// others could not bear, nor one with a single bad rack.
func TestZonesAreNotLeftLightly(t *testing.T) {
	for _, c := range []struct {
		name string
		list []Endpoint
		sick func(u *endpoint) bool
	}{
		{"all alike", four(4), func(u *endpoint) bool { return u.ID%4 != 0 }},
		{"others somewhat less", four(4), func(u *endpoint) bool { return u.Zone == "b" || u.ID%2 == 0 }},
		{"the greater part of the fleet", sited(map[string]int{"near": 2, "b": 8}, "near", "b"), func(u *endpoint) bool { return u.Zone == "b" }},
		{"one bad rack of four", four(4), func(u *endpoint) bool { return u.Zone == "b" && u.ID%4 == 0 }},
		{"a lone upstream", four(1), func(u *endpoint) bool { return u.Zone == "b" }},
	} {
		b, _ := start(t, settings(), c.list)
		for _, u := range b.endpoints {
			if c.sick(u) {
				u.outlier.errorRate = 1
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
func TestZoneFallsSilentJointly(t *testing.T) {
	for _, c := range []struct {
		name string
		owes func(u *endpoint) bool
		want bool
	}{
		{"a zone", func(u *endpoint) bool { return u.Zone == "b" }, true},
		{"most of it, and nothing is heard of the last", func(u *endpoint) bool { return u.Zone == "b" && u.ID != 5 }, true},
		{"two of it", func(u *endpoint) bool { return u.ID == 5 || u.ID == 6 }, false},
		{"half of every zone", func(u *endpoint) bool { return u.ID%4 > 1 }, false},
		{"a zone, beside others whose answers are late", func(u *endpoint) bool { return u.Zone == "b" }, false},
	} {
		b, _ := start(t, settings(), four(4))
		now := time.Hour
		for i, u := range b.endpoints {
			u.latency.mean, u.latency.deviation, u.latency.workUnits = float64(100*ms), float64(20*ms), 1
			if u.outlier.respondedAt = now; u.ID == 5 && !c.owes(u) && c.want {
				u.outlier.respondedAt = 0 // idle for long
			}
			if u.latency.baseline, u.latency.smoothed = 1, 1; strings.Contains(c.name, "late") {
				u.latency.smoothed = 2
			}
			if c.owes(u) {
				id := RequestID(i + 1)
				r := &request{Request: Request{ID: id, Timeout: time.Second}, class: b.classes["read"], workUnits: 1, deadline: now + time.Second}
				b.requests[id] = r
				b.startAttempt(r, u, now)
			}
		}
		now += 200 * ms // the patience with one alone is over 350 ms
		for _, u := range b.endpoints {
			if !c.owes(u) && u.outlier.respondedAt > 0 {
				u.outlier.respondedAt = now
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
func TestErrorsOfAZoneCountTogether(t *testing.T) {
	b, _ := start(t, settings(), four(6))
	now, id := time.Hour, RequestID(1)
	for i := range 12 {
		u := b.endpoints[6+i%6]
		r := &request{Request: Request{ID: id, Timeout: time.Second}, class: b.classes["read"], workUnits: 1, deadline: now + time.Second}
		b.requests[id] = r
		b.startAttempt(r, u, now)
		b.OnAttemptResult(now, AttemptResult{ID: id, Endpoint: u.ID, Latency: ms, Status: Error, RequestClosed: true})
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
func TestTwoBadRacksAreNoZone(t *testing.T) {
	b, _ := start(t, settings(), four(4))
	now := time.Hour
	for i := range 600 {
		u := b.endpoints[4+i%2]
		if i%15 == 14 {
			u = b.endpoints[6+i%2]
		}
		id := RequestID(i + 1)
		r := &request{Request: Request{ID: id, Timeout: time.Second}, class: b.classes["read"], workUnits: 1, deadline: now + time.Second}
		b.requests[id] = r
		b.startAttempt(r, u, now)
		status := OK
		if u.ID <= 6 || i%300 == 299 { // the good ones fail now and then, too
			status = Error
		}
		b.OnAttemptResult(now, AttemptResult{ID: id, Endpoint: u.ID, Latency: ms, Status: status, RequestClosed: true})
		now += 10 * ms
		if b.updateZoneHealth(now); b.zoneNamed("b").health.ejected {
			t.Fatalf("the zone was left after %d answers", i+1)
		}
	}
}

// Whatever happens to upstreams, no zone goes from failed to its whole share without each step, a failed one gets one
// attempt at a time, and those that are not failed keep the floor.
func TestZoneHealthGoesByItsSteps(t *testing.T) {
	names := []string{"near", "b", "c", "d"}
	rapid.Check(t, func(rt *rapid.T) {
		b, _ := start(t, settings(), four(3))
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
				now = periods(b, now, 1, map[string]float64{"near": 0.3, "b": 0.3, "c": 0.3, "d": 0.3})
			}
			for range rapid.IntRange(1, 60).Draw(rt, "requests") {
				now, _ = answered(b, now, id, 1, of)
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
					for _, u := range b.endpoints {
						for _, a := range u.attempts {
							if u.zone == z && a.sentAt > since[z.name] {
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

// A balancer that uses few of many upstreams has one or two at home. Nine parts in ten of its traffic went there, and where
// one of them drained or was cold all of that waited on the other. Such a balancer goes by shares alone; one that uses all
// of its upstreams, or enough, leans to its zone.
func TestFewUpstreamsAreNotLeantOn(t *testing.T) {
	for _, x := range []struct {
		upstreams, balancers int
		leans                bool
	}{{4, 1, true}, {200, 300, false}, {200, 60, true}} {
		s := settings()
		s.Zone, s.Balancers = "a", x.balancers
		list := fleet(x.upstreams)
		for i := range list {
			list[i].Zone = []string{"a", "b", "c", "d"}[i%4]
		}
		b, _ := start(t, s, list)
		home, used := 0, 0
		for _, u := range b.subset {
			if used++; u.Zone == "a" {
				home++
			}
		}
		if leans := b.locality.localShare > 0; leans != x.leans || used == 0 {
			t.Errorf("%d balancers of %d upstreams: uses %d, %d at home, %.2f stay, want leaning %v", x.balancers, x.upstreams, used, home, b.locality.localShare, x.leans)
		}
	}
}
