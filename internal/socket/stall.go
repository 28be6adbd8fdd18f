package socket

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// stallCheckInterval is the interval at which a blocked write is tried again and the peer's progress is looked at. Both can succeed
	// long before the system reports the socket as writable, which on Linux it does once a third of its buffer is free.
	stallCheckInterval = 500 * time.Millisecond
	// checksPerStall is how often a blocked write is tried within its limit at least.
	checksPerStall = 4
	// slowPeerRate, in bytes per second, is the rate of a slow peer that has to be told from one that takes nothing.
	//
	// Platform: a client may take a body at 64 kB a second.
	slowPeerRate = 64_000
	// windowParts is the number of parts in which a receiver's system reports at least that its buffer has been emptied: Linux reports
	// a sixteenth, and less often than that for some sizes.
	windowParts = 8
	// maxWindowPart bounds the bytes of such a part.
	maxWindowPart = 2 << 20
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
	var peer peerProgress
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
		peer.observe(w.Conn, time.Now(), written)
		if peer.hasStalled(w.Stall) {
			return written, err
		}
	}
}

// peerProgress is what has been seen of a peer since a write to it has blocked. The zero value has seen nothing.
type peerProgress struct {
	acknowledged uint64    // bytes, since the connection was opened; 0: not known
	written      int       // bytes of the write that the system has accepted
	movedAt      time.Time // when the peer was last seen to have taken something, or first looked at
	observedAt   time.Time
}

// observe looks at the peer of a connection. written is how many bytes of the write the system has accepted.
func (p *peerProgress) observe(c net.Conn, now time.Time, written int) {
	acknowledged := uint64(0)
	if inner, ok := c.(syscall.Conn); ok {
		if n, err := Acknowledged(inner); err == nil { // without it only what is written shows that the peer takes something
			acknowledged = n
		}
	}
	if written != p.written || acknowledged != p.acknowledged || p.movedAt.IsZero() {
		p.movedAt = now
	}
	p.acknowledged = acknowledged
	p.written = written
	p.observedAt = now
}

// hasStalled reports whether the peer has taken nothing for the time stall, or longer if that may be unseen.
func (p *peerProgress) hasStalled(stall time.Duration) bool {
	return p.observedAt.Sub(p.movedAt) >= stall+unseenTime(p.acknowledged)
}

// unseenTime returns for how long a slow peer may read without being seen to, if its system has acknowledged so many bytes: it has a
// buffer of that size at most.
func unseenTime(acknowledged uint64) time.Duration {
	return time.Duration(min(acknowledged/windowParts, maxWindowPart)) * time.Second / slowPeerRate
}

// Acknowledged returns how many bytes the peer's system has acknowledged since the connection was opened. They may be unread. It is
// safe for concurrent use.
func Acknowledged(c syscall.Conn) (bytes uint64, err error) {
	info, err := tcpInfo(c)
	if err != nil {
		return 0, err
	}
	return info.Bytes_acked, nil
}

// tcpInfo returns what the kernel knows of a TCP connection.
func tcpInfo(c syscall.Conn) (info *unix.TCPInfo, err error) {
	controlErr := control(c, func(fd int) { info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err = errors.Join(controlErr, err); err != nil {
		return nil, fmt.Errorf("state of a TCP connection: %w", err)
	}
	return info, nil
}
