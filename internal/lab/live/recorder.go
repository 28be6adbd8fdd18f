package live

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"sprucehill/internal/lab/history"
)

// recorder gathers what happens on a live day. It is safe for concurrent use.
type recorder struct {
	mu         sync.Mutex
	begunAt    time.Time // zero: the day has not begun
	events     []history.Event
	serial     int32                     // of the latest attempt at an upstream
	staleConns int                       // requests that met a connection which had just been closed
	requests   map[uint64]*clientRequest // that clients have sent and upstreams may see
}

func newRecorder() *recorder { return &recorder{requests: map[uint64]*clientRequest{}} }

// begin notes the begin of the day, from which the times of events count.
func (r *recorder) begin(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begunAt = at
}

// record adds an event to the history. An event without a time gets the present one. Events before the begin of the day
// are at 0.
func (r *recorder) record(e history.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.At == 0 && !r.begunAt.IsZero() {
		e.At = time.Since(r.begunAt)
	}
	r.events = append(r.events, e)
}

// nextSerial numbers the attempts that upstreams receive.
func (r *recorder) nextSerial() int32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serial++
	return r.serial
}

// countStaleConn counts a request that met a connection which had just been closed.
func (r *recorder) countStaleConn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.staleConns++
}

// addRequest adds a request before a client sends it.
func (r *recorder) addRequest(q *clientRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[q.id] = q
}

// requestByID is the request with an id. It is nil if no client has sent it.
func (r *recorder) requestByID(id uint64) *clientRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests[id]
}

// finish adds further events. It returns all events in order of time, and how many requests met a closed connection.
func (r *recorder) finish(further []history.Event) (events []history.Event, staleConns int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, further...)
	slices.SortStableFunc(r.events, func(a, b history.Event) int { return cmp.Compare(a.At, b.At) })
	return r.events, r.staleConns
}
