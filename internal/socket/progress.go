package socket

import (
	"net"
	"syscall"
	"time"
)

const (
	// slowPeerRate, in bytes per second, is the rate of the slowest peer that must not be given up.
	//
	// Platform: a client may take a body at 64 kB a second.
	slowPeerRate = 64_000
	// windowParts is the number of parts in which a receiver's system reports at least that its buffer has been emptied: Linux reports
	// a sixteenth, and less often than that for some sizes.
	windowParts = 8
	// maxWindowPart bounds the bytes of such a part.
	maxWindowPart = 2 << 20
)

// PeerProgress is what has been seen of the peer of a connection in a series of looks. Its zero value has seen nothing. It is not safe
// for concurrent use.
type PeerProgress struct {
	acknowledged uint64    // bytes that the peer's system has acknowledged, since the connection was opened; 0: not known
	moved        int64     // see Observe
	movedAt      time.Time // when the peer was last seen to have moved bytes, or first looked at
}

// Observe looks at the peer of a connection at the time now. moved is a count of the caller's: where it has changed since the last look,
// the peer has moved bytes, also if its system has acknowledged none.
func (p *PeerProgress) Observe(c net.Conn, now time.Time, moved int64) {
	acknowledged := p.acknowledged // if it can't be asked for, only the caller's count shows that the peer moves bytes
	if inner, ok := c.(syscall.Conn); ok {
		if info, err := tcpInfo(inner); err == nil {
			acknowledged = info.Bytes_acked
		}
	}
	if moved != p.moved || acknowledged != p.acknowledged || p.movedAt.IsZero() {
		p.movedAt = now
	}
	p.acknowledged = acknowledged
	p.moved = moved
}

// HasStalled reports whether the peer, which has been observed at the time now, has moved nothing for the time stall before it, or longer
// if it may have done so unseen: see StallWriter.
func (p *PeerProgress) HasStalled(now time.Time, stall time.Duration) bool {
	return now.Sub(p.movedAt) >= stall+unseenTime(p.acknowledged)
}

// unseenTime returns for how long a slow peer may read without being seen to, if its system has acknowledged so many bytes: it has a
// buffer of that size at most.
func unseenTime(acknowledged uint64) time.Duration {
	return time.Duration(min(acknowledged/windowParts, maxWindowPart)) * time.Second / slowPeerRate
}
