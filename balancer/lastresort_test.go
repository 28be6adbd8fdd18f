package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A balancer that rejects everything for 4 s with no attempt in between counts as out of service, so attempts have to go on
// while all endpoints fail. Regression: the backoff of unresponsive endpoints grew without a bound, to 50 s in these runs.
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
		"no answer":          {Timeout, time.Second}, // until the request's timeout
		"connection refused": {ConnectFailed, 0},
		"connect time-out":   {ConnectFailed, 250 * ms},
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
					fleet := newFailingFleet(t, endpoints, load.balancers)
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

// failingFleet ends each attempt of a Balancer with the same status after the same latency, in virtual time.
type failingFleet struct {
	balancer *Balancer
	now      time.Duration
	lastID   RequestID
	status   Status
	latency  time.Duration
	started  map[*attempt]bool
	pending  []pendingResult // in the order in which they are due
}

// pendingResult is the result of an attempt that is still to be delivered.
type pendingResult struct {
	dueAt time.Duration
	AttemptResult
}

func newFailingFleet(t *testing.T, endpoints, balancers int) *failingFleet {
	t.Helper()
	settings := testSettings()
	settings.Balancers = balancers
	b, _ := newTestBalancer(t, settings, fleet(endpoints))
	return &failingFleet{balancer: b, now: time.Hour, started: map[*attempt]bool{}}
}

// run sends a request of a class at each interval for a duration. It returns the longest time without an attempt.
func (f *failingFleet) run(class string, interval, duration time.Duration) (longest time.Duration) {
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

// takeAttempts prepares the results of attempts that have started, and reports whether there are any.
func (f *failingFleet) takeAttempts() (found bool) {
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

// deliverResults gives the balancer the results that are due.
func (f *failingFleet) deliverResults() {
	for len(f.pending) > 0 && f.pending[0].dueAt <= f.now {
		result := f.pending[0].AttemptResult
		f.pending = f.pending[1:]
		f.balancer.OnAttemptResult(f.now, result)
	}
}
