package proxy

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"
)

// deadlineTolerance is the amount by which the operators' rules let a forwarded deadline exceed the time that is left.
const deadlineTolerance = 10 * time.Millisecond

// clientDeadlines records how long the clients of the current test wait and when each attempt was written. The test upstreams
// check the deadline of each attempt against it.
var clientDeadlines = &deadlineChecker{requests: map[string]*clientRequest{}, written: map[writtenAttempt]time.Time{}}

// deadlineChecker records when requests were received and when attempts were written. It is safe for concurrent use.
type deadlineChecker struct {
	mu       sync.Mutex                   // guards the fields below
	requests map[string]*clientRequest    // by request id
	written  map[writtenAttempt]time.Time // when each attempt was written
}

// writtenAttempt identifies an attempt by the request id and deadline that it carries.
type writtenAttempt struct{ id, milliseconds string }

// clientRequest is a request as the balancer received it. It is guarded by the lock of the checker.
type clientRequest struct {
	budget   time.Duration // how long the client waits after the last byte
	lastByte time.Time     // when the latest byte was received
	complete bool
}

// add records a complete request that was not received on a client connection.
func (l *deadlineChecker) add(id string, budget time.Duration) {
	l.put(id, &clientRequest{budget: budget, lastByte: time.Now(), complete: true})
}

func (l *deadlineChecker) put(id string, r *clientRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[id] = r
}

// remaining returns how much longer than now the client of a request waits. ok is false if no client has sent the request.
func (l *deadlineChecker) remaining(id string, now time.Time) (remaining time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[id]
	if r == nil {
		return 0, false
	}
	if !r.complete { // its deadline counts from the last byte, which is still to come
		return r.budget, true
	}
	return r.budget - now.Sub(r.lastByte), true
}

// knows reports whether the balancer has received a request.
func (l *deadlineChecker) knows(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[id] != nil
}

// attemptWritten records that the head of an attempt is about to be written.
func (l *deadlineChecker) attemptWritten(head string) {
	key := writtenAttempt{fieldOf(head, "X-Request-Id"), fieldOf(head, "X-Deadline-Ms")}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.written[key] = time.Now()
}

// firstByteOf returns when the connection wrote an attempt. The upstream's own time would be too late on a busy machine.
func (l *deadlineChecker) firstByteOf(r *http.Request) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.written[writtenAttempt{r.Header.Get("X-Request-Id"), r.Header.Get("X-Deadline-Ms")}]
	return at, ok
}

// check fails the test if the deadline of an attempt exceeds the time that its client still waited when the attempt was written.
func (l *deadlineChecker) check(tb testing.TB, r *http.Request) {
	tb.Helper()
	id := r.Header.Get("X-Request-Id")
	if id == "" && (r.URL.Path == "/load" || r.URL.Path == "/healthz") {
		return // a health check has no client
	}
	milliseconds, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		tb.Errorf("request %q: X-Deadline-Ms at the upstream: %v", id, err)
		return
	}
	given := time.Duration(milliseconds) * time.Millisecond
	firstByte, recorded := l.firstByteOf(r)
	if !recorded {
		tb.Errorf("request %q: the upstream connection did not record when it was written", id)
		return
	}
	remaining, known := l.remaining(id, firstByte)
	if !known {
		tb.Errorf("request %q: received by an upstream, but not sent by a client", id)
	}
	if given > max(remaining, time.Millisecond)+deadlineTolerance {
		tb.Errorf("request %q: forwarded deadline is %v, but its client waits only %v more", id, given, remaining)
	}
}
