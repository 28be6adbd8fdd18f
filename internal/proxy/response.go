package proxy

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/wire"
)

const (
	// maxResponseLength is the greatest length, in bytes, that a response may have: twice the longest that the platform's
	// pages say occurs. A response that announces more is broken, and would break off once its beginning had been passed
	// on.
	maxResponseLength = 64 << 20
	// unsizedResponseHoldTime is how long a response of unknown length is buffered before what has come is passed on. Until
	// it is complete it might be one that can be requested again, but delaying a long one costs its client time.
	unsizedResponseHoldTime = 200 * time.Millisecond
)

// readResponse reads an upstream's response. The body of a long or slow one is left to be streamed. Of a response that is
// not successful, the body is discarded.
func (d dialer) readResponse(c *upstreamConn) attemptResult {
	c.readLimit.N = maxResponseRead
	resp, err := readFinalHead(c.reader)
	if err != nil || resp.ContentLength > maxResponseLength {
		c.Close()
		return attemptResult{status: balancer.Reset}
	}
	r := attemptResult{status: statusOf(resp), load: parseLoadReport(resp.Header.Get("X-Load"))}
	body, complete, err := d.readResponseBody(c, resp)
	if err == nil && r.status == balancer.OK {
		r.body = body
		r.contentType = resp.Header.Get("Content-Type")
	} else {
		d.bodyBudget.release(cap(body))
	}
	switch {
	case err != nil:
		c.Close()
		return attemptResult{status: balancer.Reset}
	case !complete && r.status == balancer.OK:
		r.stream = &responseStream{resp: resp, conn: c}
	case !complete || resp.Close: // the rest of an error's body is of no use
		c.Close()
	default:
		r.conn = c
	}
	return r
}

// readFinalHead reads the head of a response, and passes over the interim ones (1xx) before it.
func readFinalHead(in *bufio.Reader) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// statusOf is the outcome that a response's head stands for.
func statusOf(resp *http.Response) balancer.Status {
	switch resp.StatusCode {
	case http.StatusOK:
		return balancer.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get("X-Not-Run") == "1" { // without that mark the request may have been executed
			return balancer.Rejected
		}
	}
	return balancer.Error
}

// readResponseBody buffers a response's body, or the beginning of one that is to be streamed.
func (d dialer) readResponseBody(c *upstreamConn, resp *http.Response) (body []byte, complete bool, err error) {
	began := time.Now()
	body, complete, err = d.bodyBudget.readBody(resp.Body, resp.ContentLength, func() bool {
		if resp.ContentLength < 0 {
			return time.Since(began) > unsizedResponseHoldTime
		}
		return resp.ContentLength > maxBody
	})
	if err == nil && complete && c.readLimit.N <= 0 { // the limit has ended it, not the upstream
		err = io.ErrUnexpectedEOF
	}
	return body, complete, err
}

// parseLoadReport parses a load report: comma-separated name=value pairs. What can't be parsed is ignored.
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
