package balancer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drainScenario drains and reinstates the zones of a Balancer, and checks what each of them gets meanwhile.
type drainScenario struct {
	t              *testing.T
	rt             *rapid.T
	balancer       *Balancer
	effects        *recorder
	now            time.Duration
	nextID         RequestID
	zones          []string
	drained        map[string]bool
	share          map[string]float64 // the recovered share of each zone when it last grew
	stepAgePeriods map[string]int     // since then
}

// list returns two endpoints in each zone.
func (s *drainScenario) list() []Endpoint {
	return endpointsInZones(map[string]int{"near": 2, "b": 2, "c": 2}, s.zones...)
}

// drain drains a zone, which fails for the last one that is not drained.
func (s *drainScenario) drain(name string) {
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

// reinstate reinstates a zone, which fails for one that is not drained.
func (s *drainScenario) reinstate(name string) {
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

// runPeriod passes a period with random utilization of the zones.
func (s *drainScenario) runPeriod() {
	utilization := map[string]float64{}
	for _, zone := range s.zones {
		utilization[zone] = rapid.Float64Range(0, 1).Draw(s.rt, "utilization of "+zone)
		s.stepAgePeriods[zone]++
	}
	s.now = runPeriods(s.balancer, s.now, 1, utilization)
}

// serve sends a request, which must not go to a drained zone.
func (s *drainScenario) serve() {
	from := len(s.effects.calls)
	e := serveRequest(s.t, s.balancer, s.now, s.nextID)
	s.nextID++
	if s.drained[e.Zone] {
		s.rt.Fatalf("%s is drained and got %s", e.Zone, s.effects.calls[from:])
	}
}

// checkRecovery checks that the share of a zone in use grows by one step at a time, and that each step but the first comes
// after the one before has lasted long enough.
func (s *drainScenario) checkRecovery(z *zone) {
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

// A drained zone gets nothing until it is reinstated, whatever discovery and load reports say, and then each step of its
// share in order, each lasting for its periods. Some zone that is not drained has endpoints at any time.
func TestReinstatedZoneRecoversStepByStep(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &drainScenario{
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
