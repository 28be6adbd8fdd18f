package server

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sprucehill/internal/lab/scenario"
)

var (
	testModel = scenario.Model{Cores: 2, Speed: 1, Slots: 4, Queue: 2, ColdFrom: 0.2, Warm: scenario.Duration(10 * time.Second),
		ReportEvery: scenario.Duration(time.Second), ReportDelay: scenario.Duration(200 * time.Millisecond)}
	testBalancers = scenario.Balancers{TipMultiple: 2.5, TipAfter: scenario.Duration(2 * time.Second)}
)

// drain advances a server until every request has ended, and returns the time at which each did.
func drain(s *Server, from time.Duration) map[JobID]time.Duration {
	ends := map[JobID]time.Duration{}
	for now := from; s.JobCount() > 0; now = max(s.Next(), now+1) {
		for _, d := range s.Advance(now) {
			ends[d.Job] = now
		}
	}
	return ends
}

// Four requests of 100 ms that share two cores take 200 ms each. Requests beyond the slots and the queue are rejected.
func TestCoresAreSharedEvenly(t *testing.T) {
	s := New(testModel, testBalancers, 1, 0, false)
	accepted := 0
	for id := range JobID(8) {
		if ok, _ := s.Arrive(id, 100*time.Millisecond, 0); ok {
			accepted++
		}
	}
	if accepted != 6 {
		t.Errorf("accepted %d requests, want 6: 4 slots and a queue of 2", accepted)
	}
	ends := drain(s, 0)
	for id := range JobID(4) {
		if d := ends[id] - 200*time.Millisecond; d.Abs() > time.Millisecond {
			t.Errorf("request %d ended at %v, want 200 ms", id, ends[id])
		}
	}
	if d := ends[4] - 300*time.Millisecond; d.Abs() > time.Millisecond {
		t.Errorf("the first queued request ended at %v, want 300 ms", ends[4])
	}
}

// A server collapses if it receives more work than its warm-up budget. A server that is warm from the start never does.
func TestColdServerCollapses(t *testing.T) {
	for _, cold := range []bool{true, false} {
		s := New(testModel, testBalancers, 1, time.Second, cold)
		collapsed, now := false, time.Second
		for id := JobID(0); id < 60; id++ {
			now += 20 * time.Millisecond
			s.Advance(now)
			_, collapsedNow := s.Arrive(id, 80*time.Millisecond, 0)
			collapsed = collapsed || collapsedNow
		}
		if collapsed != cold {
			t.Errorf("server that starts cold: %v; collapsed: %v", cold, collapsed)
		}
	}
}

// For random arrivals and cancellations, each accepted request ends exactly once unless it was cancelled, and the server
// accepts the same requests however often it is advanced.
func TestEveryJobEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := testModel
		m.Pause, m.PauseEvery = scenario.Duration(20*time.Millisecond), scenario.Duration(300*time.Millisecond)
		once, often := New(m, testBalancers, 5, 0, false), New(m, testBalancers, 5, 0, false)
		now := time.Duration(0)
		open, ends := map[JobID]bool{}, 0
		n := rapid.IntRange(1, 40).Draw(t, "n")
		collect := func(done []Done) {
			for _, d := range done {
				if !open[d.Job] {
					t.Fatalf("request %d ended, but is not open: it ended twice, was cancelled or was rejected", d.Job)
				}
				delete(open, d.Job)
				ends++
			}
		}
		for id := JobID(1); id <= JobID(n); id++ {
			step := time.Duration(rapid.IntRange(0, 80).Draw(t, "step")) * time.Millisecond
			for half := now + step/2; now < half; now += time.Millisecond {
				often.Advance(now)
			}
			now = now - now%time.Millisecond + step
			collect(once.Advance(now))
			often.Advance(now)
			work := time.Duration(rapid.IntRange(1, 50).Draw(t, "work")) * time.Millisecond
			ok, _ := once.Arrive(id, work, time.Millisecond)
			if ok2, _ := often.Arrive(id, work, time.Millisecond); ok2 != ok {
				t.Fatalf("at %v, accepted by the server advanced once per arrival: %v; by the one advanced every millisecond: %v", now, ok, ok2)
			}
			if open[id] = ok; !ok {
				delete(open, id)
			}
			if ok && rapid.IntRange(0, 4).Draw(t, "cancel") == 0 {
				once.Cancel(id)
				often.Cancel(id)
				delete(open, id)
			}
		}
		for i := 0; once.JobCount() > 0; i++ {
			if i > 10000 {
				t.Fatalf("%d requests have not ended after 10000 steps", once.JobCount())
			}
			now = max(once.Next(), now+1)
			collect(once.Advance(now))
		}
		if len(open) > 0 {
			t.Fatalf("%d requests never ended", len(open))
		}
	})
}

// With one core of two busy, the visible load report has a utilization of about one half.
func TestLoadReports(t *testing.T) {
	s := New(testModel, testBalancers, 1, 0, false)
	for now := time.Duration(0); now < 5*time.Second; now += 100 * time.Millisecond {
		s.Advance(now)
		s.Arrive(JobID(now), 100*time.Millisecond, 0) // one core of two
	}
	s.Advance(5 * time.Second)
	r, ok := s.Load()
	if !ok || math.Abs(r.Util-0.5) > 0.1 {
		t.Errorf("load report %+v, visible %v; want a utilization of 0.5 +- 0.1", r, ok)
	}
}
