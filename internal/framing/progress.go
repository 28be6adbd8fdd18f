package framing

import (
	"os"
	"time"

	"sprucehill/internal/socket"
)

// This file tells a client that moves bytes slowly from one that moves none.

// lateReadTime bounds the read of bytes that wait.
const lateReadTime = 100 * time.Millisecond

// readLate reads the bytes of a body that have arrived although its deadline has passed: this process is late, not the client. It returns
// os.ErrDeadlineExceeded if there are none.
func (c *Conn) readLate(p []byte) (int, error) {
	if !socket.HasUnread(c.Conn) {
		return 0, os.ErrDeadlineExceeded
	}
	if err := c.Conn.SetReadDeadline(time.Now().Add(lateReadTime)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

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
