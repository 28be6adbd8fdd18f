// Package server is an emulated upstream: cores that share their work, slots and a queue, a cold start, pauses,
// errors, late reports, and the fall of a cold server that is pushed over. It is a pure core: its owner tells it the
// time and what arrives, and asks when to come back. Both engines use it, so a day means the same in each.
//
// A request that is taken holds a slot. First it waits on others, which takes no core; then it works, and all that
// work share the cores evenly, none faster than one core. When it is done its slot goes to the head of the queue.
package server

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"sprucehill/internal/lab/day"
)

const (
	// rampStep is how often the capacity of a server that warms up is looked at.
	rampStep = 50 * time.Millisecond
	// tipSlack is work, in seconds of a core of speed 1, that a cold server bears beyond its budget: one request more
	// or less is chance.
	tipSlack = 0.3
	// probeWork is what a probe or a new connection costs, in seconds of a core of speed 1.
	probeWork = 0.0003
)

// JobID names a request at the server. The owner chooses it; it must not be in use.
type JobID uint64

// Done is a request that has ended.
type Done struct {
	Job    JobID
	Failed bool // answered with an error
}

// Report is a load report.
type Report struct {
	Util   float64 // share of the cores' time that was used
	Errors float64 // a second
	Queue  float64 // requests that wait
}

// job is a request in work.
type job struct {
	id     JobID
	work   float64 // seconds of a core of speed 1
	wait   time.Duration
	fails  bool
	ready  time.Duration // its wait is over
	finish float64       // on the server's clock of attained service
	serial uint64
	index  int // in the heap that holds it; -1: none
	at     *jobs
}

// jobs is a heap of requests by a figure.
type jobs struct {
	of []*job
	by func(*job) float64
}

func (h *jobs) Len() int { return len(h.of) }
func (h *jobs) Less(i, j int) bool {
	a, b := h.of[i], h.of[j]
	return cmp.Or(cmp.Compare(h.by(a), h.by(b)), cmp.Compare(a.serial, b.serial)) < 0
}
func (h *jobs) Swap(i, j int) {
	h.of[i], h.of[j] = h.of[j], h.of[i]
	h.of[i].index, h.of[j].index = i, j
}
func (h *jobs) Push(x any) {
	j := x.(*job)
	j.index, j.at = len(h.of), h
	h.of = append(h.of, j)
}
func (h *jobs) Pop() any {
	last := len(h.of) - 1
	j := h.of[last]
	h.of[last], h.of = nil, h.of[:last]
	j.index, j.at = -1, nil
	return j
}

// sent is work that has reached a cold server.
type sent struct {
	at   time.Duration
	work float64
}

// Server is one upstream while its process runs.
type Server struct {
	model   day.Model
	rules   day.Balancers
	rng     *rand.Rand
	began   time.Duration // cold from then on
	warm    bool          // it was never cold
	now     time.Duration
	service float64 // attained by each request in work, seconds of a core of speed 1
	waiting jobs    // in a slot, on others
	working jobs
	queue   []*job
	held    map[JobID]*job
	serial  uint64

	failing, taken float64 // faults: share of requests that fail at once, share of the machine taken
	late           time.Duration
	pauseAt        time.Duration // next pause; math.MaxInt64: none
	pauseEnd       time.Duration
	toppled        bool
	cold           []sent // within the last TipAfter

	used, usedAt float64 // seconds of cores used since the report before; when that was
	errors       float64
	reports      []dated
	reportAt     time.Duration
	done, told   []Done // ended since the last Advance; what that returned
}

// dated is a report with the time from which it is seen.
type dated struct {
	Report
	from time.Duration
}

// New returns a server that starts at now, cold or long warm.
func New(m day.Model, rules day.Balancers, seed uint64, now time.Duration, cold bool) *Server {
	s := &Server{model: m, rules: rules, rng: rand.New(rand.NewPCG(seed, uint64(now))), began: now, warm: !cold, now: now,
		held: map[JobID]*job{}, pauseAt: math.MaxInt64, usedAt: now.Seconds()}
	s.waiting.by = func(j *job) float64 { return float64(j.ready) }
	s.working.by = func(j *job) float64 { return j.finish }
	if m.PauseEvery > 0 {
		s.pauseAt = now + s.nextPause()
	}
	// Reports of several servers must not come in step.
	s.reportAt = now + time.Duration(s.rng.Float64()*float64(m.ReportEvery))
	return s
}

