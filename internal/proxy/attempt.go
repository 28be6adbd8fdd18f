package proxy

import (
	"math"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/timelimit"
)

// The stages of an attempt. The loop can drop an attempt that is still waiting for its connection. A claimed attempt is
// about to be written and counts as sent.
const (
	attemptWaiting int32 = iota
	attemptClaimed
	attemptDropped
)

// noDeadline is the deadline of an attempt or request whose timeout has not started to run.
const noDeadline time.Duration = math.MaxInt64

// attempt is one transmission of a request to one upstream. The loop creates it; a separate goroutine runs it on a
// connection.
type attempt struct {
	request  *request
	message  message // copied from the request, whose own message the loop clears once the request is closed
	index    int     // position in request.attempts
	endpoint *endpoint
	sentAt   time.Duration // on the loop's clock
	address  string        // host:port of the upstream
	// deadline is when the balancer stops waiting for the attempt, on the loop's clock. It is noDeadline for an upload
	// without a per-attempt timeout whose last byte had not arrived when the attempt was started: see upload.
	deadline         time.Duration
	head             []byte        // request line and header; rendered once the attempt is claimed
	stage            atomic.Int32  // one of the stages above
	abandoned        atomic.Bool   // set when the loop has abandoned the attempt: its connection must be closed
	timer            *attemptTimer // of a timeout before the request's deadline; nil: none is set
	executionBegun   bool          // used by the attempt's goroutine only: beginAttempt of its execution has succeeded
	onBodyWritten    func()        // uploads only: called when the last byte has been written
	conn             *upstreamConn // the loop may use it only once the attempt is claimed
	finisher         attemptFinisher
	begun            atomic.Int32   // a responseBegin
	begunAt          atomic.Int64   // when it began, a time.Duration on the loop's clock
	response         *http.Response // used by the attempt's goroutine only: its head has been read
	result           attemptResult  // used by the attempt's goroutine until it finishes the attempt, then by the loop
	outcomeDelivered bool           // used by the loop only: the decision module has been given the outcome
}

// attemptFinisher is notified once when the result of an attempt is known. It may be called from any goroutine.
type attemptFinisher interface {
	finishAttempt(a *attempt)
}

// remaining returns how long after now, on the loop's clock, the balancer will wait for the attempt's response. Until the
// last byte of an upload is known to have arrived, that is the request's complete timeout, unless the attempt's own timeout
// or the end of the process comes first.
func (a *attempt) remaining(now time.Duration) time.Duration {
	remaining := a.deadline - now
	if a.request.upload != nil {
		remaining = min(remaining, a.request.upload.remaining(now))
	}
	return remaining
}

// clientDeadline returns when the client stops waiting, on the loop's clock. The last byte of an upload must have been written. The
// attempt's goroutine may call it: the deadline of a request that is not an upload doesn't change.
func (a *attempt) clientDeadline() time.Duration {
	if a.request.upload != nil {
		return a.request.upload.knownDeadline()
	}
	return a.request.deadline
}

// respondsUntil returns until when an attempt must not be given up before the deadline of its request because its response has begun,
// on the loop's clock. It is noDeadline for a response that may be long, which will be streamed, and zero for an attempt without a
// successful response that the request still needs. A short response that rests is better requested elsewhere. The loop calls it.
func (a *attempt) respondsUntil() time.Duration {
	begun := a.begun.Load()
	switch {
	case begun == noResponse || a.request.closed || a.outcomeDelivered:
		return 0
	case begun == longResponse:
		return noDeadline
	}
	return time.Duration(a.begunAt.Load()) + timelimit.BufferLongResponse
}

// drop prevents the attempt from being sent, unless it has been claimed for writing. It reports whether the attempt was
// dropped.
func (a *attempt) drop() bool { return a.stage.CompareAndSwap(attemptWaiting, attemptDropped) }

// claim reserves the attempt for writing at the time now, and returns how long its upstream has to respond. It fails if the
// attempt has been dropped. It drops the attempt and fails if the connection was established too late: no time remains, the
// client is not known to wait any more, or the idempotency window has ended, so that upstreams would no longer recognize the
// attempt as a retry.
func (a *attempt) claim(now time.Duration) (remaining time.Duration, ok bool) {
	window := &a.request.window
	window.mu.Lock()
	defer window.mu.Unlock()
	if a.request.upload != nil {
		a.request.upload.checkReceived()
	}
	remaining = a.remaining(now)
	if remaining <= 0 || window.isOver(now) || !a.request.mayBeginAttempt(now) {
		a.drop()
	}
	if !a.stage.CompareAndSwap(attemptWaiting, attemptClaimed) {
		return 0, false
	}
	if window.duration > 0 {
		window.possibleExecutions = append(window.possibleExecutions, possibleExecution{attempt: a, startedAt: now})
	}
	return remaining, true
}

// idempotencyWindow is the time within which upstreams recognize retries of an idempotent request. The decision module
// checks it when it starts an attempt; it is checked again before writing, since an attempt may wait for its connection
// until after the end of the window. The zero value imposes no limit.
type idempotencyWindow struct {
	duration           time.Duration // counted from the start of each possible execution; 0: no limit
	mu                 sync.Mutex    // guards possibleExecutions
	possibleExecutions []possibleExecution
}

// possibleExecution records an attempt that the upstream may have executed.
type possibleExecution struct {
	attempt   *attempt
	startedAt time.Duration // just before its first byte was written, on the loop's clock
}

// isOver reports whether the window of any earlier possible execution has ended. The caller must hold w.mu.
func (w *idempotencyWindow) isOver(now time.Duration) bool {
	return slices.ContainsFunc(w.possibleExecutions, func(execution possibleExecution) bool {
		return timelimit.Window{Start: execution.startedAt, Length: w.duration}.IsOver(now)
	})
}

// exclude removes an attempt that was certainly not executed, so that it does not limit other attempts.
func (w *idempotencyWindow) exclude(a *attempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.possibleExecutions = slices.DeleteFunc(w.possibleExecutions, func(execution possibleExecution) bool { return execution.attempt == a })
}

// attemptResult is the result of an attempt or a health check.
type attemptResult struct {
	status       balancer.Status
	load         balancer.LoadReport
	body         []byte          // of a successful response; its capacity is reserved in the body budget
	contentType  string          // the body's Content-Type
	conn         *upstreamConn   // the connection if it can be reused; nil: it has been closed, or is owned by stream
	repeated     bool            // not sent, because another request with the same ID may have been executed
	bodyConsumed bool            // uploads only: part of the body has been read from the client, so the request can't be sent again
	stream       *responseStream // the rest of a streamed response; nil: body is complete
}
