package proxy

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/timelimit"
)

// The stages of an attempt. The loop may drop an attempt that waits for its connection; one that has been claimed for
// writing counts as sent.
const (
	attemptWaiting int32 = iota
	attemptClaimed
	attemptDropped
)

// noDeadline is the deadline of an attempt or request whose time has not begun.
const noDeadline time.Duration = math.MaxInt64

// attempt is one send of a request to one upstream. The loop makes it; a goroutine of its own runs it on a connection.
type attempt struct {
	request  *request
	message  message // a copy of the request's, which the loop drops once the request is closed
	index    int     // index among the request's attempts
	endpoint *endpoint
	sentAt   time.Duration // on the loop's clock
	address  string        // host:port of the upstream
	// deadline is when the balancer stops waiting for the attempt, on the loop's clock. It is noDeadline for an upload
	// without a time-out of its own, whose time begins with its last byte.
	deadline         time.Duration
	head             []byte        // what goes on the wire before the body; rendered once the attempt is claimed
	stage            atomic.Int32  // one of the stages above
	abandoned        atomic.Bool   // the loop has abandoned it: its connection has to be closed
	onBodyWritten    func()        // of an upload: called when its last byte has been written
	conn             *upstreamConn // the loop may use it only once the attempt is claimed
	outcomeDelivered bool          // belongs to the loop: the decision module has had the outcome
}

// remaining is for how long after now, on the loop's clock, the balancer will wait for the attempt's response. For an
// upload that is the request's complete timeout until the last byte has been written, unless the attempt's own time-out or
// the end of the process comes first.
func (a *attempt) remaining(now time.Duration) time.Duration {
	remaining := a.deadline - now
	if a.request.Upload {
		remaining = min(remaining, a.request.timeLeft(now, a.request.Timeout))
	}
	return remaining
}

// drop prevents an attempt from being sent if writing it has not begun. It reports whether it did so.
func (a *attempt) drop() bool { return a.stage.CompareAndSwap(attemptWaiting, attemptDropped) }

// claim takes the attempt for writing at the time now, and returns how long its upstream has for it. It fails if the
// attempt has been dropped, and drops it if its connection came up too late: no time remains for it, or it would be a retry
// that upstreams no longer recognize as one.
func (a *attempt) claim(now time.Duration) (remaining time.Duration, ok bool) {
	w := &a.request.window
	w.mu.Lock()
	defer w.mu.Unlock()
	remaining = a.remaining(now)
	if remaining <= 0 || w.isOver(now) {
		a.drop()
	}
	if !a.stage.CompareAndSwap(attemptWaiting, attemptClaimed) {
		return 0, false
	}
	if w.duration > 0 {
		w.executions = append(w.executions, possibleExecution{attempt: a, startedAt: now})
	}
	return remaining, true
}

// idempotencyWindow is the time within which upstreams recognize the retries of an idempotent request. The decision module
// checks it when it starts an attempt, but an attempt may wait for its connection until after the window's end. Its zero
// value bounds nothing.
type idempotencyWindow struct {
	duration   time.Duration // from the first attempt that may have been executed; 0: no bound
	mu         sync.Mutex    // guards executions
	executions []possibleExecution
}

// possibleExecution is an attempt that may have been executed, and when its first byte was about to be written, on the
// loop's clock.
type possibleExecution struct {
	attempt   *attempt
	startedAt time.Duration
}

// isOver reports whether the window of an earlier attempt has ended. The caller has the lock.
func (w *idempotencyWindow) isOver(now time.Duration) bool {
	return slices.ContainsFunc(w.executions, func(x possibleExecution) bool {
		return timelimit.Window{Start: x.startedAt, Length: w.duration}.IsOver(now)
	})
}

// exclude removes an attempt that has certainly not been executed: it bounds no other.
func (w *idempotencyWindow) exclude(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.executions = slices.DeleteFunc(w.executions, func(x possibleExecution) bool { return x.attempt == a })
}

// attemptResult is how an attempt or a health check ended.
type attemptResult struct {
	status       balancer.Status
	load         balancer.LoadReport
	body         []byte          // of a successful response; reserved in the body budget
	contentType  string          // the body's Content-Type
	conn         *upstreamConn   // the connection if it can be used again; nil: it has been closed, or belongs to stream
	bodyConsumed bool            // of an upload: a part of its body has been consumed, so it can't be sent again
	stream       *responseStream // the rest of a response that is streamed
}
