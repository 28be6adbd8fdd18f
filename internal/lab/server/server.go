// Package server simulates an upstream: its cores, slots and queue, its warm-up after a start, its pauses and errors, and
// the delay of its load reports. A server that receives too much work while it warms up collapses.
//
// A Server has no clock of its own. Its owner calls it with the time and with each arrival, and Next returns when it has to
// be called again. Both engines use it, so that a scenario means the same in each. It is not safe for concurrent use.
//
// An accepted request occupies a slot, or is queued until one is free. In its slot it first waits on other services, which
// uses no core, and then runs. Running requests share the cores evenly, and none runs faster than on one core. When a
// request ends, its slot goes to the head of the queue.
package server

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"sprucehill/internal/lab/scenario"
)

const (
	// warmupStep is how often the capacity of a server that warms up is recomputed.
	warmupStep = 50 * time.Millisecond
	// warmupSlack is the work, in core-seconds at speed 1, that a server tolerates beyond its warm-up budget, since random
	// arrivals exceed the budget by a request or so.
	warmupSlack = 0.3
	// connWork is the work of a new connection or a health check, in core-seconds at speed 1.
	connWork = 0.0003
	// finishTolerance covers rounding errors of attained service, in core-seconds at speed 1.
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
	work float64 // core-seconds at speed 1
}

// Server is the state of an upstream while its process runs.
type Server struct {
	model     scenario.Model
	balancers scenario.Balancers // TipMultiple and TipAfter set the warm-up budget
	rng       *rand.Rand
	now       time.Duration
	attained  float64 // service that a request running since the start has received, core-seconds at speed 1
	jobs      jobTable
	pause     pauseTimes
	warmup    warmup
	collapsed bool // it received too much work while it warmed up, and ends no request any more
	faults    faultEffects
	reports   reporter
	finished  []Done // ended and not yet returned by Advance
	returned  []Done // returned by the last Advance; its memory is reused
}

// pauseTimes holds when a server pauses, that is, makes no progress on any request.
type pauseTimes struct {
	nextAt time.Duration // math.MaxInt64: never
	endAt  time.Duration // of the last pause
}

// warmup is the state of a server's warm-up.
type warmup struct {
	startedAt time.Duration
	done      bool            // the server is warm: its process started long before the run
	arrivals  []warmupArrival // within the last TipAfter
}

// faultEffects is the combined effect of the active faults on a server.
type faultEffects struct {
	errorRatio       float64       // of requests that fail immediately
	foreignLoadRatio float64       // of the machine's capacity that other programs use
	reportDelay      time.Duration // of load reports, in addition to the model's
}

// New returns a server that starts at now. If warmsUp is false, it has its full capacity from the start.
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
	// A random phase, so that the load reports of several servers do not coincide.
	s.reports.nextAt = now + time.Duration(s.rng.Float64()*float64(m.ReportEvery))
	return s
}

// drawPauseGap draws the time until the next pause, exponentially distributed.
func (s *Server) drawPauseGap() time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(s.model.PauseEvery))
}

// Warmth is the fraction of its full capacity that a server of a model has at a time since its start.
func Warmth(m scenario.Model, since time.Duration) float64 {
	return min(1, m.ColdFrom+(1-m.ColdFrom)*max(0, float64(since)/float64(m.Warm)))
}

// warmth is the fraction of its full capacity that the server has now.
func (s *Server) warmth() float64 {
	if s.warmup.done {
		return 1
	}
	return Warmth(s.model, s.now-s.warmup.startedAt)
}

// fullCapacity is the capacity of a warm server without load of other programs, in cores of speed 1.
func (s *Server) fullCapacity() float64 { return float64(s.model.Cores) * s.model.Speed }

// capacity is the current capacity, in cores of speed 1.
func (s *Server) capacity() float64 {
	return s.fullCapacity() * s.warmth() * (1 - s.faults.foreignLoadRatio)
}

// rate is the service that each running request receives per second, in cores of speed 1.
func (s *Server) rate() float64 {
	running := float64(len(s.jobs.running.jobs))
	if running == 0 || s.collapsed || s.now < s.pause.endAt {
		return 0
	}
	return min(s.model.Speed*s.warmth()*(1-s.faults.foreignLoadRatio), s.capacity()/running)
}

