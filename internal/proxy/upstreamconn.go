package proxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"sprucehill/internal/socket"
)

const (
	// maxResponseRead is how many bytes are read at most of one response's head, framing and buffered body, and of what
	// comes before it: an upstream that sends without an end must not fill the memory.
	maxResponseRead = 8 * maxBody
	// responseReaderSize is the size of the read buffer of a connection.
	responseReaderSize = 2 << 10
)

// expiredDeadline is a deadline that ends whatever waits.
var expiredDeadline = time.Unix(0, 1)

// halfCloser is a connection whose sending side can be closed alone.
type halfCloser interface{ CloseWrite() error }

// upstreamConn is a connection to an upstream. It belongs to one attempt or, while idle, to the loop; nobody else uses it.
type upstreamConn struct {
	net.Conn
	readLimit *io.LimitedReader // how much more may be read of the present response
	reader    *bufio.Reader     // reads from readLimit
	idleSince time.Duration     // when it became idle, on the loop's clock
	abandoned bool              // belongs to the loop: its attempt has been abandoned
}

func newUpstreamConn(c net.Conn) *upstreamConn {
	limit := &io.LimitedReader{R: c, N: maxResponseRead}
	return &upstreamConn{Conn: c, readLimit: limit, reader: bufio.NewReaderSize(limit, responseReaderSize)}
}

// errStale says that an idle connection can't be used any more: the upstream has closed it, or has sent bytes that belong
// to no request.
var errStale = errors.New("closed while idle")

// checkIdle looks, without waiting, whether an idle connection can still be used.
func (c *upstreamConn) checkIdle() error {
	state, err := socket.Peek(c.Conn.(syscall.Conn))
	if err != nil {
		return err
	}
	if state != socket.Quiet || c.reader.Buffered() > 0 {
		return errStale
	}
	return nil
}

// abandon ends the attempt on the connection, from outside. When it returns, the sending side has been closed, which is
// what abandons the attempt: a retry must not be in flight beside it where the settings forbid that. The attempt's reader
// then closes the connection.
func (c *upstreamConn) abandon() {
	c.abandoned = true
	if half, ok := c.Conn.(halfCloser); ok {
		_ = half.CloseWrite() // fails only where the upstream has closed the connection already
	}
	c.SetDeadline(expiredDeadline)
}
