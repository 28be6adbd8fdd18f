package model

import (
	"sync"
	"sync/atomic"
)

// parallelThreshold is the number of actors in a batch per additional worker that is woken. The calling goroutine handles
// a smaller batch alone.
const parallelThreshold = 8

// pool is a fixed number of workers that share the actors of a step.
type pool struct {
	size    int // with the goroutine that calls forEach
	jobs    chan func()
	workers sync.WaitGroup
}

// newPool starts a pool of size workers. The goroutine that calls forEach is one of them.
func newPool(size int) *pool {
	p := &pool{size: size, jobs: make(chan func())}
	for range size - 1 {
		p.workers.Go(func() {
			for job := range p.jobs {
				job()
			}
		})
	}
	return p
}

// close ends the workers. No call of forEach may be running.
func (p *pool) close() {
	close(p.jobs)
	p.workers.Wait()
}

// forEach calls work for every actor of a batch and returns when all calls have returned. A batch below parallelThreshold
// is handled by the calling goroutine alone.
func (p *pool) forEach(batch []*actor, work func(*actor)) {
	if p.size == 1 || len(batch) < parallelThreshold {
		for _, a := range batch {
			work(a)
		}
		return
	}
	var next atomic.Int64
	workOnBatch := func() {
		for i := next.Add(1) - 1; int(i) < len(batch); i = next.Add(1) - 1 {
			work(batch[i])
		}
	}
	var helpers sync.WaitGroup
	for range min(p.size-1, len(batch)/parallelThreshold) {
		helpers.Add(1)
		p.jobs <- func() {
			defer helpers.Done()
			workOnBatch()
		}
	}
	workOnBatch()
	helpers.Wait()
}
