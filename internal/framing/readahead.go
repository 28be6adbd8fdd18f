package framing

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"sprucehill/internal/socket"
)

// net/http detects that a client disconnects by reading one byte after the request, and stops once it has got that byte. So
// if a client sends more after its request and then disconnects, net/http does not detect that, and the request would still
// be forwarded. To detect it, a Conn reads ahead while the request waits for its response.

const (
	// ReadAheadBufferSize is how many bytes after an unanswered request are buffered.
	ReadAheadBufferSize = 4 << 10
	// MaxUnreadAhead is how many bytes behind them are left unread, for the requests of a client that sends many at once. The
	// system has room for them, and for the client's close. If there are more, the client's close may not arrive unless they are
	// read: then all bytes behind the buffered ones are discarded, and reading fails after the buffered ones.
	MaxUnreadAhead = 32 << 10
	// fullBufferPoll is the interval at which a connection with a full buffer is checked for a disconnect.
	fullBufferPoll = 20 * time.Millisecond
	// maxReadAhead bounds the bytes that are read after one request. What a client sends beyond it stays unread, and so does its
	// close: see ReadAheadExhausted.
	maxReadAhead = 4 << 20
	// maxWatchedExcess bounds the bytes after one request up to which its client is known to be connected until its close is read.
	// Behind more of them the close is read too late while the processor is short: see HasExcessInput.
	maxWatchedExcess = 64 << 10
	// readBufferSize bounds the bytes of one read. If more have arrived, discardBufferSize does.
	readBufferSize    = ReadAheadBufferSize
	discardBufferSize = 16 << 10
	// turnBytes is how many bytes are discarded before the goroutine pauses for turnPause, so that a client that sends without
	// end does not keep the processor from the others. maxReadAhead bytes take less than 0.1 s at a whole core.
	turnBytes = 64 << 10
	turnPause = time.Millisecond
)

// discardBuffers pools the buffers for discarding, of type *[discardBufferSize]byte.
var discardBuffers = sync.Pool{New: func() any { return new([discardBufferSize]byte) }}

// errReadAheadOverflow ends a connection whose client has sent too much after an unanswered request.
var errReadAheadOverflow = fmt.Errorf("client sent more than %d bytes after an unanswered request", ReadAheadBufferSize+MaxUnreadAhead)

// readAhead is the state of reading ahead, after the current request of a client connection. The connection's lock guards
// it.
type readAhead struct {
	disconnectMasked bool          // net/http has read its byte, and can no longer detect a disconnect
	disconnected     chan struct{} // closed on a disconnect; nil: nobody watches for one
	stopReadAhead    chan struct{} // closed to end reading ahead while it waits for room in the buffer
	readAheadDone    chan struct{} // closed once reading ahead has ended; nil: it is not running
	buffered         []byte
	bufferedAt       time.Duration // when the last buffered byte arrived, on the caller's clock
	bufferOverflowed bool          // more bytes arrived than are buffered
	readAheadErr     error         // the read error that ended reading ahead
	excess           int           // bytes that have been read ahead after the current request
}

// readBuffered reads bytes that were read ahead or, after the last of them, returns the error that ended reading ahead. If
// there is neither, found is false.
func (a *readAhead) readBuffered(p []byte) (n int, found bool, err error) {
	switch {
	case len(a.buffered) > 0:
		n = copy(p, a.buffered)
		a.buffered = a.buffered[n:]
		if len(a.buffered) == 0 {
			a.buffered = nil
		}
		return n, true, nil
	case a.bufferOverflowed:
		return 0, true, errReadAheadOverflow
	case a.readAheadErr != nil:
		return 0, true, a.readAheadErr
	}
	return 0, false, nil
}

// WatchDisconnect returns a channel that is closed when the client disconnects after bytes that net/http does not read, or
// when ReadAheadExhausted has become true. A disconnect that net/http detects by itself is not reported. The caller has to
// call StopWatchingDisconnect.
func (c *Conn) WatchDisconnect() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected = make(chan struct{})
	if c.disconnectMasked {
		c.startReadAhead()
	}
	return c.disconnected
}

// ReadAheadExhausted reports whether the client has sent so much after its current request that reading ahead has ended: its
// disconnect, which would follow bytes that nobody reads, can't be noticed any more.
func (c *Conn) ReadAheadExhausted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.excess >= maxReadAhead
}

// HasExcessInput reports whether the client has sent so much after its current request that it may have disconnected without that
// being known in time.
func (c *Conn) HasExcessInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.excess > maxWatchedExcess
}

