package framing

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"sprucehill/internal/socket"
)

// Conn is a client connection whose requests are checked for framing errors: reading fails before the last byte of an
// ambiguous head. It also tracks what net/http does not report: when each request arrived, and whether a request has begun
// on a connection that net/http considers idle.
//
// Read and HeadStartedAt must be called from one goroutine at a time; all other methods are safe for concurrent use.
type Conn struct {
	net.Conn
	now         func() time.Duration // the caller's clock
	headTimeout time.Duration        // see NewConn
	writeStall  time.Duration        // see Listener.LimitWrites
	// headStartedAt is the result of HeadStartedAt. Only the reader's goroutine uses it.
	headStartedAt time.Duration

	mu            sync.Mutex // guards the fields below
	scanner       requestScanner
	headDeadline  time.Time // by when the head of the current request is due, unless it is the first
	framingErr    error     // the framing error that has ended reading
	readingEnded  bool      // bytes from now on are dropped: they follow the last request that is served
	closedIdle    bool      // closed by CloseIfIdle, between two requests
	answeredCount int       // requests that have been answered
	bytesRead     int64     // bytes that have been read from the network and passed to the scanner
	// arrivals holds, for each complete request that is not answered, when its last byte arrived, the current request first.
	arrivals  []time.Duration
	unreadEnd unreadEnd
	head      headGuard
	trailer   trailerFilter
	readAhead
}

// NewConn returns a Conn that checks the requests on c. now reads the caller's monotonic clock; the first request counts as
// begun at the time of the call. headTimeout bounds the time from the first to the last byte of a request's head, except
// for the first request of the connection, whose head the caller has to bound.
func NewConn(c net.Conn, now func() time.Duration, headTimeout time.Duration) *Conn {
	return &Conn{Conn: c, now: now, headTimeout: headTimeout, headStartedAt: now()}
}

// HeadStartedAt returns when the first byte of the current request arrived, on the clock of NewConn. For the first request it is
// when the connection was accepted. Only the reader's goroutine may call it.
func (c *Conn) HeadStartedAt() time.Duration { return c.headStartedAt }

// MarkAnswered records that the current request has been answered.
func (c *Conn) MarkAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answeredCount++
	c.disconnectMasked = false
	c.excess = 0
	c.head.releaseAnswered()
	if len(c.arrivals) > 0 {
		c.arrivals = c.arrivals[1:]
	}
}

// AnsweredCount returns how many requests have been answered on the connection.
func (c *Conn) AnsweredCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answeredCount
}

// ArrivedAt returns when the last byte of the current request arrived, on the clock of NewConn, or the present time if it
// has not been read. A pipelined request may have arrived long before the previous one was answered.
func (c *Conn) ArrivedAt() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.arrivals) > 0 {
		return c.arrivals[0]
	}
	return c.now()
}

// HasFramingError reports whether reading has ended because of a framing error, not because the client disconnected.
func (c *Conn) HasFramingError() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.framingErr != nil
}

// Read reads what the client sends, up to the byte before one that reveals a framing error. Of a head that is refused, it returns
// the beginning and the end: see HeadRefusal.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		n, err := c.readOnce(p)
		if err != nil {
			c.delayError(err)
		}
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
	}
}

