package balancer

import (
	"testing"
	"time"
)

func TestFailedDiscoveryIsRetriedWithBackoff(t *testing.T) {
	s := testSettings()
	s.PollDiscovery = true
	b, effects := newTestBalancer(t, s, fleet(1))
	if effects.count("watch") != 1 {
		t.Fatal("did not subscribe at the start")
	}
	var last time.Duration
	for range 3 {
		b.OnEndpointUpdate(time.Hour, UpdateFailed, nil)
		if b.discoveryBackoff <= last {
			t.Errorf("wait %v after %v", b.discoveryBackoff, last)
		}
		last = b.discoveryBackoff
	}
	var longest time.Duration
	effects.hook = func(kind string, _ RequestID, _ EndpointID, d time.Duration, n uint64) {
		if kind == "timer" && n == discoveryToken {
			longest = max(longest, d)
		}
	}
	for range 50 { // waits once grew to 7.5 s, when what was to tell had counted as told for a second and a half
		b.OnEndpointUpdate(time.Hour, UpdateFailed, nil)
	}
	if most := s.Obligations.PollInterval / 5; longest == 0 || longest > most {
		t.Errorf("waits of up to %v, want %v at the most", longest, most)
	}
	b.OnTimer(time.Hour, discoveryToken)
	if effects.count("watch") != 2 || len(b.endpoints) != 1 {
		t.Error("did not ask again, or lost the list")
	}
}

// What discovery holds counts as told at once where it pushes, so no wait between two calls may come near the grace for
// drains; waits of 1.9 s stood against one of 0.5 s. Where it is asked, what was to tell counts after 6 s, however rarely
// the settings want it asked: with 60 s waits were up to 11 s.
func TestDiscoveryRetriesStayWithinNotificationDelay(t *testing.T) {
	for _, x := range []struct {
		asked         bool
		within, grace time.Duration
		longest       time.Duration
	}{
		{false, 10 * time.Second, 500 * ms, 250 * ms},
		{false, 0, 2 * time.Second, time.Second},
		{true, 10 * time.Second, 500 * ms, 2 * time.Second},
		{true, time.Minute, 500 * ms, 3 * time.Second},
		{true, 2 * time.Second, 500 * ms, 400 * ms},
	} {
		s := testSettings()
		s.PollDiscovery, s.Obligations.PollInterval, s.Obligations.DrainGrace = x.asked, x.within, x.grace
		b, effects := newTestBalancer(t, s, fleet(1))
		var longest time.Duration
		effects.hook = func(kind string, _ RequestID, _ EndpointID, d time.Duration, n uint64) {
			if kind == "timer" && n == discoveryToken {
				longest = max(longest, d)
			}
		}
		for range 100 {
			b.OnEndpointUpdate(time.Hour, UpdateFailed, nil)
		}
		if longest < x.longest/4 || longest > x.longest {
			t.Errorf("%+v: waits of up to %v", x, longest)
		}
	}
}
