// Package upstream reads the responses of upstreams from their connections. It decides how much of a response is buffered, and for
// how long, before the rest is left to be streamed. What a response means, and what follows from it, is decided by its caller.
package upstream

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"

	"sprucehill/internal/framing"
	"sprucehill/internal/socket"
)

// readerSize is the size, in bytes, of the read buffer of a connection.
const readerSize = 2 << 10

// expiredDeadline is a deadline in the past. Setting it makes pending reads and writes fail immediately.
var expiredDeadline = time.Unix(0, 1)

// HalfCloser is a connection whose write side can be closed separately.
type HalfCloser interface{ CloseWrite() error }

// Conn is a connection to an upstream. One goroutine at a time may read responses from it.
type Conn struct {
	net.Conn
	rest   *restReader    // reads from Conn
	limit  *responseLimit // reads from rest
	reader *bufio.Reader  // reads from limit
	chunks framing.ChunkedReader
	read   bodyRead // the body that is being read; used by the goroutine that reads it
}

// NewConn returns a connection to an upstream.
func NewConn(c net.Conn) *Conn {
	rest := &restReader{conn: c}
	limit := &responseLimit{reader: rest}
	conn := &Conn{Conn: c, rest: rest, limit: limit, reader: bufio.NewReaderSize(limit, readerSize)}
	rest.onBufferEnd = conn.handOver
	return conn
}

// ErrStale means that an idle connection can no longer be used: the upstream has closed it, or has sent bytes without a
// request.
var ErrStale = errors.New("idle connection closed by upstream or has unsolicited data")

// CheckIdle returns nil if an idle connection can still be used. It does not block. It returns ErrStale, or the error of the system
// call, otherwise.
func (c *Conn) CheckIdle() error {
	state, err := socket.Peek(c.Conn.(syscall.Conn))
	if err != nil {
		return err
	}
	if state != socket.Idle || c.reader.Buffered() > 0 {
		return ErrStale
	}
	return nil
}

// Abandon makes all reads and writes fail from now on. It may be called from any goroutine. When it returns, the write side has been
// closed, so that the request has ended for the upstream. The goroutine that uses the connection has to close it.
func (c *Conn) Abandon() {
	if half, ok := c.Conn.(HalfCloser); ok {
		_ = half.CloseWrite() // fails only if the upstream has already closed the connection
	}
	c.rest.cancelled.Store(true)
	c.SetDeadline(expiredDeadline)
}
