package balancer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A zone left by hand gets nothing until it is returned, whatever discovery and readings do, and then each step of its
// share in order, each held for its periods; at any time some zone that is not left has upstreams.
func TestReinstatedZoneRecoversStepByStep(t *testing.T) {
	names := []string{"near", "b", "c"}
	rapid.Check(t, func(rt *rapid.T) {
		b, effects := newTestBalancer(t, testSettings(), endpointsInZones(map[string]int{"near": 2, "b": 2, "c": 2}, names...))
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
				b.OnEndpointUpdate(now, UpdateComplete, endpointsInZones(map[string]int{"near": 2, "b": 2, "c": 2}, names...))
			case 3:
				use := map[string]float64{}
				for _, z := range names {
					use[z] = rapid.Float64Range(0, 1).Draw(rt, "use of "+z)
					held[z]++
				}
				now = runPeriods(b, now, 1, use)
			case 4:
				from := len(effects.calls)
				e := serveRequest(t, b, now, id)
				if id++; left[e.Zone] {
					rt.Fatalf("%s was left and got %s", e.Zone, effects.calls[from:])
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
