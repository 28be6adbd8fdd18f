package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A balancer whose upstreams all fail must go on trying them: one that rejects all that it gets for 4 s with no attempt in
// between counts as out of service. Its waits for an unresponsive upstream grew without a bound, to 50 s in these plays.
func TestAttemptsContinueWhileAllEndpointsFail(t *testing.T) {
	const (
		longestPause = 4 * time.Second // by the operators' word
		every        = 50 * ms
		lasts        = 2 * time.Minute
	)
	for name, failure := range map[string]struct {
		status  Status
		latency time.Duration
	}{
		"no answer":          {Timeout, 0}, // until the request's time is over
		"connection refused": {ConnectFailed, 0},
		"connect time-out":   {ConnectFailed, 250 * ms},
		"queue full":         {Rejected, 2 * ms},
		"error":              {Error, 2 * ms},
		"reset":              {Reset, 2 * ms},
	} {
		for _, upstreams := range []int{1, 4, 12} {
			for _, x := range []struct {
				class     string
				balancers int
			}{{"read", 2}, {"write", 2}, {"read", 300}, {"write", 300}} {
				t.Run(fmt.Sprintf("%s, %d upstreams, %s, %d balancers", name, upstreams, x.class, x.balancers), func(t *testing.T) {
					world := newFailingFleet(t, upstreams, x.balancers)
					world.run(x.class, OK, 50*ms, every, 10*time.Second)
					latency := failure.latency
					if failure.status == Timeout {
						latency = time.Second
					}
					pause := world.run(x.class, failure.status, latency, every, lasts)
					if pause > longestPause {
						t.Errorf("no attempt for %v while requests came every %v", pause, every)
					}
				})
			}
		}
	}
}

// failingWorld answers each attempt of a Balancer in the same way, in virtual time.
type failingFleet struct {
	balancer *Balancer
	now      time.Duration
	lastID   RequestID
	pending  []pendingResult
}

type pendingResult struct {
	dueAt time.Duration
	AttemptResult
}

func newFailingFleet(t *testing.T, upstreams, balancers int) *failingFleet {
	s := testSettings()
	s.Balancers = balancers
	b, _ := newTestBalancer(t, s, fleet(upstreams))
	return &failingFleet{balancer: b, now: time.Hour}
}

// play sends a request of a class every so often and ends each attempt with a status after a latency. It returns the longest
// time without an attempt.
func (w *failingFleet) run(class string, status Status, latency, every, lasts time.Duration) (longest time.Duration) {
	b := w.balancer
	attempts := map[*attempt]bool{}
	for end, last := w.now+lasts, w.now; w.now < end; w.now += 5 * ms {
		if w.now%every == 0 {
			w.lastID++
			b.OnRequest(w.now, Request{ID: w.lastID, Class: class, Timeout: time.Second})
		}
		b.OnTimer(w.now, tickToken)
		for _, e := range b.endpoints {
			for _, a := range e.attempts {
				if !attempts[a] {
					attempts[a] = true
					last = w.now
					w.pending = append(w.pending, pendingResult{w.now + latency, AttemptResult{ID: a.request.ID, Endpoint: e.ID,
						Attempt: slices.Index(a.request.attempts, a), Latency: latency, Status: status, RequestClosed: status == OK}})
				}
			}
		}
		longest = max(longest, w.now-last)
		for len(w.pending) > 0 && w.pending[0].dueAt <= w.now {
			o := w.pending[0]
			w.pending = w.pending[1:]
			b.OnAttemptResult(w.now, o.AttemptResult)
		}
	}
	return longest
}
