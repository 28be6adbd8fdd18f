package hostile

import (
	"fmt"
	"sync"
	"time"
)

// Record has what upstreams and clients saw of requests. Its zero value is empty. It is safe for concurrent use.
type Record struct {
	mu       sync.Mutex
	requests map[string]*requestRecord // by ID
}

// requestRecord is what is known of one request.
type requestRecord struct {
	unsafe     bool // its class forbids a second execution
	arrivals   []time.Time
	executions int
	leftAt     time.Time // when its client left; zero: it has not
}

// of returns the record of a request. The caller holds the lock.
func (r *Record) of(id string) *requestRecord {
	if r.requests == nil {
		r.requests = map[string]*requestRecord{}
	}
	if r.requests[id] == nil {
		r.requests[id] = &requestRecord{}
	}
	return r.requests[id]
}

// Arrival is a request that has reached an upstream.
type Arrival struct {
	ID       string
	Unsafe   bool // its class forbids a second execution
	Executed bool // the upstream executes it, and does not reject it
}

// Arrived records an arrival at the present time.
func (r *Record) Arrived(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.of(a.ID)
	request.unsafe = a.Unsafe
	request.arrivals = append(request.arrivals, time.Now())
	if a.Executed {
		request.executions++
	}
}

// Left records that the client of a request has left.
func (r *Record) Left(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of(id).leftAt = time.Now()
}

// Count returns how often a request has reached an upstream.
func (r *Record) Count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.of(id).arrivals)
}

// Last returns when a request last reached an upstream; the zero time: never.
func (r *Record) Last(id string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	var last time.Time
	for _, at := range r.of(id).arrivals {
		last = at
	}
	return last
}

// Violations returns the broken rules: an execution of a request of an unsafe class after the first one, and an arrival later than
// grace after the client has left.
func (r *Record) Violations(grace time.Duration) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var violations []string
	for id, request := range r.requests {
		if request.unsafe && request.executions > 1 {
			violations = append(violations, fmt.Sprintf("request %s was executed %d times", id, request.executions))
		}
		for _, at := range request.arrivals {
			if !request.leftAt.IsZero() && at.Sub(request.leftAt) > grace {
				violations = append(violations, fmt.Sprintf("request %s was forwarded %v after its client had left", id, at.Sub(request.leftAt)))
			}
		}
	}
	return violations
}

// Requests returns how many requests have been recorded.
func (r *Record) Requests() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests)
}
