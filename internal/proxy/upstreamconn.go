package proxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

const (
	// maxAnswer is how many bytes are read at most of one answer's head, framing and buffered body, and of what comes before
	// it: an upstream that sends without an end must not fill the memory.
	maxAnswer = 8 * maxBody
	// answerReaderSize is the size of the read buffer of a connection.
	answerReaderSize = 2 << 10
)

// conn is a connection to an upstream. It belongs to one attempt or, while idle, to the loop; nobody else uses it.
type conn struct {
	net.Conn
	limit  *io.LimitedReader // how much more may be read of the present answer
	reader *bufio.Reader     // reads from limit
	idleAt time.Duration     // when it became idle, on the loop's clock
	ended  bool              // belongs to the loop: its attempt has been given up
}

func newUpstreamConn(c net.Conn) *conn {
	limit := &io.LimitedReader{R: c, N: maxAnswer}
	return &conn{Conn: c, limit: limit, reader: bufio.NewReaderSize(limit, answerReaderSize)}
}

// errStale says that an idle connection can't be used any more: the upstream has closed it, or has sent bytes that belong to
// no request.
var errStale = errors.New("closed while idle")

// checkIdle looks, without waiting, whether an idle connection can still be used.
func (c *conn) checkIdle() error {
	state, err := peekSocket(c.Conn.(syscall.Conn))
	if err != nil {
		return err
	}
	if state != socketQuiet || c.reader.Buffered() > 0 {
		return errStale
	}
	return nil
}

// giveUp ends the attempt on the connection, from outside. When it returns, the sending side has been closed, which is what
// gives the attempt up: a retry must not be in flight beside it where the settings forbid that. The attempt's reader then
// closes the connection.
func (c *conn) giveUp() {
	c.ended = true
	if half, ok := c.Conn.(halfCloser); ok {
		_ = half.CloseWrite() // fails only where the upstream has closed the connection already
	}
	c.SetDeadline(expiredDeadline)
}
