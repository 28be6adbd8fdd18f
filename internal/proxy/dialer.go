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

// runAttempt sends the attempt, reads the response, and sets the result. The attempt is written at most once. The caller finishes the
// attempt, unless handedOver: then its response is being streamed, and it has been finished. Large values are not passed on the stack,
// which would grow once more for each attempt.
func (d dialer) runAttempt(a *attempt) (handedOver bool) {
	c, err := d.connect(a.conn, a.address)
	if err != nil {
		a.result.status = balancer.ConnectFailed
		return false
	}
	a.conn = c
	if !a.request.execution.beginAttempt() {
		a.drop()
		a.result = attemptResult{status: balancer.NotSent, conn: c, repeated: true}
		return false
	}
	a.executionBegun = true
	remaining, ok := a.claim(d.now()) // now, since the connection may have taken long to open
	if !ok {
		a.result = attemptResult{status: balancer.NotSent, conn: c}
		return false
	}
	a.head = a.message.renderHead(remaining)
	progress, err := writeAttempt(a, c, d.bodyBudget)
	a.result.bodyConsumed = progress.bodyConsumed
	if !progress.complete {
		d.afterPartialWrite(a, err)
		return false
	}
	d.attemptsWritten.Inc()
	if a.onBodyWritten != nil {
		a.onBodyWritten()
	}
	if err != nil {
		c.Close()
		a.result.status = balancer.Reset
		return false
	}
	return d.readResponse(a)
}

// afterPartialWrite sets the result of an attempt whose last byte was certainly not written, so that the upstream can't
// have executed it, given the error of the write.
func (d dialer) afterPartialWrite(a *attempt, err error) {
	defer a.conn.Close()
	if errors.Is(err, errClientBody) {
		a.result.status = balancer.NotSent
		a.result.bodyConsumed = true
		return
	}
	a.result.status = balancer.ConnectFailed
	if a.message.rest == nil {
		return
	}
	// The upstream may have sent a response that says why it stopped reading the upload.
	a.conn.SetReadDeadline(time.Now().Add(d.timeout))
	if a.abandoned.Load() { // checked after SetReadDeadline, which may have replaced the expired deadline set by abandon
		return
	}
	var r attemptResult
	d.readShortResponse(a.conn, &r)
	d.bodyBudget.Release(cap(r.body)) // it is not forwarded
	if r.status == balancer.Rejected {
		a.result.status = r.status
		a.result.load = r.load
	}
}