func (s *Server) nextPause() time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(s.model.PauseEvery))
}

// Warmth is the share of its capacity that a server of the model has at some time after a cold start.
func Warmth(m day.Model, since time.Duration) float64 {
	return min(1, m.ColdFrom+(1-m.ColdFrom)*max(0, float64(since)/float64(m.Warm)))
}

// warmth is the share of its capacity that it has now.
func (s *Server) warmth() float64 {
	if s.warm {
		return 1
	}
	return Warmth(s.model, s.now-s.began)
}

// capacity is in cores of speed 1.
func (s *Server) capacity() float64 {
	return float64(s.model.Cores) * s.model.Speed * s.warmth() * (1 - s.taken)
}

// pace is how fast each request in work gets service.
func (s *Server) pace() float64 {
	n := float64(len(s.working.of))
	if n == 0 || s.toppled || s.now < s.pauseEnd {
		return 0
	}
	return min(s.model.Speed*s.warmth()*(1-s.taken), s.capacity()/n)
}

// Next is when the owner has to come back with Advance, if nothing arrives before.
func (s *Server) Next() time.Duration {
	if len(s.done) > 0 {
		return s.now
	}
	next := min(s.reportAt, s.pauseAt)
	if s.now < s.pauseEnd {
		next = min(next, s.pauseEnd)
	}
	if len(s.waiting.of) > 0 && !s.toppled {
		next = min(next, s.waiting.of[0].ready)
	}
	if p := s.pace(); p > 0 {
		left := (s.working.of[0].finish - s.service) / p
		next = min(next, s.now+max(1, time.Duration(math.Ceil(left*float64(time.Second)))))
		if s.warmth() < 1 {
			next = min(next, s.now+rampStep)
		}
	}
	return max(next, s.now)
}

// Advance brings the server to now and returns the requests that have ended since, in order. The slice holds until the
// next call.
func (s *Server) Advance(now time.Duration) []Done {
	ended := s.done // at once, as it arrived
	s.done = s.told[:0]
	if s.Next() <= s.now { // due since something arrived at this very moment
		s.settle()
		ended, s.done = append(ended, s.done...), s.done[:0]
	}
	for s.now < now {
		s.progress(min(max(s.Next(), s.now+1), now))
		s.settle()
		ended, s.done = append(ended, s.done...), s.done[:0]
	}
	s.told, s.done = ended, s.done[:0]
	return ended
}

// progress lets time go by in which the pace does not change.
func (s *Server) progress(to time.Duration) {
	p, dt := s.pace(), (to - s.now).Seconds()
	s.service += p * dt
	if full := float64(s.model.Cores) * s.model.Speed; s.now < s.pauseEnd && len(s.working.of) > 0 {
		s.used += full * dt // whoever looks from outside sees busy cores
	} else {
		s.used += (p*float64(len(s.working.of)) + s.taken*full) * dt
	}
	s.now = to
}

// settle does what is due at this moment.
func (s *Server) settle() {
	if s.now >= s.pauseAt {
		s.pauseEnd, s.pauseAt = s.now+s.model.Pause.D(), s.now+s.model.Pause.D()+s.nextPause()
	}
	if s.now >= s.reportAt {
		s.report()
	}
	for len(s.waiting.of) > 0 && s.waiting.of[0].ready <= s.now && !s.toppled {
		j := heap.Pop(&s.waiting).(*job)
		j.finish = s.service + j.work
		heap.Push(&s.working, j)
	}
	const rounding = 1e-9
	for len(s.working.of) > 0 && s.working.of[0].finish <= s.service+rounding && !s.toppled {
		j := heap.Pop(&s.working).(*job)
		s.end(j)
	}
}

// end ends a request that has run, and gives its slot on.
func (s *Server) end(j *job) {
	delete(s.held, j.id)
	if j.fails {
		s.errors++
	}
	s.done = append(s.done, Done{j.id, j.fails})
	s.fill()
}

// fill gives free slots to those that wait.
func (s *Server) fill() {
	for len(s.queue) > 0 && len(s.waiting.of)+len(s.working.of) < s.model.Slots {
		j := s.queue[0]
		s.queue[0], s.queue = nil, s.queue[1:]
		s.begin(j)
	}
}

