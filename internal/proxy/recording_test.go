package proxy

import (
	"bytes"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"sprucehill/internal/upstream"
)

// recordingDial wraps open so that upstream connections record in clientDeadlines when each attempt is written.
func recordingDial(open dialFunc) dialFunc {
	if open == nil {
		open = net.DialTimeout
	}
	return func(network, address string, timeout time.Duration) (net.Conn, error) {
		c, err := open(network, address, timeout)
		if err != nil {
			return nil, err
		}
		return recordingUpstreamConn{c}, nil
	}
}

// recordingUpstreamConn is an upstream connection that records when each attempt is written.
type recordingUpstreamConn struct{ net.Conn }

func (c recordingUpstreamConn) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte("\r\nX-Deadline-Ms: ")) {
		clientDeadlines.attemptWritten(string(p))
	}
	return c.Conn.Write(p)
}

func (c recordingUpstreamConn) CloseWrite() error { return c.Conn.(upstream.HalfCloser).CloseWrite() }

func (c recordingUpstreamConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// fieldOf returns the value of a header field of a head, or an empty string if the head doesn't have the field.
func fieldOf(head, name string) string {
	for line := range strings.SplitSeq(head, "\r\n") {
		if key, value, _ := strings.Cut(line, ":"); strings.EqualFold(key, name) {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// recordingListener accepts client connections that record their requests in clientDeadlines.
type recordingListener struct{ *net.TCPListener }

func (l recordingListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &recordingConn{TCPConn: c}, nil
}

// recordingConn is a client connection whose requests are recorded.
type recordingConn struct {
	*net.TCPConn
	mu            sync.Mutex     // guards the fields below
	head          []byte         // what has been read of the current head
	request       *clientRequest // the request whose body is being read; nil while a head is read
	bodyRemaining int            // bytes of the current body that are still to be read; negative if the body is chunked
	tail          string         // the last bytes read of a chunked body
}

func (c *recordingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record(p[:n], time.Now())
	return n, err
}

// record parses the bytes p, read at the time now, and records the requests in them.
func (c *recordingConn) record(p []byte, now time.Time) {
	for len(p) > 0 {
		if c.request != nil {
			p = p[c.recordBody(p, now):]
			continue
		}
		c.head = append(c.head, p...)
		end := bytes.Index(c.head, []byte("\r\n\r\n"))
		if end < 0 {
			return
		}
		p = c.head[end+4:]
		c.begin(string(c.head[:end+4]), now)
		c.head = nil
	}
}

// begin records a request whose head has been read completely.
func (c *recordingConn) begin(head string, now time.Time) {
	r := &clientRequest{budget: classDeadline, lastByte: now}
	if ms, err := strconv.ParseInt(fieldOf(head, "X-Deadline-Ms"), 10, 32); err == nil && ms >= 0 {
		r.budget = min(r.budget, time.Duration(ms)*time.Millisecond)
	}
	c.bodyRemaining, _ = strconv.Atoi(fieldOf(head, "Content-Length"))
	if fieldOf(head, "Transfer-Encoding") != "" {
		c.bodyRemaining = -1
	}
	if r.complete = c.bodyRemaining == 0; !r.complete {
		c.request, c.tail = r, ""
	}
	clientDeadlines.put(fieldOf(head, "X-Request-Id"), r)
}

// recordBody records the bytes at the beginning of p that belong to the current body, and returns their number.
func (c *recordingConn) recordBody(p []byte, now time.Time) int {
	n := len(p)
	var complete bool
	if c.bodyRemaining >= 0 {
		n = min(n, c.bodyRemaining)
		c.bodyRemaining -= n
		complete = c.bodyRemaining == 0
	} else {
		c.tail += string(p)
		complete = strings.HasPrefix(c.tail, "0\r\n\r\n") || strings.Contains(c.tail, "\r\n0\r\n") && strings.HasSuffix(c.tail, "\r\n\r\n")
		c.tail = c.tail[max(0, len(c.tail)-64):]
	}
	clientDeadlines.mu.Lock()
	defer clientDeadlines.mu.Unlock()
	c.request.lastByte, c.request.complete = now, complete
	if complete {
		c.request = nil
	}
	return n
}
