package balancer

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// randomEvents delivers random valid events to a Balancer and tracks its effects with a checker.
type randomEvents struct {
	*checker
	balancer *Balancer
	rng      *rand.Rand
}

// runRandomEvents delivers 20 s of random events to a new Balancer, starting at the time origin. It returns the checker and
// the recorder of its effects.
func runRandomEvents(t *testing.T, settings Settings, seed uint64, origin time.Duration) (*checker, *recorder) {
	t.Helper()
	const (
		steps        = 4000
		requestSteps = 3600 // steps with new requests; in the remaining steps all requests end
	)
	c := newChecker(settings, origin)
	effects := &recorder{hook: c.onEffect}
	b, err := New(settings, seed, origin, effects)
	if err != nil {
		t.Fatal(err)
	}
	events := &randomEvents{checker: c, balancer: b, rng: rand.New(rand.NewPCG(seed, 1))}
	events.updateEndpoints(UpdateCached, fleet(5))
	next := RequestID(1)
	for step := range steps {
		c.now += 5 * ms
		if step < requestSteps && events.rng.IntN(3) > 0 {
			events.sendRequest(next)
			next++
		}
		events.endAttempts()
		if events.oneIn(60) {
			events.changeEndpoints()
		}
		fireDueTimers(events.balancer, &events.timers, events.now)
		c.checkDeadlines()
	}
	return c, effects
}

// oneIn returns true with a probability of 1/n.
func (r *randomEvents) oneIn(n int) bool { return r.rng.IntN(n) == 0 }

// sendRequest sends a request, sometimes a retry or one with no time left, and sometimes has its client disconnect.
func (r *randomEvents) sendRequest(id RequestID) {
	class := r.settings.Classes[r.rng.IntN(len(r.settings.Classes))]
	timeout := class.Deadline
	if r.oneIn(2) { // a client's retry, or an impatient client
		timeout = time.Duration(1+r.rng.Int64N(int64(class.Deadline/ms))) * ms
	}
	if r.oneIn(40) {
		timeout = -time.Duration(r.rng.IntN(2)) * ms
	}
	checked := &checkedRequest{id: id, class: class, deadline: r.now + timeout}
	r.requests[id] = checked
	request := Request{ID: id, Class: class.Name, Timeout: timeout}
	request.CostHint = time.Duration(r.rng.IntN(90)) * ms
	request.Tenant = r.settings.Tenants[r.rng.IntN(len(r.settings.Tenants))].Name
	if r.oneIn(2) {
		request.Key = uint64(r.rng.IntN(20))
		request.HasKey = true
	}
	r.balancer.OnRequest(r.now, request)
	if checked.finalAnswers == 0 && r.oneIn(50) {
		checked.closedAt = r.now
		r.balancer.OnClientDisconnected(r.now, id)
	}
}

// endAttempts ends the attempts that are due, and some others at random with any status.
func (r *randomEvents) endAttempts() {
	for _, a := range slices.Clone(r.inFlight) {
		due := a.endsAt <= r.now
		if !due && !r.oneIn(12) {
			continue
		}
		if !due {
			a.status = []Status{OK, OK, OK, OK, Error, Rejected, ConnectFailed, Reset}[r.rng.IntN(8)]
		}
		r.endAttempt(a)
	}
}

// endAttempt reports the result of an attempt to the balancer.
func (r *randomEvents) endAttempt(a *checkedAttempt) {
	a.ended = true
	r.inFlight = slices.DeleteFunc(r.inFlight, func(other *checkedAttempt) bool { return other == a })
	report := r.loadReport()
	if a.status == OK && a.request.isOpen() {
		a.request.closedAt = r.now
		a.request.finalAnswers++
	}
	result := AttemptResult{
		ID:            a.request.id,
		Endpoint:      a.endpoint.ID,
		Attempt:       a.index,
		Latency:       r.now - a.sentAt,
		Status:        a.status,
		RequestClosed: !a.request.isOpen(),
		Load:          report,
	}
	r.balancer.OnAttemptResult(r.now, result)
	if r.oneIn(20) { // a repeated result, which must be ignored
		r.balancer.OnAttemptResult(r.now, result)
	}
}

// loadReport returns a valid, an empty or an invalid report.
func (r *randomEvents) loadReport() LoadReport {
	if r.oneIn(2) {
		return LoadReport{Fields: HasUtilization, Utilization: r.rng.Float64()}
	}
	if r.oneIn(20) {
		return LoadReport{Fields: HasUtilization | HasInflight, Utilization: math.NaN(), Inflight: math.Inf(-1)}
	}
	return LoadReport{}
}

// updateEndpoints delivers an endpoint list to the balancer, and records for the checker which endpoints it removes.
func (r *randomEvents) updateEndpoints(mode UpdateMode, list []Endpoint) {
	for _, e := range list {
		r.listed[e.ID] = e
		delete(r.removedAt, e.ID)
		if e.State != Active {
			r.removedAt[e.ID] = r.now
		}
	}
	if mode == UpdateComplete || mode == UpdateCached {
		for id := range r.listed {
			_, removed := r.removedAt[id]
			if !removed && !slices.ContainsFunc(list, func(e Endpoint) bool { return e.ID == id }) {
				r.removedAt[id] = r.now
			}
		}
	}
	r.balancer.OnEndpointUpdate(r.now, mode, list)
}

// changeEndpoints changes the endpoint list at random, or reports a failed call to discovery.
func (r *randomEvents) changeEndpoints() {
	list := fleet(8)
	switch r.rng.IntN(6) {
	case 0:
		r.updateEndpoints(UpdateComplete, list[r.rng.IntN(9):])
	case 1:
		r.balancer.OnEndpointUpdate(r.now, UpdateFailed, nil)
	default:
		e := list[r.rng.IntN(8)]
		e.State = EndpointState(r.rng.IntN(3))
		if r.oneIn(2) { // restarted
			e.State = Active
			e.StartedAt = r.now - time.Duration(r.rng.IntN(3))*time.Second
		}
		e.Weight = 1
		if r.oneIn(10) {
			e.Weight = []float64{0, -1, math.NaN(), math.Inf(1)}[r.rng.IntN(4)]
		}
		r.updateEndpoints(UpdateDelta, []Endpoint{e, e})
	}
}

func TestSameEventsGiveSameEffects(t *testing.T) {
	renamed := testSettings()
	for i, name := range []string{"x", "y", "z"} {
		renamed.Classes[i].Name = name
	}
	renamed.Tenants[0].Name = "one"
	renamed.Tenants[1].Name = "two"
	_, want := runRandomEvents(t, testSettings(), 7, 10*time.Hour)
	for _, test := range []struct {
		name     string
		settings Settings
		origin   time.Duration
	}{
		{"again", testSettings(), 10 * time.Hour},
		{"another origin of the clock", testSettings(), 500 * time.Hour},
		{"classes and tenants renamed", renamed, 10 * time.Hour},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, got := runRandomEvents(t, test.settings, 7, test.origin)
			if !slices.Equal(got.calls, want.calls) {
				t.Error("the effects differ")
			}
		})
	}
	_, other := runRandomEvents(t, testSettings(), 8, 10*time.Hour)
	if slices.Equal(other.calls, want.calls) {
		t.Error("another seed gave the same effects, so the comparison proves nothing")
	}
}
