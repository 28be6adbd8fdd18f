package proxy

import (
	"errors"
	"net"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/bodybudget"
	"sprucehill/internal/metrics"
)

// This file runs one attempt on one connection. It does not use http.Transport, which may resend a request by itself when a
// reused connection breaks, closes the connection of an abandoned attempt, and does not report whether the last byte was
// written. Responses are still parsed by net/http.

// dialFunc opens a connection to an address within timeout.
type dialFunc func(network, address string, timeout time.Duration) (net.Conn, error)

// dialer runs attempts and health checks on connections to upstreams. It has no state of its own; each run is a blocking
// call on the caller's goroutine.
type dialer struct {
	openConn        dialFunc
	timeout         time.Duration        // for opening a connection, and for the response to a health check or an interrupted upload
	attemptsWritten *metrics.Counter     // counts attempts whose last byte has been written
	bodyBudget      *bodybudget.Budget   // limits the bytes of buffered bodies
	now             func() time.Duration // the loop's clock
}

// connect returns the idle connection if it can still be used, and opens a new one otherwise. idle may be nil.
func (d dialer) connect(idle *upstreamConn, address string) (*upstreamConn, error) {
	if idle != nil {
		if idle.CheckIdle() == nil {
			return idle, nil
		}
		idle.Close() // nothing has been written to it, so using another connection is safe
	}
	c, err := d.openConn("tcp", address, d.timeout)
	if err != nil {
		return nil, err
	}
	return newUpstreamConn(c), nil
}

// runAttempt sends the attempt and reads the response. The attempt is written at most once. The caller ends its execution, unless
// handedOver: then the response is being streamed, and the attempt has been finished. A call around this function would make the stack
// of each attempt grow once more.
func (d dialer) runAttempt(a *attempt) (r attemptResult, handedOver bool) {
	c, err := d.connect(a.conn, a.address)
	if err != nil {
		return attemptResult{status: balancer.ConnectFailed}, false
	}
	a.conn = c
	if !a.request.execution.beginAttempt() {
		a.drop()
		return attemptResult{status: balancer.NotSent, conn: c, repeated: true}, false
	}
	a.executionBegun = true
	remaining, ok := a.claim(d.now()) // now, since the connection may have taken long to open
	if !ok {
		return attemptResult{status: balancer.NotSent, conn: c}, false
	}
	a.head = a.message.renderHead(remaining)
	progress, err := writeAttempt(a, c, d.bodyBudget)
	if !progress.complete {
		return d.afterPartialWrite(a, c, progress, err), false
	}
	d.attemptsWritten.Inc()
	if a.onBodyWritten != nil {
		a.onBodyWritten()
	}
	if err != nil {
		c.Close()
		return attemptResult{status: balancer.Reset, bodyConsumed: progress.bodyConsumed}, false
	}
	r, handedOver = d.readResponse(a)
	r.bodyConsumed = progress.bodyConsumed
	return r, handedOver
}

// afterPartialWrite returns the result of an attempt whose last byte was certainly not written, so that the upstream can't
// have executed it.
func (d dialer) afterPartialWrite(a *attempt, c *upstreamConn, progress writeProgress, err error) attemptResult {
	if errors.Is(err, errClientBody) {
		c.Close()
		return attemptResult{status: balancer.NotSent, bodyConsumed: true}
	}
	if a.message.rest == nil {
		c.Close()
		return attemptResult{status: balancer.ConnectFailed}
	}
	// The upstream may have sent a response that says why it stopped reading the upload.
	c.SetReadDeadline(time.Now().Add(d.timeout))
	if a.abandoned.Load() { // checked after SetReadDeadline, which may have replaced the expired deadline set by abandon
		c.Close()
		return attemptResult{status: balancer.ConnectFailed, bodyConsumed: progress.bodyConsumed}
	}
	r := d.readShortResponse(c)
	if r.status != balancer.Rejected {
		c.Close()
		return attemptResult{status: balancer.ConnectFailed, bodyConsumed: progress.bodyConsumed}
	}
	if r.conn != nil {
		r.conn.Close()
	}
	return attemptResult{status: r.status, load: r.load, bodyConsumed: progress.bodyConsumed}
}
