package server

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// JobID identifies a request at the server. The owner chooses it; it must not be in use.
type JobID uint64

// job is a request that the server has accepted.
type job struct {
	id        JobID
	work      float64 // seconds of a core of speed 1
	wait      time.Duration
	failed    bool          // it ends with an error
	readyAt   time.Duration // its wait is over
	finish    float64       // attained service at which it ends
	serial    uint64        // breaks ties
	heap      *jobHeap      // that it is in; nil: it is queued
	heapIndex int           // in that; -1: it is queued
}

// jobHeap is jobs by a key, the lowest first.
type jobHeap struct {
	jobs []*job
	key  func(*job) float64
}

func (h *jobHeap) Len() int { return len(h.jobs) }
func (h *jobHeap) Less(i, j int) bool {
	a := h.jobs[i]
	b := h.jobs[j]
	return cmp.Or(cmp.Compare(h.key(a), h.key(b)), cmp.Compare(a.serial, b.serial)) < 0
}
func (h *jobHeap) Swap(i, j int) {
	h.jobs[i], h.jobs[j] = h.jobs[j], h.jobs[i]
	h.jobs[i].heapIndex = i
	h.jobs[j].heapIndex = j
}

// Push is for container/heap.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(h.jobs)
	j.heap = h
	h.jobs = append(h.jobs, j)
}

// Pop is for container/heap.
func (h *jobHeap) Pop() any {
	last := len(h.jobs) - 1
	j := h.jobs[last]
	h.jobs[last] = nil
	h.jobs = h.jobs[:last]
	j.heapIndex = -1
	j.heap = nil
	return j
}

// jobTable is the requests that a server has accepted and not ended.
type jobTable struct {
	byID       map[JobID]*job
	waiting    jobHeap // with a slot; they wait on other services
	working    jobHeap // with a slot; they run
	queue      []*job
	nextSerial uint64
}

func newJobTable() jobTable {
	return jobTable{
		byID:    map[JobID]*job{},
		waiting: jobHeap{key: func(j *job) float64 { return float64(j.readyAt) }},
		working: jobHeap{key: func(j *job) float64 { return j.finish }},
	}
}

// slotsUsed is how many requests have a slot.
func (t *jobTable) slotsUsed() int { return len(t.waiting.jobs) + len(t.working.jobs) }

// startJob gives a request a slot.
func (s *Server) startJob(j *job) {
	j.readyAt = s.now + j.wait
	heap.Push(&s.jobs.waiting, j)
}

// startQueued gives free slots to the queue.
func (s *Server) startQueued() {
	for len(s.jobs.queue) > 0 && s.jobs.slotsUsed() < s.model.Slots {
		j := s.jobs.queue[0]
		s.jobs.queue[0] = nil
		s.jobs.queue = s.jobs.queue[1:]
		s.startJob(j)
	}
}

// finishJob ends a request that has run, and gives its slot to the queue.
func (s *Server) finishJob(j *job) {
	delete(s.jobs.byID, j.id)
	if j.failed {
		s.reports.errors++
	}
	s.finished = append(s.finished, Done{j.id, j.failed})
	s.startQueued()
}

// Cancel drops a request that its balancer has given up, whether it works, waits or is queued.
func (s *Server) Cancel(id JobID) {
	j := s.jobs.byID[id]
	if j == nil {
		return
	}
	delete(s.jobs.byID, id)
	if j.heap != nil {
		heap.Remove(j.heap, j.heapIndex)
	} else if i := slices.Index(s.jobs.queue, j); i >= 0 {
		s.jobs.queue = slices.Concat(s.jobs.queue[:i], s.jobs.queue[i+1:])
	}
	if !s.collapsed {
		s.startQueued()
	}
}

// JobCount is how many requests it has.
func (s *Server) JobCount() int { return len(s.jobs.byID) }
