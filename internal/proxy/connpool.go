package proxy

import (
	"slices"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/timelimit"
)

// evictionInterval is the interval between two scans for connections past the idle timeout.
const evictionInterval = time.Second

// connPool holds the idle connections to upstreams and limits the total number of connections that are idle, in use or
// being opened. The lists of idle connections are fields of the endpoints. The pool is owned by the loop and used on the
// loop's goroutine only. It does not dial: a caller that gets no idle connection dials on another goroutine, and returns
// the result with put. Connections are closed on separate goroutines, since closing may block.
type connPool struct {
	endpoints    endpointTable // shared with the loop
	open         int           // number of connections to upstreams, open or being opened
	maxOpen      int
	idleTimeout  time.Duration
	nextEviction time.Duration // on the loop's clock
	// releasing is set, and never reset, once another process needs the file descriptors of idle connections. From then on
	// put closes every connection.
	releasing bool
	now       func() time.Duration
}

// get returns an idle connection to an endpoint, or nil and reserved capacity to open a new one. ok is false if there is
// neither. A connection past the idle timeout is not used even if it has not been evicted yet: a request that is written
// while the upstream closes the connection ends with a reset, and requests of some classes must not be retried then.
func (p *connPool) get(e *endpoint) (c *upstreamConn, ok bool) {
	if c := p.takeIdle(e); c != nil {
		return c, true
	}
	return nil, p.reserve()
}

// takeIdle removes and returns the endpoint's most recently used idle connection, or nil. If that one is past the idle
// timeout, so are all others, and all are closed.
func (p *connPool) takeIdle(e *endpoint) *upstreamConn {
	if len(e.idle) == 0 {
		return nil
	}
	last := len(e.idle) - 1
	c := e.idle[last]
	if p.isExpired(c, p.now()) {
		p.closeIdle(e)
		return nil
	}
	e.idle = e.idle[:last]
	return c
}

// isExpired reports whether an idle connection is past the idle timeout at the time now.
func (p *connPool) isExpired(c *upstreamConn, now time.Duration) bool {
	return timelimit.Window{Start: c.idleSince, Length: p.idleTimeout}.IsOver(now)
}

// reserve counts a connection that is about to be opened. At the limit it closes the connection that has been idle for
// longest at any endpoint, and returns false if there is no idle connection.
func (p *connPool) reserve() bool {
	if p.open >= p.maxOpen && !p.closeLongestIdle() {
		return false
	}
	p.open++
	return true
}

// closeLongestIdle closes the connection that has been idle for longest; ties go to the endpoint with the lower ID. It
// returns false if there is no idle connection.
func (p *connPool) closeLongestIdle() bool {
	var longest *endpoint
	for _, e := range p.endpoints {
		if len(e.idle) > 0 && (longest == nil || idleLonger(e, longest)) {
			longest = e
		}
	}
	if longest == nil {
		return false
	}
	p.close(longest.idle[0])
	longest.idle = slices.Delete(longest.idle, 0, 1)
	return true
}

// idleLonger reports whether the oldest idle connection of a is to be closed before that of b. Both must have one.
func idleLonger(a, b *endpoint) bool {
	if a.idle[0].idleSince != b.idle[0].idleSince {
		return a.idle[0].idleSince < b.idle[0].idleSince
	}
	return a.id < b.id
}

// put returns a connection to the pool after use. A nil c returns only the reserved capacity: the connection has been
// closed, or was never opened.
func (p *connPool) put(e *endpoint, c *upstreamConn) {
	switch {
	case c == nil:
		p.open--
	case c.abandoned: // its attempt was abandoned while the response arrived
		p.close(c)
	case p.releasing || e.state != balancer.Active || c.RemoteAddr().String() != e.address:
		p.close(c)
	case c.SetDeadline(time.Time{}) != nil: // clears a deadline that was set while the response arrived
		p.close(c)
	default:
		c.idleSince = p.now()
		e.idle = append(e.idle, c)
	}
}

// close closes connections on a separate goroutine. The caller must remove them from their endpoint's idle list.
func (p *connPool) close(conns ...*upstreamConn) {
	p.open -= len(conns)
	if len(conns) == 0 {
		return
	}
	go func() {
		for _, c := range conns {
			c.Close()
		}
	}()
}

// closeIdle closes all idle connections to an endpoint.
func (p *connPool) closeIdle(e *endpoint) {
	p.close(e.idle...)
	e.idle = nil
}

// release closes all idle connections, and makes put close every connection from then on.
func (p *connPool) release() {
	p.releasing = true
	for _, e := range p.endpoints {
		p.closeIdle(e)
	}
}

// evictIdleIfDue runs evictIdle if the interval since the last run has passed.
func (p *connPool) evictIdleIfDue(now time.Duration) {
	if now < p.nextEviction {
		return
	}
	p.nextEviction = now + evictionInterval
	p.evictIdle(now)
}

// evictIdle closes the connections past the idle timeout. Each endpoint's idle list starts with the least recently used
// connection.
func (p *connPool) evictIdle(now time.Duration) {
	for _, e := range p.endpoints {
		n := 0
		for n < len(e.idle) && p.isExpired(e.idle[n], now) {
			n++
		}
		if n > 0 {
			p.close(e.idle[:n]...)
			e.idle = append([]*upstreamConn(nil), e.idle[n:]...) // a new array: the closing goroutine still reads the old one
		}
	}
}
