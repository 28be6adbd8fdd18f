package socket

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	// stallCheckInterval is the interval at which a blocked write is tried again and the peer's progress is looked at. Both can succeed
	// long before the system reports the socket as writable, which on Linux it does once a third of its buffer is free.
	stallCheckInterval = 500 * time.Millisecond
	// checksPerStall is how often a blocked write is tried within its limit at least.
	checksPerStall = 4
)

// StallWriter writes to a connection whose peer may read slowly. A write fails only once the peer has taken nothing for the time
// Stall, not because it takes long. It is safe for concurrent use if Conn is.
type StallWriter struct {
	Conn net.Conn
	// Stall is how long the peer may take nothing. It is longer for a peer whose system has taken much, and may report only long after
	// that how much of it has been read: by the time that a part of its buffer takes at 64 kB a second, 33 s at most.
	Stall time.Duration
	// IsAbandoned reports that nothing more must be written; nil: that never happens. It is asked before each part of a write.
	IsAbandoned func() bool
}

// Write writes p. It returns an error that wraps os.ErrDeadlineExceeded if the peer has stalled or the write has been abandoned, and
// otherwise that of the connection. It sets the connection's write deadline.
func (w StallWriter) Write(p []byte) (written int, err error) {
	var peer PeerProgress
	interval := min(stallCheckInterval, w.Stall/checksPerStall)
	for {
		if err := w.Conn.SetWriteDeadline(time.Now().Add(interval)); err != nil {
			return written, err
		}
		if w.IsAbandoned != nil && w.IsAbandoned() { // checked last, since the deadline may have been set to end the write
			return written, os.ErrDeadlineExceeded
		}
		n, err := w.Conn.Write(p[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		now := time.Now()
		peer.Observe(w.Conn, now, int64(written))
		if peer.HasStalled(now, w.Stall) {
			return written, err
		}
	}
}
