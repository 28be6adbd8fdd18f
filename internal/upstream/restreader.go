package upstream

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"sprucehill/internal/socket"
)

// restReader reads from a connection whose peer may rest. It has two limits of time. The first one, for buffering, ends only once, also
// while a read is in progress; that read goes on. The second one bounds the time between two reads that return something. Bytes of the
// framing count: what is made of the bytes does not matter.
//
// One goroutine at a time may use it; cancel and cancelled may be used from any goroutine.
type restReader struct {
	conn        net.Conn
	bufferUntil time.Time     // when buffering ends; zero: it does not end, or has ended
	onBufferEnd func() bool   // called then; the read fails if it returns false
	limit       time.Duration // of a rest; 0: none
	end         time.Time     // reading fails from then on; zero: never. Used where limit is
	cancelled   atomic.Bool   // reading fails from now on, where there is a limit of time
}

// cancel makes reading fail from now on. It may be called from any goroutine.
func (r *restReader) cancel() {
	r.cancelled.Store(true)
	r.conn.SetReadDeadline(expiredDeadline)
}

// Read reads what has arrived. It returns os.ErrDeadlineExceeded if the peer has rested for too long, or if reading has been cancelled.
func (r *restReader) Read(p []byte) (int, error) {
	if !r.bufferUntil.IsZero() {
		n, err := r.readUntil(p, r.bufferUntil)
		if !errors.Is(err, os.ErrDeadlineExceeded) || r.cancelled.Load() || !r.onBufferEnd() {
			return n, err
		}
		r.bufferUntil = time.Time{}
	}
	if r.limit == 0 {
		return r.conn.Read(p)
	}
	restEnd := time.Now().Add(r.limit)
	if !r.end.IsZero() && r.end.Before(restEnd) {
		restEnd = r.end
	}
	return r.readUntil(p, restEnd)
}

// readUntil reads what has arrived, or arrives until the given time.
func (r *restReader) readUntil(p []byte, until time.Time) (int, error) {
	if err := r.conn.SetReadDeadline(until); err != nil {
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