// Next is the time at which the owner has to call Advance unless a request arrives earlier.
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
		secondsLeft := (s.jobs.running.jobs[0].finish - s.attained) / rate
		next = min(next, s.now+max(1, time.Duration(math.Ceil(secondsLeft*float64(time.Second)))))
		if s.warmth() < 1 {
			next = min(next, s.now+warmupStep)
		}
	}
	return max(next, s.now)
}

// Advance simulates the server up to now and returns the requests that have ended since the last call, in order. The slice
// is valid until the next call.
func (s *Server) Advance(now time.Duration) []Done {
	ended := s.finished // failed on arrival
	s.finished = s.returned[:0]
	if s.Next() <= s.now { // a request arrived at this very time
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

// advanceTo advances the time by an interval in which the rate is constant.
func (s *Server) advanceTo(to time.Duration) {
	rate := s.rate()
	seconds := (to - s.now).Seconds()
	s.attained += rate * seconds
	if full := s.fullCapacity(); s.now < s.pause.endAt && len(s.jobs.running.jobs) > 0 {
		s.reports.busySeconds += full * seconds // seen from outside, the cores are busy during a pause
	} else {
		s.reports.busySeconds += (rate*float64(len(s.jobs.running.jobs)) + s.faults.foreignLoadRatio*full) * seconds
	}
	s.now = to
}

// handleDue handles the events that are due at the current time: the start of a pause, a new load report, and requests that
// start to run or end.
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
		heap.Push(&s.jobs.running, j)
	}
	for len(s.jobs.running.jobs) > 0 && s.jobs.running.jobs[0].finish <= s.attained+finishTolerance {
		s.finishJob(heap.Pop(&s.jobs.running).(*job))
	}
}

// Arrive accepts or rejects a request that has been received in full. The owner has to call Advance with the current time
// before. collapsed reports that the request overloaded a server that warms up: from then on the server ends no request.
func (s *Server) Arrive(id JobID, work, wait time.Duration) (accepted, collapsed bool) {
	if s.collapsed {
		return true, false // the request hangs
	}
	if s.exceedsWarmupBudget(work.Seconds()) {
		s.collapsed = true
		return true, true
	}
	if s.rng.Float64() < s.faults.errorRatio { // the work of an immediate error is negligible
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

// exceedsWarmupBudget records work that reaches the server while it warms up, including that of requests which will be
// rejected. It reports whether the work within the last TipAfter exceeds TipMultiple times the current capacity.
func (s *Server) exceedsWarmupBudget(work float64) bool {
	if s.warmup.done || s.now-s.warmup.startedAt >= s.model.Warm.D() {
		s.warmup.arrivals = nil
		return false
	}
	window := s.balancers.TipAfter.D()
	s.warmup.arrivals = append(s.warmup.arrivals, warmupArrival{s.now, work})
	for len(s.warmup.arrivals) > 0 && s.warmup.arrivals[0].at <= s.now-window {
		s.warmup.arrivals = s.warmup.arrivals[1:]
	}
	var received float64
	for _, arrival := range s.warmup.arrivals {
		received += arrival.work
	}
	budget := s.balancers.TipMultiple * s.capacity() * window.Seconds()
	return received > budget+warmupSlack
}

// AcceptConn adds the work of a new connection or a health check to the load.
func (s *Server) AcceptConn() { s.reports.busySeconds += connWork }

// SetFaults replaces the active faults. Of several error ratios the largest applies. Each noisy neighbour takes its share
// of the capacity that the others leave. Delays of load reports add up.
func (s *Server) SetFaults(faults []scenario.Fault) {
	s.faults = faultEffects{}
	for _, f := range faults {
		switch f.Kind {
		case scenario.UpstreamErrors:
			s.faults.errorRatio = max(s.faults.errorRatio, f.Size)
		case scenario.NoisyNeighbour:
			s.faults.foreignLoadRatio = 1 - (1-s.faults.foreignLoadRatio)*(1-f.Size)
		case scenario.LateReports:
			s.faults.reportDelay += f.Delay.D()
		}
	}
}
