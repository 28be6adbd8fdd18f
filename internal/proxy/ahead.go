package proxy

import (
	"errors"
	"time"
)

// net/http looks for a client's leave by reading one byte behind the request, and stops looking once it has got one. A
// client that sends more behind its request and goes would be waited for, and what it asked for sent on. What follows is
// read ahead instead while the request waits for its answer.

const (
	// aheadKept is how many bytes are kept of what comes behind a request that is not answered. Clients send one request at
	// a time, so more is improper: it is thrown away, and the connection ends after what has been kept.
	aheadKept = 4 << 10
	// aheadMost is how much is read behind one request at most.
	aheadMost = 16 << 20
)

// errAhead ends a connection whose client has sent too much behind a request.
var errAhead = errors.New("too much behind a request that is not answered")

// ahead is what has been read of a client's connection behind its present request. The connection's lock guards it.
type ahead struct {
	behind   bool          // net/http looks no more for the client's leave
	departed chan struct{} // closed at that leave; nil: nobody waits for it
	looking  chan struct{} // closed once nothing is read ahead any more; nil: nothing is
	kept     []byte
	keptAt   time.Duration // when the last of them came, on the loop's clock
	over     bool          // more came than is kept
	ended    error         // what reading ahead ended with
}

// take gives what was read ahead, or the end that was read; kept is false where there is neither.
func (a *ahead) take(p []byte) (n int, err error, kept bool) {
	switch {
	case len(a.kept) > 0:
		n = copy(p, a.kept)
		if a.kept = a.kept[n:]; len(a.kept) == 0 {
			a.kept = nil
		}
	case a.over:
		err = errAhead
	case a.ended != nil:
		err = a.ended
	default:
		return 0, nil, false
	}
	return n, err, true
}

// follow returns what is closed as soon as the client is seen to leave behind bytes that nobody reads. It ends with
// unfollow. A leave that net/http sees by itself is not told.
func (c *framedConn) follow() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.departed = make(chan struct{})
	if c.behind {
		c.look()
	}
	return c.departed
}

// unfollow returns once nothing is read ahead any more.
func (c *framedConn) unfollow() {
	c.mu.Lock()
	looking := c.looking
	c.departed, c.looking = nil, nil
	c.mu.Unlock()
	if looking != nil {
		c.Conn.SetReadDeadline(past)
		<-looking
		c.Conn.SetReadDeadline(time.Time{})
	}
}

// look begins to read ahead where somebody waits for the client's leave. The lock is held.
func (c *framedConn) look() {
	if c.departed == nil || c.looking != nil {
		return
	}
	c.looking = make(chan struct{})
	go c.readAhead(c.looking)
}

// keep keeps what has been read ahead. The lock is held.
func (c *framedConn) keep(p []byte) {
	c.over = c.over || len(c.kept)+len(p) > aheadKept
	if len(p) == 0 || c.over {
		return
	}
	c.kept = append(c.kept, p...)
	c.keptAt = c.now()
}

// readAhead reads until the client leaves, unfollow stops it, or aheadMost is reached.
func (c *framedConn) readAhead(done chan struct{}) {
	defer close(done)
	buf := chunks.Get().(*[chunkSize]byte)
	defer chunks.Put(buf)
	for most := aheadMost; most > 0; {
		n, err := c.Conn.Read(buf[:])
		most -= n
		c.mu.Lock()
		c.keep(buf[:n])
		if err != nil && c.departed != nil { // else unfollow has ended the read
			c.ended = err
			close(c.departed)
		}
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}
