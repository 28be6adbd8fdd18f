package server

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// JobID identifies a request at the server. The owner chooses it. No two requests that have not ended may share one.
type JobID uint64

// job is a request that the server has accepted.
type job struct {
	id        JobID
	work      float64       // core-seconds at speed 1
	wait      time.Duration // on other services
	failed    bool          // it ends with an error
	readyAt   time.Duration // when its wait is over
	finish    float64       // attained service of the server at which it ends
	serial    uint64        // breaks ties
	heap      *jobHeap      // the heap that holds it; nil: it has no slot
	heapIndex int           // index in heap; -1: it has no slot
}

// jobHeap is a min-heap of jobs by a key.
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

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(h.jobs)
	j.heap = h
	h.jobs = append(h.jobs, j)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	last := len(h.jobs) - 1
	j := h.jobs[last]
	h.jobs[last] = nil
	h.jobs = h.jobs[:last]
	j.heapIndex = -1
	j.heap = nil
	return j
}

// jobTable holds the requests that a server has accepted and that have not ended.
type jobTable struct {
	byID       map[JobID]*job
	waiting    jobHeap // with a slot, waiting on other services
	running    jobHeap // with a slot, using the cores
	queue      []*job  // without a slot, in order of arrival
	nextSerial uint64
}

func newJobTable() jobTable {
	return jobTable{
		byID:    map[JobID]*job{},
		waiting: jobHeap{key: func(j *job) float64 { return float64(j.readyAt) }},
		running: jobHeap{key: func(j *job) float64 { return j.finish }},
	}
}

// slotsUsed is the number of requests that occupy a slot.
func (t *jobTable) slotsUsed() int { return len(t.waiting.jobs) + len(t.running.jobs) }

// startJob gives a request a slot.
func (s *Server) startJob(j *job) {
	j.readyAt = s.now + j.wait
	heap.Push(&s.jobs.waiting, j)
}

// startQueued gives free slots to queued requests, in order of arrival.
func (s *Server) startQueued() {
	for len(s.jobs.queue) > 0 && s.jobs.slotsUsed() < s.model.Slots {
		j := s.jobs.queue[0]
		s.jobs.queue[0] = nil
		s.jobs.queue = s.jobs.queue[1:]
		s.startJob(j)
	}
}

// finishJob ends a request and gives its slot, if it had one, to the head of the queue.
func (s *Server) finishJob(j *job) {
	delete(s.jobs.byID, j.id)
	if j.failed {
		s.reports.errors++
	}
	s.finished = append(s.finished, Done{j.id, j.failed})
	s.startQueued()
}

// Cancel drops a request that its balancer has abandoned, whether it is running, waiting or queued.
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

// JobCount is the number of requests that the server has accepted and that have not ended.
func (s *Server) JobCount() int { return len(s.jobs.byID) }
