package proxy

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"time"

	"sprucehill/internal/socket"
)

const (
	// maxResponseRead is the maximum number of bytes read for the framing and the buffered body of a response. It bounds the memory that an upstream can use by sending endlessly.
	maxResponseRead = 8 * maxBufferedBody
	// responseReaderSize is the size, in bytes, of the read buffer of a connection.
	responseReaderSize = 2 << 10
)

// expiredDeadline is a deadline in the past. Setting it makes pending reads and writes fail immediately.
var expiredDeadline = time.Unix(0, 1)

// halfCloser is a connection whose write side can be closed separately.
type halfCloser interface{ CloseWrite() error }

// upstreamConn is a connection to an upstream. It is owned by one attempt or health check or, while idle, by the loop.
type upstreamConn struct {
	net.Conn
	rest      *restReader    // reads from Conn
	limit     *responseLimit // reads from rest
	reader    *bufio.Reader  // reads from limit
	idleSince time.Duration  // when it became idle, on the loop's clock
	abandoned bool           // used by the loop only: the connection's attempt has been abandoned
}

func newUpstreamConn(c net.Conn) *upstreamConn {
	rest := &restReader{conn: c}
	limit := &responseLimit{reader: rest}
	return &upstreamConn{Conn: c, rest: rest, limit: limit, reader: bufio.NewReaderSize(limit, responseReaderSize)}
}

// errStale means that an idle connection can no longer be used: the upstream has closed it, or has sent bytes without a
// request.
var errStale = errors.New("idle connection closed by upstream or has unsolicited data")

// checkIdle returns nil if an idle connection can still be used. It does not block.
func (c *upstreamConn) checkIdle() error {
	state, err := socket.Peek(c.Conn.(syscall.Conn))
	if err != nil {
		return err
	}
	if state != socket.Idle || c.reader.Buffered() > 0 {
		return errStale
	}
	return nil
}

// abandon ends the attempt on the connection; the loop calls it while the attempt's goroutine is using the connection. When
// it returns, the write side has been closed, so that the attempt has ended for the upstream before a retry is sent: the
// settings may forbid two attempts in flight at once. The attempt's reader then closes the connection.
func (c *upstreamConn) abandon() {
	c.abandoned = true
	if half, ok := c.Conn.(halfCloser); ok {
		_ = half.CloseWrite() // fails only if the upstream has already closed the connection
	}
	c.SetDeadline(expiredDeadline)
}
