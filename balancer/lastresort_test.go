package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A balancer that rejects everything for 4 s without an attempt counts as out of service, so attempts must continue while
// all endpoints fail. Regression: the backoff of unresponsive endpoints grew without a bound, to 50 s in these cases.
func TestAttemptsContinueWhileAllEndpointsFail(t *testing.T) {
	const (
		maxPause = 4 * time.Second // by the operators' rules
		interval = 50 * ms
		duration = 2 * time.Minute
	)
	for name, failure := range map[string]struct {
		status  Status
		latency time.Duration
	}{
		"no response":        {Timeout, time.Second}, // until the request's timeout
		"connection refused": {ConnectFailed, 0},
		"connect timeout":    {ConnectFailed, 250 * ms},
		"queue full":         {Rejected, 2 * ms},
		"error":              {Error, 2 * ms},
		"reset":              {Reset, 2 * ms},
	} {
		for _, endpoints := range []int{1, 4, 12} {
			for _, load := range []struct {
				class     string
				balancers int
			}{{"read", 2}, {"write", 2}, {"read", 300}, {"write", 300}} {
				t.Run(fmt.Sprintf("%s, %d endpoints, %s, %d balancers", name, endpoints, load.class, load.balancers), func(t *testing.T) {
					fleet := newSimulatedFleet(t, endpoints, load.balancers)
					fleet.status = OK
					fleet.latency = 50 * ms
					fleet.run(load.class, interval, 10*time.Second)
					fleet.status = failure.status
					fleet.latency = failure.latency
					pause := fleet.run(load.class, interval, duration)
					if pause > maxPause {
						t.Errorf("no attempt for %v while requests came every %v", pause, interval)
					}
				})
			}
		}
	}
}

// simulatedFleet ends each attempt of a Balancer with its current status after its current latency, in virtual time.
type simulatedFleet struct {
	balancer *Balancer
	now      time.Duration
	lastID   RequestID
	status   Status
	latency  time.Duration
	started  map[*attempt]bool
	pending  []pendingResult // in the order of their due times
}

// pendingResult is the result of an attempt that has not been delivered yet.
type pendingResult struct {
	dueAt time.Duration
	AttemptResult
}

func newSimulatedFleet(t *testing.T, endpoints, balancers int) *simulatedFleet {
	t.Helper()
	settings := testSettings()
	settings.Balancers = balancers
	b, _ := newTestBalancer(t, settings, fleet(endpoints))
	return &simulatedFleet{balancer: b, now: time.Hour, started: map[*attempt]bool{}}
}

// run sends a request of a class once per interval for a duration. It returns the longest time without an attempt.
func (f *simulatedFleet) run(class string, interval, duration time.Duration) (longest time.Duration) {
	end := f.now + duration
	lastAttemptAt := f.now
	for ; f.now < end; f.now += 5 * ms {
		if f.now%interval == 0 {
			f.lastID++
			f.balancer.OnRequest(f.now, Request{ID: f.lastID, Class: class, Timeout: time.Second})
		}
		f.balancer.OnTimer(f.now, tickToken)
		if f.takeAttempts() {
			lastAttemptAt = f.now
		}
		longest = max(longest, f.now-lastAttemptAt)
		f.deliverResults()
	}
	return longest
}

// takeAttempts schedules the results of newly started attempts, and reports whether there are any.
func (f *simulatedFleet) takeAttempts() (found bool) {
	for _, e := range f.balancer.endpoints.known {
		for _, a := range e.attempts {
			if f.started[a] {
				continue
			}
			f.started[a] = true
			found = true
			f.pending = append(f.pending, pendingResult{f.now + f.latency, AttemptResult{
				ID:            a.request.ID,
				Endpoint:      e.ID,
				Attempt:       slices.Index(a.request.attempts, a),
				Latency:       f.latency,
				Status:        f.status,
				RequestClosed: f.status == OK,
			}})
		}
	}
	return found
}

// deliverResults reports the results that are due to the balancer.
func (f *simulatedFleet) deliverResults() {
	for len(f.pending) > 0 && f.pending[0].dueAt <= f.now {
		result := f.pending[0].AttemptResult
		f.pending = f.pending[1:]
		f.balancer.OnAttemptResult(f.now, result)
	}
}
