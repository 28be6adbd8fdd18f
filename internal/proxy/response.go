package proxy

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/bodybudget"
	"sprucehill/internal/timelimit"
	"sprucehill/internal/upstream"
	"sprucehill/internal/wire"
)

// responseBegin is how far the response to an attempt has begun. A limit of time for the attempt must not treat one that has begun
// as one that hasn't.
type responseBegin = int32

const (
	noResponse responseBegin = iota
	// shortResponse is a successful response that is known to be short: its time is that of its last byte.
	shortResponse
	// longResponse is a successful response that is known to be long, or may be: its time is that of its first bytes.
	//
	// Platform: over 64 KiB the first bytes are timed, and cutting off what the upstream still gives loses the request.
	longResponse
)

// beginOf returns how far a response has begun of which the head has been read.
func beginOf(resp *http.Response) responseBegin {
	switch {
	case resp.StatusCode != http.StatusOK:
		return noResponse
	case resp.ContentLength >= 0 && resp.ContentLength <= bodybudget.MaxBuffered:
		return shortResponse
	}
	return longResponse
}

// limitBody sets the limits of time for reading a response that has begun now. A response that may be long is forwarded by the
// deadline of its client; one that is known to be short is complete by then, or has failed.
func (a *attempt) limitBody(o *upstream.BodyOptions, begin responseBegin, now time.Duration) {
	began := time.Now()
	deadline := began.Add(a.clientDeadline() - now)
	o.MaxRest = timelimit.UpstreamRest(a.request.clientWait)
	o.BufferUntil = began.Add(timelimit.BufferLongResponse)
	switch begin {
	case longResponse:
		if deadline.Before(o.BufferUntil) {
			o.BufferUntil = deadline
		}
	case shortResponse:
		o.StreamUntil = deadline
		o.BufferUntil = began.Add(timelimit.BufferShortResponse)
		if !o.BufferUntil.Before(deadline) {
			o.BufferUntil = time.Time{}
		}
	default: // only its status matters
		o.Receiver = nil
	}
}

// readResponse reads the response to an attempt and sets the result. The rest of a long or slow body is left to be streamed. If the
// upstream rests when the body is to be streamed, the attempt is finished by then, and handedOver is true. The body of an unsuccessful
// response is discarded.
func (d dialer) readResponse(a *attempt) (handedOver bool) {
	resp, err := readHead(a.conn)
	if err != nil {
		a.result.status = balancer.Reset
		return false
	}
	begin := beginOf(resp)
	now := d.now()
	a.begunAt.Store(int64(now))
	a.begun.Store(begin)
	a.response = resp
	options := upstream.BodyOptions{Budget: d.bodyBudget, Receiver: a}
	a.limitBody(&options, begin, now)
	body, err := a.conn.ReadBody(resp, &options)
	if errors.Is(err, upstream.ErrHandedOver) {
		return true
	}
	d.setResult(&a.result, a.conn, resp, body, err)
	return false
}

// HandOver implements upstream.Receiver: it finishes the attempt with a response that is streamed.
func (a *attempt) HandOver(body upstream.Body) {
	a.result.setHead(a.response)
	a.result.setBody(a.conn, a.response, body)
	a.finisher.finishAttempt(a)
}

// readShortResponse reads a response that is not forwarded, and sets the result. The caller limits the time for it.
func (d dialer) readShortResponse(c *upstreamConn, r *attemptResult) {
	resp, err := readHead(c)
	if err != nil {
		r.status = balancer.Reset
		return
	}
	body, err := c.ReadBody(resp, &upstream.BodyOptions{Budget: d.bodyBudget})
	d.setResult(r, c, resp, body, err)
}

// readHead reads the head of a response. It closes the connection if it returns an error.
func readHead(c *upstreamConn) (*http.Response, error) {
	resp, err := c.ReadHead()
	if err == nil && resp.ContentLength > upstream.MaxResponseLength {
		err = upstream.ErrResponseTooLong
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return resp, nil
}

// setResult sets the result of an attempt whose response has been read, given how reading the body ended.
func (d dialer) setResult(r *attemptResult, c *upstreamConn, resp *http.Response, body upstream.Body, err error) {
	r.setHead(resp)
	if err != nil {
		d.bodyBudget.Release(cap(body.Buffered))
		c.Close()
		r.status = statusOfBrokenBody(r.status, err)
		return
	}
	r.setBody(c, resp, body)
	if r.status != balancer.OK {
		d.discardBody(r)
	}
}

// statusOfBrokenBody returns the outcome of an attempt whose response was not complete, by that of its head. It may have been executed.
func statusOfBrokenBody(head balancer.Status, err error) balancer.Status {
	if head != balancer.OK && errors.Is(err, os.ErrDeadlineExceeded) { // the connection did not break
		return balancer.Error
	}
	return balancer.Reset
}

// setHead sets what the head of a response tells.
func (r *attemptResult) setHead(resp *http.Response) {
	r.status = attemptStatus(resp)
	r.load = parseLoadReport(resp.Header.Get("X-Load"))
}

// setBody sets the body of a response, and its connection.
func (r *attemptResult) setBody(c *upstreamConn, resp *http.Response, body upstream.Body) {
	r.body = body.Buffered
	r.contentType = resp.Header.Get("Content-Type")
	switch {
	case body.Stream != nil:
		r.stream = &responseStream{Stream: body.Stream, conn: c}
	case resp.Close:
		c.Close()
	default:
		r.conn = c
	}
}

// discardBody removes the body from the result of an attempt that was not successful. The rest of it is not read.
func (d dialer) discardBody(r *attemptResult) {
	d.bodyBudget.Release(cap(r.body))
	r.body, r.contentType = nil, ""
	if r.stream != nil {
		r.stream.conn.Close()
		r.stream = nil
	}
}

// attemptStatus returns the outcome of an attempt by the head of its response.
func attemptStatus(resp *http.Response) balancer.Status {
	switch resp.StatusCode {
	case http.StatusOK:
		return balancer.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get("X-Not-Run") == "1" { // without this field the request may have been executed
			return balancer.Rejected
		}
	}
	return balancer.Error
}

// parseLoadReport parses a load report: comma-separated name=value pairs. It ignores pairs that it can't parse.
func parseLoadReport(text string) balancer.LoadReport {
	var report balancer.LoadReport
	for pair := range strings.SplitSeq(text, ",") {
		name, valueText, _ := strings.Cut(pair, "=")
		value, err := strconv.ParseFloat(strings.TrimSpace(valueText), 64)
		if err == nil {
			wire.SetLoadField(&report, strings.TrimSpace(name), value)
		}
	}
	return report
}
