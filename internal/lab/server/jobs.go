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

// slotsUsed is how many requests have a slot.
func (s *Server) slotsUsed() int { return len(s.waiting.jobs) + len(s.working.jobs) }

// startJob gives a request a slot.
func (s *Server) startJob(j *job) {
	j.readyAt = s.now + j.wait
	heap.Push(&s.waiting, j)
}

// startQueued gives free slots to the queue.
func (s *Server) startQueued() {
	for len(s.queue) > 0 && s.slotsUsed() < s.model.Slots {
		j := s.queue[0]
		s.queue[0] = nil
		s.queue = s.queue[1:]
		s.startJob(j)
	}
}

// finishJob ends a request that has run, and gives its slot to the queue.
func (s *Server) finishJob(j *job) {
	delete(s.jobs, j.id)
	if j.failed {
		s.reports.errors++
	}
	s.finished = append(s.finished, Done{j.id, j.failed})
	s.startQueued()
}

// Cancel drops a request that its balancer has given up, whether it works, waits or is queued.
func (s *Server) Cancel(id JobID) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	delete(s.jobs, id)
	if j.heap != nil {
		heap.Remove(j.heap, j.heapIndex)
	} else if i := slices.Index(s.queue, j); i >= 0 {
		s.queue = slices.Concat(s.queue[:i], s.queue[i+1:])
	}
	if !s.collapsed {
		s.startQueued()
	}
}

// JobCount is how many requests it has.
func (s *Server) JobCount() int { return len(s.jobs) }
