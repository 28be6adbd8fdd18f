package balancer

import (
	"math"
	"slices"
	"testing"
	"time"
)

// Hundreds of balancers with connections to every upstream once filled all connection tables, and no
// balancer saw enough of any upstream to judge it.
func TestSubsetsAreSmallAndCoverEvenly(t *testing.T) {
	for _, c := range []struct{ balancers, upstreams, least, most int }{
		{8, 20, 20, 20},   // few balancers, twice the sharers: all upstreams
		{90, 20, 2, 2},    // never fewer than can be shared between
		{400, 60, 2, 2},   // as many balancers as these need
		{100, 60, 3, 3},   // about sharers an upstream
		{12, 20, 10, 10},  // in between: the width falls smoothly
		{1200, 250, 2, 2}, // larger than any so far
	} {
		s := testSettings()
		s.Balancers = c.balancers
		used := map[EndpointID]int{}
		for s.Rank = range c.balancers {
			s.Zone = []string{"near", "far"}[s.Rank%2]
			b, _ := newTestBalancer(t, s, fleet(c.upstreams))
			if n := len(b.subset); n < c.least || n > c.most {
				t.Fatalf("%+v: a balancer uses %d upstreams", c, n)
			}
			for _, e := range b.subset {
				used[e.ID]++
			}
		}
		mean := float64(c.balancers*c.least) / float64(c.upstreams)
		for id := range c.upstreams {
			if n := float64(used[EndpointID(id+1)]); n < 0.6*mean || n > 1.4*mean {
				t.Errorf("%+v: upstream %d serves %v balancers, the mean is %v", c, id+1, n, mean)
			}
		}
	}
}

// Told of another number of balancers, this one is as one that began with it: half of them dead once left quotas at half,
// and twice as many let each tenant have twice its own.
func TestFleetSizeChangeEqualsFreshStart(t *testing.T) {
	for _, now := range []FleetSize{{8, 3, 8}, {80, 61, 80}, {8, 3, 80}, {0, -1, 0}} {
		s := testSettings()
		s.Balancers = 40
		b, _ := newTestBalancer(t, s, fleet(40))
		b.OnFleetSizeChanged(time.Hour, now)
		s.Balancers, s.Rank = max(now.Balancers, 1), max(now.Rank, 0)
		want, _ := newTestBalancer(t, s, fleet(40))
		for i, e := range b.endpoints {
			if e.inSubset != want.endpoints[i].inSubset {
				t.Errorf("%+v: upstream %d is used: %v", now, e.ID, e.inSubset)
			}
		}
		for _, tenant := range s.Tenants {
			if got, part := b.tenants[tenant.Name].rate, tenant.Quota/float64(max(now.MaxBalancers, 1)); got != part {
				t.Errorf("%+v: %s has %v a second, want %v", now, tenant.Name, got, part)
			}
		}
		if part := want.initialLimit * float64(s.Balancers) / float64(max(now.MaxBalancers, 1)); math.Abs(b.initialLimit-part) > 1e-9 {
			t.Errorf("%+v: bounds begin at %v, want %v", now, b.initialLimit, part)
		}
	}
}

// With most of a small subset gone, a balancer once had nobody to send to while the fleet was well.
func TestSubsetReplacesUnresponsiveAndWarmingEndpoints(t *testing.T) {
	s := testSettings()
	s.Balancers = 40
	b, _ := newTestBalancer(t, s, fleet(40))
	before := slices.Clone(b.subset)
	before[0].outlier.unresponsive = true
	before[1].slowStart.active, before[1].slowStart.since = true, time.Hour
	b.rebuildSubset(time.Hour)
	if len(b.subset) != len(before)+2 {
		t.Errorf("%d upstreams in use, then %d with one silent and one cold", len(before), len(b.subset))
	}
	gone := before[2].Endpoint
	gone.State = Draining
	b.OnEndpointUpdate(time.Hour, UpdateDelta, []Endpoint{gone})
	if before[2].inSubset || len(b.subset) != len(before)+2 {
		t.Errorf("a draining upstream was not replaced: %d in use", len(b.subset))
	}
	before[0].outlier.unresponsive, before[1].slowStart.active = false, false
	b.rebuildSubset(time.Hour)
	if len(b.subset) != len(before) {
		t.Errorf("%d in use after all came back, %d at first", len(b.subset), len(before))
	}
}
