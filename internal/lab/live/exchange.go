package live

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"sprucehill/internal/lab/check"
	"sprucehill/internal/lab/client"
	"sprucehill/internal/lab/history"
)

// staleConnWindow bounds the time in which a reused connection that ends without a byte was closed before its request
// had been read.
const staleConnWindow = 50 * time.Millisecond

// requestEnd is how a client's request ended.
type requestEnd struct {
	result     client.Result
	retryAfter time.Duration // as the answer advises; 0: it does not
	staleConn  bool          // its connection had been closed before the request came
}

// sendRequest sends a request through its zone's front and reads the answer. A request that meets a connection which its
// balancer has just closed is sent once more, on a new one.
func (r *run) sendRequest(ctx context.Context, q *clientRequest) requestEnd {
	f := r.fronts[r.arrivals[q.arrival].Zone]
	for newConn := false; ; newConn = true {
		b, ok := f.nextBalancer()
		if !ok {
			return requestEnd{result: client.NotConnected}
		}
		q.balancer = b
		c, err := f.connect(ctx, b, newConn, q.deadline)
		if err != nil {
			r.recorder.record(q.event(history.NotConnected))
			return requestEnd{result: client.NotConnected}
		}
		end := r.exchange(q, c, f)
		if !end.staleConn || newConn {
			return end
		}
		r.recorder.countStaleConn()
	}
}

// exchange writes a request on a connection and reads its answer.
func (r *run) exchange(q *clientRequest, c *clientConn, f *ingress) requestEnd {
	message := r.encode(q)
	reused := c.reused
	asked := q.event(history.Sent)
	asked.Deadline = q.deadline
	if _, err := c.Write(message); err != nil {
		c.Close()
		if reused {
			return requestEnd{result: client.NotConnected, staleConn: true}
		}
		r.recorder.record(q.event(history.NotConnected)) // the request was not sent in full
		return requestEnd{result: client.NotConnected}
	}
	q.wroteAt = r.now()
	asked.At = q.wroteAt
	r.recorder.record(asked)
	until := q.deadline + check.Grace
	if q.leavesAt > 0 {
		until = q.leavesAt
	}
	c.SetReadDeadline(r.origin.Add(until))
	if _, err := c.reader.Peek(1); err != nil {
		c.Close()
		return r.endWithoutAnswer(q, reused, err)
	}
	return r.readAnswer(q, c, f)
}

// encode is the request as it goes over the wire.
func (r *run) encode(q *clientRequest) []byte {
	timeout := q.deadline - r.now()
	request, err := http.NewRequest(q.method, "http://api.internal"+q.path, bytes.NewReader(q.body))
	if err != nil {
		panic(err) // method and path are made by newRequest
	}
	header := request.Header
	header.Set("X-Request-Id", fmt.Sprintf("%016x", q.id))
	header.Set("X-Class", r.day.Classes[q.class].Name)
	header.Set("X-Deadline-Ms", strconv.FormatInt(max(0, timeout.Milliseconds()), 10))
	if q.tenant != "" {
		header.Set("X-Tenant", q.tenant)
	}
	if q.key != "" {
		header.Set("Idempotency-Key", q.key)
	}
	if q.cookie != "" {
		header.Set("Cookie", "obj="+q.cookie)
	}
	var message bytes.Buffer
	if err := request.Write(&message); err != nil {
		panic(err) // a buffer takes all
	}
	return message.Bytes()
}

// endWithoutAnswer is how a request ended that got no byte of an answer. err is the error of reading.
func (r *run) endWithoutAnswer(q *clientRequest, reused bool, err error) requestEnd {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if q.leavesAt > 0 {
			r.recorder.record(q.event(history.ClientLeft))
			return requestEnd{result: client.Disconnected}
		}
		r.recorder.record(q.event(history.TimedOut))
		return requestEnd{result: client.Failed}
	}
	stale := reused && r.now()-q.wroteAt < staleConnWindow && !q.seenUpstream.Load() && !r.nodes[q.balancer].wasKilled()
	if stale {
		return requestEnd{result: client.NotConnected, staleConn: true}
	}
	r.recorder.record(q.event(history.Broken))
	return requestEnd{result: client.Failed}
}

// readAnswer reads the answer, of which the first byte has come.
func (r *run) readAnswer(q *clientRequest, c *clientConn, f *ingress) requestEnd {
	answered := q.event(history.Answered)
	resp, err := http.ReadResponse(c.reader, nil)
	var body []byte
	if err == nil {
		c.SetReadDeadline(r.origin.Add(q.deadline + check.Grace))
		body, err = io.ReadAll(resp.Body)
	}
	if err != nil {
		c.Close()
		r.recorder.record(q.event(history.Broken))
		return requestEnd{result: client.Failed}
	}
	var retryAfter time.Duration
	answered.Status = int16(resp.StatusCode)
	switch resp.StatusCode {
	case http.StatusOK:
		answered.Result = client.Served
		answered.Upstream, answered.Serial, answered.Text = parseBody(q.id, body)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		answered.Result = client.Rejected
		retryAfter = retryAfterOf(resp.Header)
	default:
		answered.Result = client.Failed
	}
	r.recorder.record(answered)
	c.lastAnswer = answered
	if resp.Close || !f.putIdle(q.balancer, c) {
		c.Close()
	}
	return requestEnd{result: answered.Result, retryAfter: retryAfter}
}

// retryAfterOf is the Retry-After of an answer. It is 0 if there is none or it is malformed.
func retryAfterOf(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// parseBody is the upstream that made a body for a request, with the serial of its attempt. wrong says why no upstream made
// it, and is empty if one did.
func parseBody(id uint64, body []byte) (upstream, serial int32, wrong string) {
	var got uint64
	if n, err := fmt.Sscanf(string(body), "%x %d %d\n", &got, &upstream, &serial); n != 3 || err != nil || got != id {
		return history.None, 0, fmt.Sprintf("body %.60q", body)
	}
	return upstream, serial, ""
}
