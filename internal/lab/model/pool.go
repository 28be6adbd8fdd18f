package model

import (
	"sync"
	"sync/atomic"
)

// parallelThreshold is how many actors must have something to do before other workers are woken.
const parallelThreshold = 8

// pool is a number of workers that share the actors of a step.
type pool struct {
	size    int
	jobs    chan func()
	workers sync.WaitGroup
}

// newPool starts a pool of size workers. The goroutine that calls each is one of them.
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

func (p *pool) close() {
	close(p.jobs)
	p.workers.Wait()
}

// each calls work for every actor and returns when all calls have. A small batch is done by the caller alone.
func (p *pool) each(batch []*actor, work func(*actor)) {
	if p.size == 1 || len(batch) < parallelThreshold {
		for _, a := range batch {
			work(a)
		}
		return
	}
	var next atomic.Int64
	share := func() {
		for i := next.Add(1) - 1; int(i) < len(batch); i = next.Add(1) - 1 {
			work(batch[i])
		}
	}
	var helpers sync.WaitGroup
	for range min(p.size-1, len(batch)/parallelThreshold) {
		helpers.Add(1)
		p.jobs <- func() {
			defer helpers.Done()
			share()
		}
	}
	share()
	helpers.Wait()
}