// StopWatchingDisconnect stops reading ahead, and returns once the goroutine that reads has ended.
func (c *Conn) StopWatchingDisconnect() {
	c.mu.Lock()
	stop, done := c.stopReadAhead, c.readAheadDone
	c.disconnected = nil
	c.readAheadDone = nil
	c.mu.Unlock()
	if done != nil {
		close(stop)
		c.Conn.SetReadDeadline(expiredDeadline)
		<-done
		c.Conn.SetReadDeadline(time.Time{})
	}
}

// startReadAhead starts reading ahead if a disconnect is watched for and reading ahead is not running. The caller holds the
// lock.
func (c *Conn) startReadAhead() {
	if c.disconnected == nil || c.readAheadDone != nil {
		return
	}
	c.stopReadAhead = make(chan struct{})
	c.readAheadDone = make(chan struct{})
	go c.runReadAhead(c.stopReadAhead, c.readAheadDone)
}

// runReadAhead reads until the client disconnects, StopWatchingDisconnect ends it, or maxReadAhead is reached. While the buffer is
// full it only checks for a disconnect, unless too much is unread.
func (c *Conn) runReadAhead(stop <-chan struct{}, done chan<- struct{}) {
	defer close(done)
	buf := make([]byte, readBufferSize)
	for turn, exhausted := 0, false; !exhausted; {
		room, overflowed := c.bufferRoom()
		if room == 0 {
			switch c.awaitExcess(stop) {
			case readAheadStopped:
				return
			case clientDisconnected:
				c.reportDisconnect()
				return
			case tooMuchUnread:
				c.discardReadAhead()
				continue
			}
		}
		read := c.Conn.Read
		if overflowed {
			read = c.readOrDiscard
		}
		n, err := read(buf[:room])
		turn += n
		if turn >= turnBytes {
			turn = 0
			time.Sleep(turnPause)
		}
		c.mu.Lock()
		c.excess += n
		exhausted = c.excess >= maxReadAhead
		c.bufferReadAhead(buf[:min(n, room)])
		if err != nil && c.disconnected != nil { // otherwise StopWatchingDisconnect ended the read
			c.readAheadErr = err
			close(c.disconnected)
		}
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
	c.reportDisconnect()
}

// bufferRoom returns how many bytes may be read next: what the buffer has room for, or any number once it has overflowed.
func (c *Conn) bufferRoom() (room int, overflowed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.bufferOverflowed {
		return readBufferSize, true
	}
	return max(0, ReadAheadBufferSize-len(c.buffered)), false
}

// discardReadAhead makes all bytes that follow the buffered ones be read and discarded.
func (c *Conn) discardReadAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bufferOverflowed = true
}

// reportDisconnect reports a disconnect, or that it can't be noticed any more, unless nobody watches for one.
func (c *Conn) reportDisconnect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.disconnected != nil {
		close(c.disconnected)
	}
}

// excessEvent is what ends the wait of a connection with a full buffer.
type excessEvent int

const (
	readAheadStopped excessEvent = iota
	clientDisconnected
	tooMuchUnread // or it is not known how much
)

// awaitExcess waits, with a full buffer, until stop is closed, the client disconnects, or more than MaxUnreadAhead is unread.
func (c *Conn) awaitExcess(stop <-chan struct{}) excessEvent {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return tooMuchUnread
	}
	poll := time.NewTicker(fullBufferPoll)
	defer poll.Stop()
	for {
		unread, err := socket.Unread(inner)
		switch {
		case err != nil || unread > MaxUnreadAhead:
			return tooMuchUnread
		case c.ClosedByClient():
			return clientDisconnected
		}
		select {
		case <-stop:
			return readAheadStopped
		case <-poll.C:
		}
	}
}

// readOrDiscard reads the next bytes, which have to be discarded, and returns how many it has read. If more have arrived than p holds,
// it reads them into a larger buffer.
func (c *Conn) readOrDiscard(p []byte) (n int, err error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return c.Conn.Read(p)
	}
	if unread, err := socket.Unread(inner); err != nil || unread <= len(p) {
		return c.Conn.Read(p)
	}
	large := discardBuffers.Get().(*[discardBufferSize]byte)
	defer discardBuffers.Put(large)
	return c.Conn.Read(large[:])
}

// bufferReadAhead buffers bytes that were read ahead, unless the buffer has overflowed. The caller holds the lock.
func (c *Conn) bufferReadAhead(p []byte) {
	if len(p) == 0 || c.bufferOverflowed {
		return
	}
	c.buffered = append(c.buffered, p...)
	c.bufferedAt = c.now()
}
