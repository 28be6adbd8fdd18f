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

// staleConnWindow is how long after a request was sent on a reused connection the end of that connection still counts as a
// close before the balancer read the request, provided that no byte of an answer has arrived.
const staleConnWindow = 50 * time.Millisecond

// requestEnd is the result of a client's request.
type requestEnd struct {
	result     client.Result
	retryAfter time.Duration // from the Retry-After header of the answer; 0: none
	staleConn  bool          // the balancer had closed the connection before the request arrived
}

// sendRequest sends a request through the ingress of its zone and reads the answer. If the balancer has just closed the
// reused connection, the request is sent once more on a new one.
func (r *run) sendRequest(ctx context.Context, q *clientRequest) requestEnd {
	in := r.ingresses[r.arrivals[q.arrival].Zone]
	for newConn := false; ; newConn = true {
		b, ok := in.nextBalancer()
		if !ok {
			return requestEnd{result: client.NotConnected}
		}
		q.balancer = b
		c, err := in.connect(ctx, b, newConn, q.deadline)
		if err != nil {
			r.recorder.record(q.event(history.NotConnected))
			return requestEnd{result: client.NotConnected}
		}
		end := r.exchange(q, c, in)
		if !end.staleConn || newConn {
			return end
		}
		r.recorder.countStaleConn()
	}
}

// exchange writes a request to a connection and reads the answer.
func (r *run) exchange(q *clientRequest, c *clientConn, in *ingress) requestEnd {
	message := r.encode(q)
	reused := c.reused
	sent := q.event(history.Sent)
	sent.Deadline = q.deadline
	if _, err := c.Write(message); err != nil {
		c.Close()
		if reused {
			return requestEnd{result: client.NotConnected, staleConn: true}
		}
		r.recorder.record(q.event(history.NotConnected)) // the request was not written in full
		return requestEnd{result: client.NotConnected}
	}
	q.sentAt = r.now()
	sent.At = q.sentAt
	r.recorder.record(sent)
	readDeadline := q.deadline + check.DeadlineGrace
	if q.disconnectsAt > 0 {
		readDeadline = q.disconnectsAt
	}
	c.SetReadDeadline(r.startedAt.Add(readDeadline))
	if _, err := c.reader.Peek(1); err != nil {
		c.Close()
		return r.endWithoutAnswer(q, reused, err)
	}
	return r.readAnswer(q, c, in)
}

// encode returns the request in its wire format.
func (r *run) encode(q *clientRequest) []byte {
	timeout := q.deadline - r.now()
	request, err := http.NewRequest(q.method, "http://api.internal"+q.path, bytes.NewReader(q.body))
	if err != nil {
		panic(err) // newRequest makes only valid methods and paths
	}
	header := request.Header
	header.Set("X-Request-Id", fmt.Sprintf("%016x", q.id))
	header.Set("X-Class", r.scenario.Classes[q.class].Name)
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
		panic(err) // writing to a buffer never fails
	}
	return message.Bytes()
}

// endWithoutAnswer returns the result of a request that got no byte of an answer. err is the error of the read.
func (r *run) endWithoutAnswer(q *clientRequest, reused bool, err error) requestEnd {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if q.disconnectsAt > 0 {
			r.recorder.record(q.event(history.ClientLeft))
			return requestEnd{result: client.Disconnected}
		}
		r.recorder.record(q.event(history.TimedOut))
		return requestEnd{result: client.Failed}
	}
	stale := reused && r.now()-q.sentAt < staleConnWindow && !q.seenUpstream.Load() && !r.nodes[q.balancer].wasKilled()
	if stale {
		return requestEnd{result: client.NotConnected, staleConn: true}
	}
	r.recorder.record(q.event(history.Broken))
	return requestEnd{result: client.Failed}
}

// readAnswer reads an answer whose first byte has arrived.
func (r *run) readAnswer(q *clientRequest, c *clientConn, in *ingress) requestEnd {
	answered := q.event(history.Answered)
	resp, err := http.ReadResponse(c.reader, nil)
	var body []byte
	if err == nil {
		c.SetReadDeadline(r.startedAt.Add(q.deadline + check.DeadlineGrace))
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
	if resp.Close || !in.putIdle(q.balancer, c) {
		c.Close()
	}
	return requestEnd{result: answered.Result, retryAfter: retryAfter}
}

// retryAfterOf returns the Retry-After header of an answer, or 0 if it is missing or malformed.
func retryAfterOf(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// parseBody returns the upstream that produced a body for a request, and the serial of the attempt. If the body is not that
// of any upstream for this request, malformed describes it; otherwise it is empty.
func parseBody(id uint64, body []byte) (upstream, serial int32, malformed string) {
	var got uint64
	if n, err := fmt.Sscanf(string(body), "%x %d %d\n", &got, &upstream, &serial); n != 3 || err != nil || got != id {
		return history.None, 0, fmt.Sprintf("body %.60q", body)
	}
	return upstream, serial, ""
}
