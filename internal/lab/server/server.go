// Package server is an emulated upstream. It has cores, slots and a queue, a warm-up after a start, pauses, errors and late
// load reports. A server that gets too much work while it warms up collapses.
//
// A Server has no clock of its own. Its owner calls it with the time and with each arrival, and Next returns when it has to
// be called again. Both engines use it, so that a day means the same in each. It is not safe for concurrent use.
//
// An accepted request occupies a slot. It first waits on other services, which uses no core. Then it runs. Running requests
// share the cores evenly, and none runs faster than on one core. When it ends, its slot goes to the head of the queue.
package server

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"sprucehill/internal/lab/scenario"
)

const (
	// warmupStep is how often the capacity of a server that warms up is updated.
	warmupStep = 50 * time.Millisecond
	// warmupSlackSeconds is work, in seconds of a core of speed 1, that a server bears beyond its budget while it warms up.
	// One request more or less is chance.
	warmupSlackSeconds = 0.3
	// connWork is what a new connection or a health check costs, in seconds of a core of speed 1.
	connWork = 0.0003
	// finishTolerance is for rounding in attained service, in seconds of a core of speed 1.
	finishTolerance = 1e-9
)

// Done is a request that has ended.
type Done struct {
	Job    JobID
	Failed bool // answered with an error
}

// warmupArrival is work that reached a server while it warmed up.
type warmupArrival struct {
	at   time.Duration
	work float64 // seconds of a core of speed 1
}

// Server is one upstream while its process runs.
type Server struct {
	model     scenario.Model
	balancers scenario.Balancers // has the budget of a server that warms up
	rng       *rand.Rand
	now       time.Duration
	attained  float64 // service of each running request so far, seconds of a core of speed 1
	jobs      jobTable
	pause     pauseTimes
	warmup    warmup
	collapsed bool // it got too much while it warmed up, and does nothing more
	faults    faultEffects
	reports   reporter
	finished  []Done // since the last Advance
	returned  []Done // by the last Advance; its memory is used again
}

// pauseTimes is when a server pauses.
type pauseTimes struct {
	nextAt time.Duration // math.MaxInt64: never
	endAt  time.Duration // of the latest pause
}

// warmup is the state of a server that may warm up.
type warmup struct {
	startedAt time.Duration
	done      bool            // it started long before the day
	arrivals  []warmupArrival // within the last TipAfter
}

// faultEffects is what faults do to a server.
type faultEffects struct {
	errorShare       float64       // of requests that fail at once
	foreignLoadShare float64       // of the machine that other programs use
	reportDelay      time.Duration // of load reports, on top of the model's
}

// New returns a server that starts at now. It warms up, or is warm from the start.
func New(m scenario.Model, balancers scenario.Balancers, seed uint64, now time.Duration, warmsUp bool) *Server {
	s := &Server{
		model:     m,
		balancers: balancers,
		rng:       rand.New(rand.NewPCG(seed, uint64(now))),
		now:       now,
		jobs:      newJobTable(),
		pause:     pauseTimes{nextAt: math.MaxInt64},
		warmup:    warmup{startedAt: now, done: !warmsUp},
		reports:   reporter{lastAt: now.Seconds()},
	}
	if m.PauseEvery > 0 {
		s.pause.nextAt = now + s.drawPauseGap()
	}
	// The load reports of several servers must not coincide.
	s.reports.nextAt = now + time.Duration(s.rng.Float64()*float64(m.ReportEvery))
	return s
}

// drawPauseGap draws the time until another pause.
func (s *Server) drawPauseGap() time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(s.model.PauseEvery))
}

// Warmth is the share of its capacity that a server of the model has at some time after its start, from 0 to 1.
func Warmth(m scenario.Model, since time.Duration) float64 {
	return min(1, m.ColdFrom+(1-m.ColdFrom)*max(0, float64(since)/float64(m.Warm)))
}

// warmth is the share of its capacity that the server has now, from 0 to 1.
func (s *Server) warmth() float64 {
	if s.warmup.done {
		return 1
	}
	return Warmth(s.model, s.now-s.warmup.startedAt)
}

// fullCapacity is that of a warm server that has its machine to itself, in cores of speed 1.
func (s *Server) fullCapacity() float64 { return float64(s.model.Cores) * s.model.Speed }

// capacity is that of now, in cores of speed 1.
func (s *Server) capacity() float64 {
	return s.fullCapacity() * s.warmth() * (1 - s.faults.foreignLoadShare)
}

// rate is how fast each request in work gets service, in cores of speed 1.
func (s *Server) rate() float64 {
	n := float64(len(s.jobs.working.jobs))
	if n == 0 || s.collapsed || s.now < s.pause.endAt {
		return 0
	}
	return min(s.model.Speed*s.warmth()*(1-s.faults.foreignLoadShare), s.capacity()/n)
}

// Next is when the owner has to call Advance, if nothing arrives before.
func (s *Server) Next() time.Duration {
	if len(s.finished) > 0 {
		return s.now
	}
	next := min(s.reports.nextAt, s.pause.nextAt)
	if s.now < s.pause.endAt {
		next = min(next, s.pause.endAt)
	}
	if len(s.jobs.waiting.jobs) > 0 && !s.collapsed {
		next = min(next, s.jobs.waiting.jobs[0].readyAt)
	}
	if rate := s.rate(); rate > 0 {
		left := (s.jobs.working.jobs[0].finish - s.attained) / rate
		next = min(next, s.now+max(1, time.Duration(math.Ceil(left*float64(time.Second)))))
		if s.warmth() < 1 {
			next = min(next, s.now+warmupStep)
		}
	}
	return max(next, s.now)
}

