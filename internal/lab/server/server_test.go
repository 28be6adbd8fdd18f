package server

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sprucehill/internal/lab/scenario"
)

var (
	serverModel = scenario.Model{Cores: 2, Speed: 1, Slots: 4, Queue: 2, ColdFrom: 0.2, Warm: scenario.Duration(10 * time.Second),
		ReportEvery: scenario.Duration(time.Second), ReportDelay: scenario.Duration(200 * time.Millisecond)}
	balancers = scenario.Balancers{TipMultiple: 2.5, TipAfter: scenario.Duration(2 * time.Second)}
)

// drain advances a server until it has no job left, and returns when each ended.
func drain(s *Server, from time.Duration) map[JobID]time.Duration {
	ends := map[JobID]time.Duration{}
	for now := from; s.JobCount() > 0; now = max(s.Next(), now+1) {
		for _, d := range s.Advance(now) {
			ends[d.Job] = now
		}
	}
	return ends
}

// Four requests of 100 ms on two cores take 200 ms each; those beyond slots and queue are rejected.
func TestCoresAreSharedEvenly(t *testing.T) {
	s := New(serverModel, balancers, 1, 0, false)
	taken := 0
	for id := range JobID(8) {
		if ok, _ := s.Arrive(id, 100*time.Millisecond, 0); ok {
			taken++
		}
	}
	if taken != 6 {
		t.Errorf("took %d; it has 4 slots and a queue of 2", taken)
	}
	ends := drain(s, 0)
	for id := range JobID(4) {
		if d := ends[id] - 200*time.Millisecond; d.Abs() > time.Millisecond {
			t.Errorf("job %d ended at %v", id, ends[id])
		}
	}
	if d := ends[4] - 300*time.Millisecond; d.Abs() > time.Millisecond {
		t.Errorf("the first in the queue ended at %v", ends[4])
	}
}

// A server that gets more than its budget while it warms up collapses and ends nothing more. A warm one never does.
func TestColdServerCollapses(t *testing.T) {
	for _, cold := range []bool{true, false} {
		s := New(serverModel, balancers, 1, time.Second, cold)
		fell, now := false, time.Second
		for id := JobID(0); id < 60; id++ {
			now += 20 * time.Millisecond
			s.Advance(now)
			_, f := s.Arrive(id, 80*time.Millisecond, 0)
			fell = fell || f
		}
		if fell != cold {
			t.Errorf("cold %v: fell %v", cold, fell)
		}
	}
}

// Whatever arrives and is cancelled, each request that was taken ends once or was cancelled, no work is lost or made, and
// how often the server is advanced changes nothing.
func TestEveryJobEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := serverModel
		m.Pause, m.PauseEvery = scenario.Duration(20*time.Millisecond), scenario.Duration(300*time.Millisecond)
		a, b := New(m, balancers, 5, 0, false), New(m, balancers, 5, 0, false)
		now := time.Duration(0)
		open, ends := map[JobID]bool{}, 0
		n := rapid.IntRange(1, 40).Draw(t, "n")
		collect := func(done []Done) {
			for _, d := range done {
				if !open[d.Job] {
					t.Fatalf("job %d ended, but is not open", d.Job)
				}
				delete(open, d.Job)
				ends++
			}
		}
		for id := JobID(1); id <= JobID(n); id++ {
			step := time.Duration(rapid.IntRange(0, 80).Draw(t, "step")) * time.Millisecond
			for half := now + step/2; now < half; now += time.Millisecond {
				b.Advance(now)
			}
			now = now - now%time.Millisecond + step
			collect(a.Advance(now))
			b.Advance(now)
			work := time.Duration(rapid.IntRange(1, 50).Draw(t, "work")) * time.Millisecond
			ok, _ := a.Arrive(id, work, time.Millisecond)
			if ok2, _ := b.Arrive(id, work, time.Millisecond); ok2 != ok {
				t.Fatalf("looking often changed what was taken at %v", now)
			}
			if open[id] = ok; !ok {
				delete(open, id)
			}
			if ok && rapid.IntRange(0, 4).Draw(t, "cancel") == 0 {
				a.Cancel(id)
				b.Cancel(id)
				delete(open, id)
			}
		}
		for i := 0; a.JobCount() > 0; i++ {
			if i > 10000 {
				t.Fatal("it never ends")
			}
			now = max(a.Next(), now+1)
			collect(a.Advance(now))
		}
		if len(open) > 0 {
			t.Fatalf("%d requests never ended", len(open))
		}
	})
}

// A load report has the utilization, lags, and stays until the next.
func TestLoadReports(t *testing.T) {
	s := New(serverModel, balancers, 1, 0, false)
	for now := time.Duration(0); now < 5*time.Second; now += 100 * time.Millisecond {
		s.Advance(now)
		s.Arrive(JobID(now), 100*time.Millisecond, 0) // one core of two
	}
	s.Advance(5 * time.Second)
	r, ok := s.Load()
	if !ok || math.Abs(r.Util-0.5) > 0.1 {
		t.Errorf("report %+v, %v; one core of two is busy", r, ok)
	}
}