// readOnce is like Read, but returns 0 and no error if all bytes that it has read are dropped.
func (c *Conn) readOnce(p []byte) (int, error) {
	c.mu.Lock()
	if err := c.framingErr; err != nil {
		c.mu.Unlock()
		return 0, err
	}
	// Once the current request is complete, net/http reads only to detect a disconnect.
	requestComplete := c.scanner.requestCount > c.answeredCount
	inBody := c.scanner.state != scanHead
	n, found, err := c.readBuffered(p)
	readAt := c.bufferedAt
	c.unreadEnd.reading = !found
	c.mu.Unlock()
	if !found {
		n, err = c.Conn.Read(p)
		if inBody && errors.Is(err, os.ErrDeadlineExceeded) {
			n, err = socket.ReadLate(c.Conn, p)
		}
		readAt = c.now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreadEnd.reading = false
	if c.readingEnded {
		return 0, net.ErrClosed
	}
	if requestComplete && n > 0 {
		c.disconnectMasked = true
	}
	if c.disconnectMasked {
		c.startReadAhead()
	}
	passed, framingErr := c.scanRead(p[:n], readAt)
	if framingErr == nil {
		return passed, err
	}
	c.framingErr = framingErr
	if passed > 0 {
		return passed, nil
	}
	return 0, framingErr
}

// errorDelay is the time between the byte that reveals a framing error and the end of reading, on a connection that waits for a
// request: opening another one costs this process more than it costs the client.
const errorDelay = 50 * time.Millisecond

// delayError waits if reading is about to end with err, a framing error, while no request waits for its response.
func (c *Conn) delayError(err error) {
	c.mu.Lock()
	delays := errors.Is(err, c.framingErr) && c.scanner.requestCount == c.answeredCount
	c.mu.Unlock()
	if delays {
		time.Sleep(errorDelay)
	}
}

// scanRead scans the bytes that were read at readAt, and moves those that are passed on to the beginning of p. It returns how many
// precede a framing error. The caller holds the lock.
func (c *Conn) scanRead(p []byte, readAt time.Duration) (passed int, framingErr error) {
	atStart := c.scanner.atRequestStart()
	complete := c.scanner.requestCount
	if len(p) > 0 && atStart && c.scanner.headCount > 0 {
		c.headStartedAt = c.now()
	}
	passed, framingErr = c.scanAndFilter(p)
	c.unreadEnd.consume(len(p), readAt)
	c.bytesRead += int64(len(p))
	for range c.scanner.requestCount - complete {
		c.arrivals = append(c.arrivals, c.endRequest(readAt))
	}
	nextBegan := !c.scanner.atRequestStart() && (atStart || c.scanner.requestCount > complete)
	if nextBegan {
		c.headDeadline = time.Now().Add(c.headTimeout)
		if c.inLaterHead() {
			c.Conn.SetReadDeadline(c.headDeadline)
		}
	}
	return passed, framingErr
}

// scanAndFilter scans bytes, and drops those of a head that is refused and of many fields behind a body. It moves the rest to the beginning
// of p, and returns how many precede a framing error. The caller holds the lock.
func (c *Conn) scanAndFilter(p []byte) (passed int, err error) {
	for scanned := 0; scanned < len(p); {
		state := c.scanner.state
		headCount := c.scanner.headCount
		n, err := c.scanner.scanNext(p[scanned:])
		part := p[scanned : scanned+n]
		scanned += n
		switch {
		case n == 0 || err != nil:
		case state == scanHead:
			n, err = c.admitHeadPart(headPart{bytes: part, index: headCount, last: c.scanner.headCount > headCount})
		case state == scanTrailer:
			n = c.trailer.admit(part)
		}
		if passed+len(part) == scanned {
			passed += n // nothing has been dropped before
		} else {
			passed += copy(p[passed:], part[:n])
		}
		if err != nil {
			return passed, err
		}
	}
	return passed, nil
}

// SetReadDeadline sets the deadline of reads. For requests after the first, net/http applies its idle timeout up to the
// fourth byte of the head. Here the deadline of the head applies from its first byte.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inLaterHead() && (t.IsZero() || t.After(c.headDeadline)) {
		t = c.headDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// inLaterHead reports whether a part of a head other than the first has arrived while no request waits for its response.
// The caller holds the lock.
func (c *Conn) inLaterHead() bool {
	complete := c.scanner.requestCount
	return complete > 0 && complete == c.answeredCount && complete == c.scanner.headCount && !c.scanner.atRequestStart()
}

// ClosedByClient reports, without blocking, whether the client has closed or reset the connection, also if bytes that it
// sent before have not been read. net/http detects that only with the read after the last byte of a request: concurrently
// with forwarding the request or, while the request's body is unread, not at all.
func (c *Conn) ClosedByClient() bool {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	closed, err := socket.PeerClosed(inner)
	if errors.Is(err, socket.ErrPeekFailed) {
		return false // the next read reports a disconnect, if there is one
	}
	return closed || err != nil
}

// halfCloser is a connection whose write side can be closed on its own.
type halfCloser interface{ CloseWrite() error }

// CloseWrite closes the write side. With it net/http can close a connection on which the client is still sending without a
// reset, which could make the client lose the last response.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(halfCloser); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}
