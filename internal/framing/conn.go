package framing

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"sprucehill/internal/socket"
)

// Conn is a client connection whose requests are checked for framing errors: a head in doubt is not passed on
// completely, its reader gets an error instead. It also knows what net/http does not report: when each request came, and
// whether a request has begun on a connection that net/http takes for idle.
//
// One goroutine reads it at a time, and only that one calls HeadAt; all other methods may be called from any goroutine.
type Conn struct {
	net.Conn
	now         func() time.Duration // the caller's clock
	headTimeout time.Duration        // see NewConn
	// headAt is when the first byte of the present request came, or the connection where it is the first request. It
	// belongs to the reader.
	headAt time.Duration

	mu       sync.Mutex // guards the fields below
	scan     requestScanner
	headBy   time.Time // when the head of the present request has to have come, unless it is the first
	err      error     // the framing error that the reader has come to
	shut     bool      // what is read from now on goes no further: it comes behind the last response
	closed   bool      // closed between two requests, by CloseIfIdle
	answered int       // requests that have been answered
	// arrivals are when the last byte came of each complete request that is not answered, the present one first.
	arrivals []time.Duration
	readAhead
}

// NewConn returns a connection that checks what comes on c. Its first request counts as begun now, a time on the clock that
// now reads. headTimeout bounds how long the head of a request may take, from its first byte, on a connection that has served
// one before; the caller bounds that of the first one.
func NewConn(c net.Conn, now func() time.Duration, headTimeout time.Duration) *Conn {
	return &Conn{Conn: c, now: now, headTimeout: headTimeout, headAt: now()}
}

// HeadAt returns when the first byte of the present request came, or the connection where it is the first request, on the
// clock of NewConn. It belongs to the reader's goroutine.
func (c *Conn) HeadAt() time.Duration { return c.headAt }

// OnAnswered notes that the present request is answered.
func (c *Conn) OnAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered++
	c.closeUnnoticed = false
	if len(c.arrivals) > 0 {
		c.arrivals = c.arrivals[1:]
	}
}

// AnsweredCount returns how many requests have been answered on the connection.
func (c *Conn) AnsweredCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered
}

// ArrivedAt returns when the last byte of the present request came, on the clock of NewConn, or now if it has not come. A
// request that was sent behind another may have come long before its turn.
func (c *Conn) ArrivedAt() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.arrivals) > 0 {
		return c.arrivals[0]
	}
	return c.now()
}

// IsIdle reports whether the connection is between two requests: no byte has been read of one that is not answered.
func (c *Conn) IsIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isIdleLocked()
}

func (c *Conn) isIdleLocked() bool {
	return c.scan.atRequestStart() && c.scan.requestCount == c.answered
}

// CloseIfIdle closes the connection if it is between two requests, and reports whether this call has closed it. Its client
// then sends again any request that crosses the close, so that request must not be forwarded as well: bytes that have been
// taken from the network but not been scanned when the connection is closed are given to nobody.
func (c *Conn) CloseIfIdle() bool {
	c.mu.Lock()
	closes := !c.closed && c.isIdleLocked()
	c.closed = c.closed || closes
	c.shut = c.shut || closes
	c.mu.Unlock()
	if closes {
		c.Close()
	}
	return closes
}

// IsShut reports whether nothing that comes from now on is read.
func (c *Conn) IsShut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shut
}

// IsClosed reports whether CloseIfIdle has closed the connection.
func (c *Conn) IsClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// EndAfterResponse makes the present response the connection's last, where its head has been written without saying so. It has
// to be called before the response's last byte is written: a client sends its next request behind that. Nothing that comes
// behind the present request is read from then on, so that the client sends such a request again elsewhere. It does nothing
// where a part of the next request has been read already: that request is answered.
func (c *Conn) EndAfterResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	nothingBehind := c.scan.atRequestStart() && c.scan.requestCount == c.answered+1
	c.shut = c.shut || nothingBehind
}

// HasFramingError reports whether reading has ended for a framing error, and not because the client disconnected.
func (c *Conn) HasFramingError() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err != nil
}

// Read passes on what the client sends, up to the byte before one that shows a framing error.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if err := c.err; err != nil {
		c.mu.Unlock()
		return 0, err
	}
	// With the present request complete, net/http only reads to notice a disconnect.
	requestComplete := c.scan.requestCount > c.answered
	n, found, err := c.take(p)
	readAt := c.bufferedAt
	c.mu.Unlock()
	if !found {
		n, err = c.Conn.Read(p)
		readAt = c.now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shut {
		return 0, net.ErrClosed
	}
	if requestComplete && n > 0 {
		c.closeUnnoticed = true
	}
	if c.closeUnnoticed {
		c.startReadAhead()
	}
	good, framingErr := c.scanRead(p[:n], readAt)
	if framingErr == nil {
		return n, err
	}
	c.err = framingErr
	if good > 0 {
		return good, nil
	}
	return 0, framingErr
}

// scanRead scans what was read at a time on the caller's clock, and returns how much of it comes before a framing error. The
// caller has the lock.
func (c *Conn) scanRead(p []byte, readAt time.Duration) (good int, framingErr error) {
	atStart := c.scan.atRequestStart()
	complete := c.scan.requestCount
	if len(p) > 0 && atStart && c.scan.headCount > 0 {
		c.headAt = c.now()
	}
	good, framingErr = c.scan.feed(p)
	for range c.scan.requestCount - complete {
		c.arrivals = append(c.arrivals, readAt)
	}
	nextBegan := !c.scan.atRequestStart() && (atStart || c.scan.requestCount > complete)
	if nextBegan {
		c.headBy = time.Now().Add(c.headTimeout)
		if c.inLaterHead() {
			c.Conn.SetReadDeadline(c.headBy)
		}
	}
	return good, framingErr
}

// SetReadDeadline sets until when a read may wait. net/http lets the first bytes of a later request wait for its fourth
// byte for as long as a connection may be idle; here its head is due as soon as its first byte has come.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inLaterHead() && (t.IsZero() || t.After(c.headBy)) {
		t = c.headBy
	}
	return c.Conn.SetReadDeadline(t)
}

// inLaterHead reports whether a part of a head other than the first has come, and no request waits for its response. The
// caller has the lock.
func (c *Conn) inLaterHead() bool {
	complete := c.scan.requestCount
	return complete > 0 && complete == c.answered && complete == c.scan.headCount && !c.scan.atRequestStart()
}

// ClosedByClient reports, without waiting, whether the client has closed or reset the connection behind what has been read
// of it. net/http notices that only with its next read, beside the request's way to an upstream.
func (c *Conn) ClosedByClient() bool {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	state, err := socket.Peek(inner)
	if errors.Is(err, socket.ErrPeekFailed) {
		return false // the next read will show it
	}
	return err != nil || state == socket.Closed
}

// halfCloser is a connection whose sending side can be closed alone.
type halfCloser interface{ CloseWrite() error }

// CloseWrite lets net/http close a connection without taking the last response away from a client that is still sending.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(halfCloser); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}
