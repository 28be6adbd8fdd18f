package live

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"sprucehill/internal/lab/history"
)

// recorder collects the events of a live run. It is safe for concurrent use.
type recorder struct {
	mu         sync.Mutex
	startedAt  time.Time // zero: the run has not started
	events     []history.Event
	serial     int32                     // of the latest attempt that an upstream has received
	staleConns int                       // requests sent on a connection that the balancer had just closed
	requests   map[uint64]*clientRequest // sent by clients, by id
}

func newRecorder() *recorder { return &recorder{requests: map[uint64]*clientRequest{}} }

// start sets the start of the run, which the times of events are relative to.
func (r *recorder) start(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startedAt = at
}

// record adds an event to the history. An event without a time gets the current one. Events before the start of the run
// have the time 0.
func (r *recorder) record(e history.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At == 0 && !r.startedAt.IsZero() {
		e.At = time.Since(r.startedAt)
	}
	r.events = append(r.events, e)
}

// nextSerial returns the serial number of the next attempt that an upstream receives.
func (r *recorder) nextSerial() int32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serial++
	return r.serial
}

// countStaleConn counts a request sent on a connection that the balancer had just closed.
func (r *recorder) countStaleConn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.staleConns++
}

// addRequest registers a request before a client sends it.
func (r *recorder) addRequest(q *clientRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[q.id] = q
}

// requestByID returns the request with an id, or nil if no client has sent one.
func (r *recorder) requestByID(id uint64) *clientRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests[id]
}

// finish adds further events and returns all events in order of time, with the number of requests sent on a connection
// that the balancer had just closed.
func (r *recorder) finish(further []history.Event) (events []history.Event, staleConns int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, further...)
	slices.SortStableFunc(r.events, func(a, b history.Event) int { return cmp.Compare(a.At, b.At) })
	return r.events, r.staleConns
}
