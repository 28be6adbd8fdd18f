package proxy

import (
	"net"
	"time"

	"sprucehill/internal/upstream"
)

// upstreamConn is a connection to an upstream. It is owned by one attempt or health check or, while idle, by the loop.
type upstreamConn struct {
	*upstream.Conn
	idleSince time.Duration // when it became idle, on the loop's clock
	abandoned bool          // used by the loop only: the connection's attempt has been abandoned
}

func newUpstreamConn(c net.Conn) *upstreamConn { return &upstreamConn{Conn: upstream.NewConn(c)} }

// abandon ends the attempt on the connection; the loop calls it while the attempt's goroutine is using the connection. When
// it returns, the write side has been closed, so that the attempt has ended for the upstream before a retry is sent: the
// settings may forbid two attempts in flight at once. The attempt's reader then closes the connection.
func (c *upstreamConn) abandon() {
	c.abandoned = true
	c.Abandon()
}

// responseStream is the rest of a response. The goroutine that forwards it to the client owns it and its connection.
type responseStream struct {
	*upstream.Stream
	conn     *upstreamConn
	endpoint *endpoint
}

// release returns the connection if it can be reused; otherwise it closes the connection and returns nil. The body must
// have been read to its end.
func (s *responseStream) release() *upstreamConn {
	if !s.Finish() {
		s.conn.Close()
		return nil
	}
	return s.conn
}
