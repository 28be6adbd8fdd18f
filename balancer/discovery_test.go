package balancer

import (
	"testing"
	"time"
)

func TestFailedDiscoveryIsRetriedWithBackoff(t *testing.T) {
	settings := testSettings()
	settings.PollDiscovery = true
	b, effects := newTestBalancer(t, settings, fleet(1))
	if effects.count("watch") != 1 {
		t.Fatal("did not subscribe at the start")
	}
	var previous time.Duration
	for range 3 {
		b.OnEndpointUpdate(time.Hour, UpdateFailed, nil)
		if b.discovery.backoff <= previous {
			t.Errorf("backoff %v after %v", b.discovery.backoff, previous)
		}
		previous = b.discovery.backoff
	}
	// Regression: waits grew to 7.5 s, 1.5 s longer than the time after which changes count as notified.
	longest := longestDiscoveryWait(b, effects, 50)
	maxWait := settings.Obligations.PollInterval / 5
	if longest == 0 || longest > maxWait {
		t.Errorf("waits of up to %v, want %v at most", longest, maxWait)
	}
	b.OnTimer(time.Hour, discoveryToken)
	if effects.count("watch") != 2 {
		t.Error("did not subscribe again")
	}
	if len(b.endpoints.known) != 1 {
		t.Errorf("%d endpoints after failed calls, want 1", len(b.endpoints.known))
	}
}

// longestDiscoveryWait reports failed calls to discovery and returns the longest wait before a retry.
func longestDiscoveryWait(b *Balancer, effects *recorder, failures int) (longest time.Duration) {
	effects.hook = func(call effectCall) {
		if call.kind == setTimerEffect && call.number == discoveryToken {
			longest = max(longest, call.duration)
		}
	}
	for range failures {
		b.OnEndpointUpdate(time.Hour, UpdateFailed, nil)
	}
	return longest
}

// Where discovery pushes changes, they count as notified at once, so that the waits between calls must stay well below the
// drain grace. Regression: waits of 1.9 s with a grace of 0.5 s. Where discovery is polled, changes count as notified after
// notificationDelay, whatever the poll interval is. Regression: waits of 11 s with an interval of 60 s.
func TestDiscoveryRetriesStayWithinNotificationDelay(t *testing.T) {
	for _, test := range []struct {
		poll         bool
		pollInterval time.Duration
		drainGrace   time.Duration
		maxWait      time.Duration
	}{
		{false, 10 * time.Second, 500 * ms, 250 * ms},
		{false, 0, 2 * time.Second, time.Second},
		{true, 10 * time.Second, 500 * ms, 2 * time.Second},
		{true, time.Minute, 500 * ms, 3 * time.Second},
		{true, 2 * time.Second, 500 * ms, 400 * ms},
	} {
		settings := testSettings()
		settings.PollDiscovery = test.poll
		settings.Obligations.PollInterval = test.pollInterval
		settings.Obligations.DrainGrace = test.drainGrace
		b, effects := newTestBalancer(t, settings, fleet(1))
		longest := longestDiscoveryWait(b, effects, 100)
		if longest < test.maxWait/4 || longest > test.maxWait {
			t.Errorf("%+v: waits of up to %v, want %v to %v", test, longest, test.maxWait/4, test.maxWait)
		}
	}
}
