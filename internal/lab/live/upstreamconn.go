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

// readTimeout is how long a request may take from its first byte to its last.
const readTimeout = time.Minute

// notFound answers what no client sent.
const notFound = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"

// upstreamAttempt is one attempt of a request, as its upstream sees it.
type upstreamAttempt struct {
	id          uint64
	request     *clientRequest
	balancer    int
	serial      int32
	firstByteAt time.Duration
	conn        *link.Conn
	job         server.JobID // 0: it was never in work
}

// event is an event of this attempt.
func (a *upstreamAttempt) event(u *upstream, kind history.Kind) history.Event {
	return history.Event{
		Kind:      kind,
		RequestID: a.id,
		Arrival:   int32(a.request.arrival),
		Retry:     int8(a.request.number),
		Class:     int16(a.request.class),
		Balancer:  int32(a.balancer),
		Upstream:  int32(u.index),
		Serial:    a.serial,
	}
}

// arrivalEvent is the event of an attempt that has arrived. kind says whether it was accepted.
func (u *upstream) arrivalEvent(a *upstreamAttempt, kind history.Kind) history.Event {
	event := a.event(u, kind)
	event.FirstByteAt = a.firstByteAt
	event.Work = float32(u.run.arrivals[a.request.arrival].Work.Seconds())
	return event
}

// accept takes connections of balancer b until the listener is closed.
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
		u.done.Go(func() { u.serveConn(c, b) })
	}
}

// addConn counts a new connection. false: no process runs.
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

// limitConns stops taking connections at the model's limit, and takes them again below it. u.mu is held.
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

// serveConn reads the requests of one connection.
func (u *upstream) serveConn(c *link.Conn, b int) {
	defer u.removeConn(c)
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		c.SetReadDeadline(time.Now().Add(u.run.day.Balancer.KeepAlive.D()))
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
			_, _ = io.WriteString(c, notFound) // if it fails the next read fails too
			continue
		}
		a := &upstreamAttempt{id: q.id, request: q, balancer: b, serial: u.run.recorder.nextSerial(), firstByteAt: firstByteAt, conn: c}
		u.receive(a)
		if !u.awaitEnd(reader, a) {
			return
		}
	}
}

// identify is the client's request that a balancer has forwarded. It is nil if no client sent it in this form, which is
// recorded.
func (u *upstream) identify(request *http.Request, body []byte, b int) *clientRequest {
	stray := func(format string, args ...any) *clientRequest {
		text := fmt.Sprintf("%s %s ", request.Method, request.RequestURI) + fmt.Sprintf(format, args...)
		u.run.recorder.record(history.Event{Kind: history.Stray, Arrival: history.None, Balancer: int32(b), Upstream: int32(u.index), Text: text})
		return nil
	}
	header := request.Header.Get("X-Request-Id")
	id, err := strconv.ParseUint(header, 16, 64)
	if err != nil {
		return stray("with X-Request-Id %q", header)
	}
	q := u.run.recorder.requestByID(id)
	if q == nil {
		return stray("with the id %016x", id)
	}
	same := request.Method == q.method && request.RequestURI == q.path && bytes.Equal(body, q.body) &&
		request.Header.Get("Idempotency-Key") == q.key
	if !same {
		return stray("with the id %016x is not what its client sent", id)
	}
	q.seenUpstream.Store(true)
	return q
}

// receive gives an attempt to the server.
func (u *upstream) receive(a *upstreamAttempt) {
	arrival := u.run.arrivals[a.request.arrival]
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.server == nil { // it has died meanwhile
		u.run.recorder.record(u.arrivalEvent(a, history.Arrived))
		u.run.recorder.record(a.event(u, history.Abandoned))
		a.conn.Reset()
		return
	}
	u.advance()
	u.lastJob++
	a.job = u.lastJob
	taken, toppled := u.server.Arrive(a.job, arrival.Work, arrival.Wait)
	if !taken {
		u.run.recorder.record(u.arrivalEvent(a, history.Rejected))
		go u.reply(a, http.StatusServiceUnavailable, u.loadReport())
		return
	}
	u.jobs[a.job] = a
	u.run.recorder.record(u.arrivalEvent(a, history.Arrived))
	if toppled {
		u.run.recorder.record(u.processEvent(history.Collapsed))
	}
	u.wakeLoop()
}

// awaitEnd waits, on the connection of an attempt, for the next request behind its reply. false: the connection has
// ended, and with it the attempt if it is still in work.
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

// reply writes a reply. A balancer that gave up gets none, which is recorded where its connection ends.
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
	a.conn.SetReadDeadline(time.Now().Add(u.run.day.Balancer.KeepAlive.D()))
	_, _ = a.conn.Write(message.Bytes()) // if it fails the reader of the connection sees its end
}
