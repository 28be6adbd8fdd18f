package framing

import (
	"errors"
	"sync"
	"time"
)

// net/http notices that a client disconnects by reading one byte behind the request, and stops looking once it has got
// one. A client that sends more behind its request and then disconnects would be waited for, and its request forwarded.
// Instead, a Conn reads ahead while the request waits for its response.

const (
	// ReadAheadBuffer is how many bytes are buffered of what comes behind a request that is not answered. Clients send one
	// request at a time, so more is malformed: it is discarded, and the connection ends after what has been buffered.
	ReadAheadBuffer = 4 << 10
	// maxReadAhead is how many bytes are read behind one request at most.
	maxReadAhead = 16 << 20
	// readBufferSize is how many bytes one read ahead takes at most.
	readBufferSize = 16 << 10
)

// readBuffers are *[readBufferSize]byte for reading ahead.
var readBuffers = sync.Pool{New: func() any { return new([readBufferSize]byte) }}

// errReadAhead ends a connection whose client has sent too much behind a request.
var errReadAhead = errors.New("too much behind a request that is not answered")

// readAhead is what has been read of a client connection behind its present request. The connection's lock guards it.
type readAhead struct {
	closeUnnoticed bool          // net/http no longer notices that the client disconnects
	disconnected   chan struct{} // closed when the client is seen to disconnect; nil: nobody waits for that
	done           chan struct{} // closed once reading ahead has ended; nil: it is not running
	buffered       []byte
	bufferedAt     time.Duration // when the last buffered byte came, on the caller's clock
	overflowed     bool          // more came than is buffered
	readErr        error         // what ended reading ahead
}

// take returns what was read ahead, or the error that ended it; found is false where there is neither.
func (a *readAhead) take(p []byte) (n int, found bool, err error) {
	switch {
	case len(a.buffered) > 0:
		n = copy(p, a.buffered)
		a.buffered = a.buffered[n:]
		if len(a.buffered) == 0 {
			a.buffered = nil
		}
		return n, true, nil
	case a.overflowed:
		return 0, true, errReadAhead
	case a.readErr != nil:
		return 0, true, a.readErr
	}
	return 0, false, nil
}

// WatchDisconnect returns a channel that is closed as soon as the client is seen to disconnect behind bytes that nobody
// reads. A disconnect that net/http notices by itself is not reported. StopWatchingDisconnect ends it.
func (c *Conn) WatchDisconnect() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected = make(chan struct{})
	if c.closeUnnoticed {
		c.startReadAhead()
	}
	return c.disconnected
}

// StopWatchingDisconnect returns once reading ahead has ended.
func (c *Conn) StopWatchingDisconnect() {
	c.mu.Lock()
	done := c.done
	c.disconnected = nil
	c.done = nil
	c.mu.Unlock()
	if done != nil {
		c.Conn.SetReadDeadline(expiredDeadline)
		<-done
		c.Conn.SetReadDeadline(time.Time{})
	}
}

// startReadAhead begins to read ahead where somebody waits for the client's disconnect. The caller has the lock.
func (c *Conn) startReadAhead() {
	if c.disconnected == nil || c.done != nil {
		return
	}
	c.done = make(chan struct{})
	go c.runReadAhead(c.done)
}

// runReadAhead reads until the client disconnects, StopWatchingDisconnect ends it, or maxReadAhead is reached.
func (c *Conn) runReadAhead(done chan<- struct{}) {
	defer close(done)
	buf := readBuffers.Get().(*[readBufferSize]byte)
	defer readBuffers.Put(buf)
	for remaining := maxReadAhead; remaining > 0; {
		n, err := c.Conn.Read(buf[:])
		remaining -= n
		c.mu.Lock()
		c.bufferReadAhead(buf[:n])
		if err != nil && c.disconnected != nil { // otherwise StopWatchingDisconnect has ended the read
			c.readErr = err
			close(c.disconnected)
		}
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// bufferReadAhead buffers what has been read ahead. The caller has the lock.
func (c *Conn) bufferReadAhead(p []byte) {
	c.overflowed = c.overflowed || len(c.buffered)+len(p) > ReadAheadBuffer
	if len(p) == 0 || c.overflowed {
		return
	}
	c.buffered = append(c.buffered, p...)
	c.bufferedAt = c.now()
}