func (s *Server) begin(j *job) {
	j.ready = s.now + j.wait
	heap.Push(&s.waiting, j)
}

// report renews the load report, which is seen later.
func (s *Server) report() {
	span := max(s.now.Seconds()-s.usedAt, 1e-3)
	r := Report{Util: min(1, s.used/(span*float64(s.model.Cores)*s.model.Speed*s.warmth())), Errors: s.errors / span,
		Queue: float64(len(s.queue))}
	s.used, s.usedAt, s.errors = 0, s.now.Seconds(), 0
	s.reports = append(s.reports, dated{r, s.now + s.model.ReportDelay.D() + s.late})
	s.reportAt = s.now + s.model.ReportEvery.D()
}

// Load is the report that is seen now, if there is one.
func (s *Server) Load() (Report, bool) {
	for len(s.reports) > 1 && s.reports[1].from <= s.now {
		s.reports = s.reports[1:]
	}
	if len(s.reports) == 0 || s.reports[0].from > s.now {
		return Report{}, false
	}
	return s.reports[0].Report, true
}

// Arrive takes a request that has come whole, or turns it away. The owner has brought the server to now with Advance.
// fell tells that a cold server has just been pushed over: it does nothing more.
func (s *Server) Arrive(id JobID, work, wait time.Duration) (taken, fell bool) {
	if s.toppled {
		return true, false // it hangs
	}
	if fell = s.press(work.Seconds()); fell {
		s.toppled = true
		return true, true
	}
	if s.rng.Float64() < s.failing { // a fast error costs next to nothing
		j := &job{id: id, fails: true, index: -1}
		s.held[id] = j
		s.end(j)
		return true, false
	}
	j := &job{id: id, work: work.Seconds(), wait: wait, fails: s.rng.Float64() < s.model.ErrorRate, serial: s.serial, index: -1}
	s.serial++
	switch {
	case len(s.waiting.of)+len(s.working.of) < s.model.Slots:
		s.begin(j)
	case len(s.queue) < s.model.Queue:
		s.queue = append(s.queue, j)
	default:
		return false, false
	}
	s.held[id] = j
	return true, false
}

// press counts work that reaches a cold server, also what it turns away, against what it bears over any TipAfter.
func (s *Server) press(work float64) (fell bool) {
	if s.warm || s.now-s.began >= s.model.Warm.D() {
		s.cold = nil
		return false
	}
	span := s.rules.TipAfter.D()
	s.cold = append(s.cold, sent{s.now, work})
	for len(s.cold) > 0 && s.cold[0].at <= s.now-span {
		s.cold = s.cold[1:]
	}
	var sum float64
	for _, x := range s.cold {
		sum += x.work
	}
	bears := s.rules.TipMultiple * s.capacity() * span.Seconds()
	return sum > bears+tipSlack
}

// Cancel stops a request whose balancer has given up. One that works or waits is dropped.
func (s *Server) Cancel(id JobID) {
	j := s.held[id]
	if j == nil {
		return
	}
	delete(s.held, id)
	if j.at != nil {
		heap.Remove(j.at, j.index)
	} else {
		for i, q := range s.queue {
			if q == j {
				s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
				break
			}
		}
	}
	if !s.toppled {
		s.fill()
	}
}

// Knock is the work of a new connection or a probe.
func (s *Server) Knock() { s.used += probeWork }

// Up is when it began, or 0 if that is long past.
func (s *Server) Up() time.Duration {
	if s.warm {
		return 0
	}
	return s.began
}

// Suffer sets which faults are on. Of shares that fail the largest counts; programs that take a share of the machine
// take it of what the others leave; delays add up.
func (s *Server) Suffer(faults []day.Fault) {
	s.failing, s.taken, s.late = 0, 0, 0
	for _, f := range faults {
		switch f.Kind {
		case "errors":
			s.failing = max(s.failing, f.Size)
		case "neighbour":
			s.taken = 1 - (1-s.taken)*(1-f.Size)
		case "late":
			s.late += f.Delay.D()
		}
	}
}

// Held is how many requests it has.
func (s *Server) Held() int { return len(s.held) }
