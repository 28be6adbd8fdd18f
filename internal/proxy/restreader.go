package proxy

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"sprucehill/internal/socket"
)

// restReader reads from a connection whose peer may rest, with a limit on the time between two reads that return something. Bytes of the
// framing count: what is made of the bytes does not matter.
type restReader struct {
	conn      net.Conn
	limit     time.Duration // of a rest; 0: none. Used by the connection's owner only
	cancelled atomic.Bool   // reading fails from now on, where there is a limit
}

// cancel makes reading fail from now on. It may be called from any goroutine.
func (r *restReader) cancel() {
	r.cancelled.Store(true)
	r.conn.SetReadDeadline(expiredDeadline)
}

// Read reads what has arrived. It returns os.ErrDeadlineExceeded if the peer has rested for too long, or if reading has been cancelled.
func (r *restReader) Read(p []byte) (int, error) {
	if r.limit == 0 {
		return r.conn.Read(p)
	}
	if err := r.conn.SetReadDeadline(time.Now().Add(r.limit)); err != nil {
		return 0, err
	}
	if r.cancelled.Load() { // checked after SetReadDeadline, which may have replaced the expired deadline set by cancel
		return 0, os.ErrDeadlineExceeded
	}
	n, err := r.conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && !r.cancelled.Load() {
		return socket.ReadLate(r.conn, p)
	}
	return n, err
}
