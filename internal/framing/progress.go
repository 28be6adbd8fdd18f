package framing

import (
	"time"

	"sprucehill/internal/socket"
)

// This file tells a client that moves bytes slowly from one that moves none.

// BytesRead returns how many bytes have been read from the client, framing included.
func (c *Conn) BytesRead() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytesRead
}

// ObserveProgress looks at whether the client moves bytes, in either direction, at the time now.
func (c *Conn) ObserveProgress(progress *socket.PeerProgress, now time.Time) {
	progress.Observe(c.Conn, now, c.BytesRead())
}

// Write writes to the client. Where the listener limits writes, it fails once the client has taken nothing for the limit, and replaces
// the write deadline.
func (c *Conn) Write(p []byte) (int, error) {
	if c.writeStall == 0 {
		return c.Conn.Write(p)
	}
	return socket.StallWriter{Conn: c.Conn, Stall: c.writeStall}.Write(p)
}