// Advance brings the server to now and returns the requests that have ended since, in order. The slice holds until the
// next call.
func (s *Server) Advance(now time.Duration) []Done {
	ended := s.finished // as they arrived
	s.finished = s.returned[:0]
	if s.Next() <= s.now { // due since something arrived at this very moment
		s.handleDue()
		ended = append(ended, s.finished...)
		s.finished = s.finished[:0]
	}
	for s.now < now {
		s.advanceTo(min(max(s.Next(), s.now+1), now))
		s.handleDue()
		ended = append(ended, s.finished...)
		s.finished = s.finished[:0]
	}
	s.returned = ended
	s.finished = s.finished[:0]
	return ended
}

// advanceTo lets time pass in which the rate does not change.
func (s *Server) advanceTo(to time.Duration) {
	rate := s.rate()
	seconds := (to - s.now).Seconds()
	s.attained += rate * seconds
	if full := s.fullCapacity(); s.now < s.pause.endAt && len(s.jobs.working.jobs) > 0 {
		s.reports.busySeconds += full * seconds // from outside, cores look busy in a pause
	} else {
		s.reports.busySeconds += (rate*float64(len(s.jobs.working.jobs)) + s.faults.foreignLoadShare*full) * seconds
	}
	s.now = to
}

// handleDue does what is due now.
func (s *Server) handleDue() {
	if s.now >= s.pause.nextAt {
		s.pause.endAt = s.now + s.model.Pause.D()
		s.pause.nextAt = s.pause.endAt + s.drawPauseGap()
	}
	if s.now >= s.reports.nextAt {
		s.renewReport()
	}
	if s.collapsed {
		return
	}
	for len(s.jobs.waiting.jobs) > 0 && s.jobs.waiting.jobs[0].readyAt <= s.now {
		j := heap.Pop(&s.jobs.waiting).(*job)
		j.finish = s.attained + j.work
		heap.Push(&s.jobs.working, j)
	}
	for len(s.jobs.working.jobs) > 0 && s.jobs.working.jobs[0].finish <= s.attained+finishTolerance {
		s.finishJob(heap.Pop(&s.jobs.working).(*job))
	}
}

// Arrive accepts or rejects a request that has arrived in full. The owner has to call Advance for this moment before.
// collapsed reports that the request overloaded a server that warms up, which does nothing more from then on.
func (s *Server) Arrive(id JobID, work, wait time.Duration) (accepted, collapsed bool) {
	if s.collapsed {
		return true, false // it hangs
	}
	if s.exceedsWarmupBudget(work.Seconds()) {
		s.collapsed = true
		return true, true
	}
	if s.rng.Float64() < s.faults.errorShare { // an error at once costs next to nothing
		j := &job{id: id, failed: true, heapIndex: -1}
		s.jobs.byID[id] = j
		s.finishJob(j)
		return true, false
	}
	failed := s.rng.Float64() < s.model.ErrorRate
	j := &job{id: id, work: work.Seconds(), wait: wait, failed: failed, serial: s.jobs.nextSerial, heapIndex: -1}
	s.jobs.nextSerial++
	switch {
	case s.jobs.slotsUsed() < s.model.Slots:
		s.startJob(j)
	case len(s.jobs.queue) < s.model.Queue:
		s.jobs.queue = append(s.jobs.queue, j)
	default:
		return false, false
	}
	s.jobs.byID[id] = j
	return true, false
}

// exceedsWarmupBudget counts work that reaches the server while it warms up, also of rejected requests. It reports
// whether the work within TipAfter is more than the server bears.
func (s *Server) exceedsWarmupBudget(work float64) bool {
	if s.warmup.done || s.now-s.warmup.startedAt >= s.model.Warm.D() {
		s.warmup.arrivals = nil
		return false
	}
	span := s.balancers.TipAfter.D()
	s.warmup.arrivals = append(s.warmup.arrivals, warmupArrival{s.now, work})
	for len(s.warmup.arrivals) > 0 && s.warmup.arrivals[0].at <= s.now-span {
		s.warmup.arrivals = s.warmup.arrivals[1:]
	}
	var sum float64
	for _, arrival := range s.warmup.arrivals {
		sum += arrival.work
	}
	budget := s.balancers.TipMultiple * s.capacity() * span.Seconds()
	return sum > budget+warmupSlackSeconds
}

// AcceptConn counts the work of a new connection or a health check.
func (s *Server) AcceptConn() { s.reports.busySeconds += connWork }

// SetFaults sets which faults act. Of several error shares the largest counts. Each program that takes a share of the
// machine takes it from what the others leave. Delays of load reports add up.
func (s *Server) SetFaults(faults []scenario.Fault) {
	s.faults = faultEffects{}
	for _, f := range faults {
		switch f.Kind {
		case scenario.UpstreamErrors:
			s.faults.errorShare = max(s.faults.errorShare, f.Size)
		case scenario.NoisyNeighbour:
			s.faults.foreignLoadShare = 1 - (1-s.faults.foreignLoadShare)*(1-f.Size)
		case scenario.LateReports:
			s.faults.reportDelay += f.Delay.D()
		}
	}
}
