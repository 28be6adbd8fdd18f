package live

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/link"
	"sprucehill/internal/lab/server"
)

// readTimeout is how long the transfer of a request may take after its first byte.
const readTimeout = time.Minute

// notFound is the answer to a request that no client has sent.
const notFound = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"

// upstreamAttempt is an attempt that an upstream has received.
type upstreamAttempt struct {
	id          uint64
	request     *clientRequest
	balancer    int
	serial      int32
	firstByteAt time.Duration
	conn        *link.Conn
	job         server.JobID // 0: it was never started
}

// event returns an event of this attempt.
func (a *upstreamAttempt) event(u *upstream, kind history.Kind) history.Event {
	return history.Event{
		Kind:      kind,
		RequestID: a.id,
		Arrival:   int32(a.request.arrival),
		Retry:     int8(a.request.retryNumber),
		Class:     int16(a.request.class),
		Balancer:  int32(a.balancer),
		Upstream:  int32(u.index),
		Serial:    a.serial,
	}
}

// arrivalEvent returns the event of an attempt's arrival. kind tells whether the server has accepted it.
func (u *upstream) arrivalEvent(a *upstreamAttempt, kind history.Kind) history.Event {
	event := a.event(u, kind)
	event.FirstByteAt = a.firstByteAt
	event.Work = float32(u.run.arrivals[a.request.arrival].Work.Seconds())
	return event
}

// accept accepts connections of balancer b until the listener is closed.
func (u *upstream) accept(l *link.Listener, b int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if !u.addConn(c) {
			c.Reset()
			continue
		}
		u.goroutines.Go(func() { u.serveConn(c, b) })
	}
}

// addConn registers a new connection. It returns false if the process is not running.
func (u *upstream) addConn(c *link.Conn) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.server == nil {
		return false
	}
	u.server.AcceptConn()
	u.conns[c] = struct{}{}
	u.limitConns()
	return true
}

func (u *upstream) removeConn(c *link.Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.conns, c)
	u.limitConns()
}

// limitConns stops accepting connections at the limit of the upstream's model, and resumes below it. The caller holds u.mu.
func (u *upstream) limitConns() {
	limit := u.model().Connections
	if limit == 0 {
		return
	}
	full := len(u.conns) >= limit
	for _, l := range u.listeners {
		l.SetFull(full)
	}
}

// serveConn serves the requests of one connection, one at a time.
func (u *upstream) serveConn(c *link.Conn, b int) {
	defer u.removeConn(c)
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(u.run.scenario.Balancer.KeepAlive.D()))
		if _, err := reader.Peek(1); err != nil {
			return
		}
		firstByteAt := u.run.now()
		c.SetReadDeadline(time.Now().Add(readTimeout))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		q := u.identify(request, body, b)
		if q == nil {
			_, _ = io.WriteString(c, notFound) // if it fails, the next read fails too
			continue
		}
		a := &upstreamAttempt{id: q.id, request: q, balancer: b, serial: u.run.recorder.nextSerial(), firstByteAt: firstByteAt, conn: c}
		u.receive(a)
		if !u.awaitEnd(reader, a) {
			return
		}
	}
}

// identify returns the client's request that balancer b has forwarded. It returns nil, and records a stray request, if no
// client has sent it in this form.
func (u *upstream) identify(request *http.Request, body []byte, b int) *clientRequest {
	recordStray := func(format string, args ...any) *clientRequest {
		text := fmt.Sprintf("%s %s ", request.Method, request.RequestURI) + fmt.Sprintf(format, args...)
		u.run.recorder.record(history.Event{Kind: history.Stray, Arrival: history.None, Balancer: int32(b), Upstream: int32(u.index), Text: text})
		return nil
	}
	header := request.Header.Get("X-Request-Id")
	id, err := strconv.ParseUint(header, 16, 64)
	if err != nil {
		return recordStray("with X-Request-Id %q", header)
	}
	q := u.run.recorder.requestByID(id)
	if q == nil {
		return recordStray("with the id %016x", id)
	}
	same := request.Method == q.method && request.RequestURI == q.path && bytes.Equal(body, q.body) &&
		request.Header.Get("Idempotency-Key") == q.key
	if !same {
		return recordStray("with the id %016x is not what its client sent", id)
	}
	q.seenUpstream.Store(true)
	return q
}

// receive passes an attempt to the server model.
func (u *upstream) receive(a *upstreamAttempt) {
	arrival := u.run.arrivals[a.request.arrival]
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.server == nil { // the process has ended in the meantime
		u.run.recorder.record(u.arrivalEvent(a, history.Arrived))
		u.run.recorder.record(a.event(u, history.Abandoned))
		a.conn.Reset()
		return
	}
	u.advance()
	u.lastJob++
	a.job = u.lastJob
	accepted, collapsed := u.server.Arrive(a.job, arrival.Work, arrival.Wait)
	if !accepted {
		u.run.recorder.record(u.arrivalEvent(a, history.Rejected))
		go u.reply(a, http.StatusServiceUnavailable, u.loadReport())
		return
	}
	u.jobs[a.job] = a
	u.run.recorder.record(u.arrivalEvent(a, history.Arrived))
	if collapsed {
		u.run.recorder.record(u.processEvent(history.Collapsed))
	}
	u.wakeAdvanceLoop()
}

// awaitEnd waits for the next request on the connection of an attempt. It returns false if the connection has ended. An
// attempt that is still in progress then is cancelled and recorded as abandoned.
func (u *upstream) awaitEnd(reader *bufio.Reader, a *upstreamAttempt) bool {
	_, err := reader.Peek(1)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.jobs[a.job] == a {
		delete(u.jobs, a.job)
		if u.server != nil {
			u.advance()
			u.server.Cancel(a.job)
		}
		u.run.recorder.record(a.event(u, history.Abandoned))
	}
	return err == nil
}

// reply writes the reply to an attempt. If the balancer has closed the connection, awaitEnd records that.
func (u *upstream) reply(a *upstreamAttempt, status int, loadReport string) {
	rejected := status == http.StatusServiceUnavailable
	body := fmt.Appendf(nil, "%016x %d %d\n", a.id, u.index, a.serial)
	var message bytes.Buffer
	fmt.Fprintf(&message, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if rejected {
		message.WriteString("X-Not-Run: 1\r\n")
	}
	if loadReport != "" {
		fmt.Fprintf(&message, "X-Load: %s\r\n", loadReport)
	}
	fmt.Fprintf(&message, "Content-Length: %d\r\n\r\n%s", len(body), body)
	if !rejected { // a rejection has an event of its own
		event := a.event(u, history.Replied)
		event.Status = int16(status)
		u.run.recorder.record(event)
	}
	a.conn.SetReadDeadline(time.Now().Add(u.run.scenario.Balancer.KeepAlive.D()))
	_, _ = a.conn.Write(message.Bytes()) // if it fails, the reader of the connection fails too
}
