package balancer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drainTest drains and reinstates the zones of a Balancer, and checks the traffic and the recovered share of each zone.
type drainTest struct {
	t              *testing.T
	rt             *rapid.T
	balancer       *Balancer
	effects        *recorder
	now            time.Duration
	nextID         RequestID
	zones          []string
	drained        map[string]bool
	share          map[string]float64 // recovered share of each zone after its last growth
	stepAgePeriods map[string]int     // periods since then
}

// list returns two endpoints in each zone.
func (s *drainTest) list() []Endpoint {
	return endpointsInZones(map[string]int{"near": 2, "b": 2, "c": 2}, s.zones...)
}

// drain drains a zone. This must fail if no other zone is in use.
func (s *drainTest) drain(name string) {
	done := s.balancer.DrainZone(s.now, name)
	others := 0
	for _, zone := range s.zones {
		if zone != name && !s.drained[zone] {
			others++
		}
	}
	if done != (others > 0) {
		s.rt.Fatalf("draining %s with %d others in use: %v", name, others, done)
	}
	s.drained[name] = s.drained[name] || done
}

// reinstate reinstates a zone. This must fail if the zone is not drained.
func (s *drainTest) reinstate(name string) {
	done := s.balancer.ReinstateZone(s.now, name)
	if done != s.drained[name] {
		s.rt.Fatalf("reinstating %s, drained %v: %v", name, s.drained[name], done)
	}
	if done {
		s.drained[name] = false
		s.share[name] = 0
		s.stepAgePeriods[name] = 0
	}
}

// runPeriod simulates a period with random utilization of the zones.
func (s *drainTest) runPeriod() {
	utilization := map[string]float64{}
	for _, zone := range s.zones {
		utilization[zone] = rapid.Float64Range(0, 1).Draw(s.rt, "utilization of "+zone)
		s.stepAgePeriods[zone]++
	}
	s.now = runPeriods(s.balancer, s.now, 1, utilization)
}

// serve sends a request, which must not go to a drained zone.
func (s *drainTest) serve() {
	from := len(s.effects.calls)
	e := serveRequest(s.t, s.balancer, s.now, s.nextID)
	s.nextID++
	if s.drained[e.Zone] {
		s.rt.Fatalf("%s is drained and got %s", e.Zone, s.effects.calls[from:])
	}
}

// checkRecovery checks that the share of a zone in use grows by at most one step at a time, and that each step except the
// first follows only after the previous one has lasted long enough.
func (s *drainTest) checkRecovery(z *zone) {
	if s.drained[z.name] {
		return
	}
	before, share := s.share[z.name], z.health.recoveredShare
	if share-before > recoveryStep+tolerance {
		s.rt.Fatalf("%s went from %v to %v of its share at once", z.name, before, share)
	}
	if share <= before {
		return
	}
	if before > 0 && s.stepAgePeriods[z.name] < minStepPeriods {
		s.rt.Fatalf("the share of %s grew again after %d periods", z.name, s.stepAgePeriods[z.name])
	}
	s.share[z.name] = share
	s.stepAgePeriods[z.name] = 0
}

// With any endpoint lists and load reports, a drained zone gets no attempt until it is reinstated. Then its share grows step
// by step, and each step lasts for its periods. At any time some zone that is not drained has endpoints.
func TestReinstatedZoneRecoversStepByStep(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &drainTest{
			t:              t,
			rt:             rt,
			now:            time.Hour,
			nextID:         1,
			zones:          []string{"near", "b", "c"},
			drained:        map[string]bool{},
			share:          map[string]float64{"near": 1, "b": 1, "c": 1},
			stepAgePeriods: map[string]int{},
		}
		s.balancer, s.effects = newTestBalancer(t, testSettings(), s.list())
		for range rapid.IntRange(1, 40).Draw(rt, "events") {
			name := rapid.SampledFrom(s.zones).Draw(rt, "zone")
			switch rapid.SampledFrom([]string{"drain", "reinstate", "update", "period", "request"}).Draw(rt, "event") {
			case "drain":
				s.drain(name)
			case "reinstate":
				s.reinstate(name)
			case "update":
				s.balancer.OnEndpointUpdate(s.now, UpdateComplete, s.list())
			case "period":
				s.runPeriod()
			case "request":
				s.serve()
			}
			s.now += 50 * ms
			for _, z := range s.balancer.endpoints.zones {
				s.checkRecovery(z)
			}
		}
	})
}
