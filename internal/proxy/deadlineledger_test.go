package proxy

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// deadlineTolerance is how much more time than is left an upstream may be given, by the operators' rules.
const deadlineTolerance = 10 * time.Millisecond

// clientLedger records until when the clients of the present test wait, by request id, and when each attempt was written.
// The test upstreams check the deadline of each attempt against it.
var clientLedger = &deadlineLedger{requests: map[string]*clientRequest{}, written: map[writtenAttempt]time.Time{}}

// deadlineLedger records requests as they came in and attempts as they were written. It may be used from any goroutine.
type deadlineLedger struct {
	mu       sync.Mutex
	requests map[string]*clientRequest
	written  map[writtenAttempt]time.Time
}

// writtenAttempt identifies an attempt by what it says on the wire.
type writtenAttempt struct{ id, milliseconds string }

// clientRequest is a request as it reached the balancer. The ledger's lock guards it.
type clientRequest struct {
	budget   time.Duration // from its last byte
	lastByte time.Time     // when the latest byte came
	complete bool
}

// add records a complete request that comes on no client connection.
func (l *deadlineLedger) add(id string, budget time.Duration) {
	l.put(id, &clientRequest{budget: budget, lastByte: time.Now(), complete: true})
}

func (l *deadlineLedger) put(id string, r *clientRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = r
}

// remaining is how long the client of a request waits after now; false: no client has sent it.
func (l *deadlineLedger) remaining(id string, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		return 0, false
	}
	if !r.complete { // its time has not begun
		return r.budget, true
	}
	return r.budget - now.Sub(r.lastByte), true
}

// knows reports whether a request has reached the balancer.
func (l *deadlineLedger) knows(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[id] != nil
}

// attemptWritten records that the head of an attempt is about to be written.
func (l *deadlineLedger) attemptWritten(head string) {
	key := writtenAttempt{fieldOf(head, "X-Request-Id"), fieldOf(head, "X-Deadline-Ms")}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.written[key] = time.Now()
}

// firstByteOf is when an attempt was written, as recorded by its connection: an upstream on a busy machine reads it later.
func (l *deadlineLedger) firstByteOf(r *http.Request) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.written[writtenAttempt{r.Header.Get("X-Request-Id"), r.Header.Get("X-Deadline-Ms")}]
	return at, ok
}

// check fails the test if an attempt gives its upstream more time than its client still waited at its first byte.
func (l *deadlineLedger) check(tb testing.TB, r *http.Request) {
	tb.Helper()
	id := r.Header.Get("X-Request-Id")
	if id == "" && (r.URL.Path == "/load" || r.URL.Path == "/healthz") {
		return // a health check, which no client waits for
	}
	milliseconds, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		tb.Errorf("request %q: the time given to the upstream: %v", id, err)
		return
	}
	given := time.Duration(milliseconds) * time.Millisecond
	firstByte, recorded := l.firstByteOf(r)
	if !recorded {
		tb.Errorf("request %q came on a connection that records nothing", id)
		return
	}
	left, known := l.remaining(id, firstByte)
	if !known {
		tb.Errorf("an upstream got request %q, which no client sent", id)
	}
	if given > max(left, time.Millisecond)+deadlineTolerance {
		tb.Errorf("request %s: its upstream has %v, its client waits for %v more", id, given, left)
	}
}
