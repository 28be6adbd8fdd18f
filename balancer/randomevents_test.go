package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// drive feeds random legal events for a while and returns the rules broken.
func runRandomEvents(t *testing.T, s Settings, seed uint64, origin time.Duration) (*checker, *recorder) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	c := &checker{t: t, settings: s, now: origin, requests: map[RequestID]*checkedRequest{}, listed: map[EndpointID]Endpoint{}, removedAt: map[EndpointID]time.Duration{}, recentSends: map[EndpointID][]time.Duration{}}
	effects := &recorder{hook: c.onEffect}
	b, err := New(s, seed, c.now, effects)
	if err != nil {
		t.Fatal(err)
	}
	c.updateEndpoints(b, UpdateCached, fleet(5))
	next := RequestID(1)
	for step := range 4000 {
		c.now += 5 * ms
		if step < 3600 && rng.IntN(3) > 0 {
			c.sendRequest(b, rng, next)
			next++
		}
		c.endAttempts(b, rng)
		if rng.IntN(60) == 0 {
			c.changeEndpoints(b, rng)
		}
		c.fireTimers(b)
		c.checkDeadlines()
	}
	return c, effects
}

func (c *checker) sendRequest(b *Balancer, rng *rand.Rand, id RequestID) {
	cl := c.settings.Classes[rng.IntN(len(c.settings.Classes))]
	budget := cl.Deadline // a first try; the others are later ones, or of impatient clients
	if rng.IntN(2) == 0 {
		budget = time.Duration(1+rng.Int64N(int64(cl.Deadline/ms))) * ms
	}
	if rng.IntN(40) == 0 {
		budget = -time.Duration(rng.IntN(2)) * ms
	}
	r := &checkedRequest{id: id, class: cl, deadline: c.now + budget}
	c.requests[id] = r
	q := Request{ID: id, Class: cl.Name, Timeout: budget, CostHint: time.Duration(rng.IntN(90)) * ms,
		Tenant: c.settings.Tenants[rng.IntN(len(c.settings.Tenants))].Name}
	if rng.IntN(2) == 0 {
		q.Key, q.HasKey = uint64(rng.IntN(20)), true
	}
	b.OnRequest(c.now, q)
	if r.finalAnswers == 0 && rng.IntN(50) == 0 { // an impatient client
		r.closedAt = c.now
		b.OnClientDisconnected(c.now, id)
	}
}

// finishSome ends attempts that are due, and some at random with any status.
func (c *checker) endAttempts(b *Balancer, rng *rand.Rand) {
	for _, a := range slices.Clone(c.inFlight) {
		if a.endsAt > c.now && rng.IntN(12) > 0 {
			continue
		}
		if a.endsAt > c.now {
			a.status = []Status{OK, OK, OK, OK, Error, Rejected, ConnectFailed, Reset}[rng.IntN(8)]
		}
		a.ended = true
		c.inFlight = slices.DeleteFunc(c.inFlight, func(y *checkedAttempt) bool { return y == a })
		r, load := a.request, LoadReport{}
		if rng.IntN(2) == 0 {
			load = LoadReport{Fields: HasUtilization, Utilization: rng.Float64()}
		} else if rng.IntN(20) == 0 {
			load = LoadReport{Fields: HasUtilization | HasInflight, Utilization: math.NaN(), Inflight: math.Inf(-1)}
		}
		closed := r.closedAt > 0 || r.finalAnswers > 0
		if a.status == OK && !closed {
			r.closedAt, r.finalAnswers, closed = c.now, r.finalAnswers+1, true
		}
		o := AttemptResult{ID: r.id, Endpoint: a.endpoint.ID, Attempt: a.index, Latency: c.now - a.sentAt, Status: a.status, RequestClosed: closed, Load: load}
		b.OnAttemptResult(c.now, o)
		if rng.IntN(20) == 0 { // told twice, which must be passed over
			b.OnAttemptResult(c.now, o)
		}
	}
}

func (c *checker) updateEndpoints(b *Balancer, mode UpdateMode, list []Endpoint) {
	for _, e := range list {
		c.listed[e.ID] = e
		if delete(c.removedAt, e.ID); e.State != Active {
			c.removedAt[e.ID] = c.now
		}
	}
	if mode == UpdateComplete || mode == UpdateCached {
		for id := range c.listed {
			_, told := c.removedAt[id]
			if !told && !slices.ContainsFunc(list, func(e Endpoint) bool { return e.ID == id }) {
				c.removedAt[id] = c.now
			}
		}
	}
	b.OnEndpointUpdate(c.now, mode, list)
}

func (c *checker) changeEndpoints(b *Balancer, rng *rand.Rand) {
	list := fleet(8)
	switch rng.IntN(6) {
	case 0:
		c.updateEndpoints(b, UpdateComplete, list[rng.IntN(9):])
	case 1:
		b.OnEndpointUpdate(c.now, UpdateFailed, nil)
	default:
		e := list[rng.IntN(8)]
		e.State = EndpointState(rng.IntN(3))
		if rng.IntN(2) == 0 {
			e.State, e.StartedAt = Active, c.now-time.Duration(rng.IntN(3))*time.Second
		}
		if e.Weight = 1; rng.IntN(10) == 0 {
			e.Weight = []float64{0, -1, math.NaN(), math.Inf(1)}[rng.IntN(4)]
		}
		c.updateEndpoints(b, UpdateDelta, []Endpoint{e, e})
	}
}

func (c *checker) fireTimers(b *Balancer) {
	due := c.timers
	c.timers = nil
	for _, a := range due {
		if a.at <= c.now {
			b.OnTimer(c.now, a.token)
		} else {
			c.timers = append(c.timers, a)
		}
	}
}

func TestSameEventsGiveSameEffects(t *testing.T) {
	renamed := testSettings()
	for i, name := range []string{"x", "y", "z"} {
		renamed.Classes[i].Name = name
	}
	renamed.Tenants[0].Name, renamed.Tenants[1].Name = "one", "two"
	_, want := runRandomEvents(t, testSettings(), 7, 10*time.Hour)
	for _, c := range []struct {
		name   string
		s      Settings
		origin time.Duration
	}{
		{"again", testSettings(), 10 * time.Hour},
		{"clock shifted", testSettings(), 500 * time.Hour},
		{"classes and tenants renamed", renamed, 10 * time.Hour},
	} {
		if _, got := runRandomEvents(t, c.s, 7, c.origin); !slices.Equal(got.calls, want.calls) {
			t.Errorf("%s: other actions", c.name)
		}
	}
	if _, other := runRandomEvents(t, testSettings(), 8, 10*time.Hour); slices.Equal(other.calls, want.calls) {
		t.Error("another seed gave the same actions, so the comparison shows nothing")
	}
}
