package balancer

import (
	"slices"
	"testing"
	"time"
)

// Regression: hundreds of balancers with connections to every endpoint filled all connection tables, and no balancer had
// enough traffic to any endpoint to assess its health.
func TestSubsetsAreSmallAndCoverEvenly(t *testing.T) {
	for _, test := range []struct{ balancers, endpoints, minSize, maxSize int }{
		{8, 20, 20, 20},   // twice balancersPerEndpoint: each balancer uses all endpoints
		{90, 20, 2, 2},    // minSubsetEndpoints
		{400, 60, 2, 2},   // minSubsetEndpoints, with more than balancersPerEndpoint for each endpoint
		{100, 60, 3, 3},   // about balancersPerEndpoint for each endpoint
		{12, 20, 10, 10},  // in between: the size falls smoothly
		{1200, 250, 2, 2}, // a very large fleet
	} {
		settings := testSettings()
		settings.Balancers = test.balancers
		users := map[EndpointID]int{}
		for rank := range test.balancers {
			settings.Rank = rank
			settings.Zone = []string{"near", "far"}[rank%2]
			b, _ := newTestBalancer(t, settings, fleet(test.endpoints))
			size := len(b.endpoints.tracked)
			if size < test.minSize || size > test.maxSize {
				t.Fatalf("%+v: a balancer uses %d endpoints, want %d to %d", test, size, test.minSize, test.maxSize)
			}
			for _, e := range b.endpoints.tracked {
				users[e.ID]++
			}
		}
		mean := float64(test.balancers*test.minSize) / float64(test.endpoints)
		for i := range test.endpoints {
			id := EndpointID(i + 1)
			n := float64(users[id])
			if n < 0.6*mean || n > 1.4*mean {
				t.Errorf("%+v: endpoint %d is used by %v balancers, the mean is %v", test, id, n, mean)
			}
		}
	}
}

// After a change of the fleet size a balancer has the same subset, quotas and initial limits as one that was started with
// that size. Regression: tenants had half of their quota after half of the balancers had failed, and twice their quota with
// twice as many balancers.
func TestFleetSizeChangeEqualsFreshStart(t *testing.T) {
	for _, size := range []FleetSize{
		{Balancers: 8, Rank: 3, MaxBalancers: 8},
		{Balancers: 80, Rank: 61, MaxBalancers: 80},
		{Balancers: 8, Rank: 3, MaxBalancers: 80},
		{Balancers: 0, Rank: -1, MaxBalancers: 0},
	} {
		settings := testSettings()
		settings.Balancers = 40
		b, _ := newTestBalancer(t, settings, fleet(40))
		b.OnFleetSizeChanged(time.Hour, size)
		settings.Balancers = max(size.Balancers, 1)
		settings.Rank = max(size.Rank, 0)
		fresh, _ := newTestBalancer(t, settings, fleet(40))
		for i, e := range b.endpoints.known {
			if e.inSubset != fresh.endpoints.known[i].inSubset {
				t.Errorf("%+v: endpoint %d in the subset: %v, want %v", size, e.ID, e.inSubset, !e.inSubset)
			}
		}
		maxBalancers := float64(max(size.MaxBalancers, 1))
		for _, tenant := range settings.Tenants {
			rate, want := b.clients.tenants[tenant.Name].rate, tenant.Quota/maxBalancers
			if rate != want {
				t.Errorf("%+v: tenant %s has %v requests per second, want %v", size, tenant.Name, rate, want)
			}
		}
		want := fresh.endpoints.initialLimit * float64(settings.Balancers) / maxBalancers
		if !approximately(b.endpoints.initialLimit, want) {
			t.Errorf("%+v: initial limit %v, want %v", size, b.endpoints.initialLimit, want)
		}
	}
}

// Regression: with most endpoints of a small subset out of service, a balancer had no endpoint to use, although the rest of
// the fleet was healthy.
func TestSubsetReplacesUnresponsiveAndWarmingEndpoints(t *testing.T) {
	settings := testSettings()
	settings.Balancers = 40
	b, _ := newTestBalancer(t, settings, fleet(40))
	before := slices.Clone(b.endpoints.tracked)
	before[0].outlier.unresponsive = true
	before[1].slowStart.active = true
	before[1].slowStart.since = time.Hour
	b.rebuildSubset(time.Hour)
	if len(b.endpoints.tracked) != len(before)+2 {
		t.Errorf("%d endpoints in use, then %d with one unresponsive and one warming up; want 2 more",
			len(before), len(b.endpoints.tracked))
	}
	draining := before[2].Endpoint
	draining.State = Draining
	b.OnEndpointUpdate(time.Hour, UpdateDelta, []Endpoint{draining})
	if before[2].inSubset || len(b.endpoints.tracked) != len(before)+2 {
		t.Errorf("a draining endpoint was not replaced: %d in use", len(b.endpoints.tracked))
	}
	before[0].outlier.unresponsive = false
	before[1].slowStart.active = false
	b.rebuildSubset(time.Hour)
	if len(b.endpoints.tracked) != len(before) {
		t.Errorf("%d in use after the others have recovered, want %d as at first", len(b.endpoints.tracked), len(before))
	}
}
