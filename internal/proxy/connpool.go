package proxy

import (
	"slices"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/timelimit"
)

// evictEvery is the interval between two searches for connections that have been idle for too long.
const evictEvery = time.Second

// connPool holds the idle connections to upstreams and bounds how many connections there are, idle, in use and being
// opened together. The lists of idle connections are fields of the endpoints. It belongs to the loop and is used on the
// loop's goroutine only. It opens nothing itself: whoever got no idle connection dials on a goroutine of its own, and
// returns what came of it with put. Connections are closed on goroutines of their own, since that may block.
type connPool struct {
	endpoints    endpointTable // the loop's
	open         int           // connections to upstreams, open or being opened
	maxOpen      int
	idleTimeout  time.Duration
	nextEviction time.Duration // on the loop's clock
	// releasing is set for good once another process needs the descriptors of idle connections: put closes all then.
	releasing bool
	now       func() time.Duration
}

// get returns an idle connection to an endpoint, or nil with capacity reserved for opening a new one. ok is false where
// there is neither. A connection past the idle timeout is not used, also between two evictions: what is written while
// its upstream closes it ends as a reset, which some classes may not send again.
func (p *connPool) get(e *endpoint) (c *upstreamConn, ok bool) {
	if c := p.takeIdle(e); c != nil {
		return c, true
	}
	return nil, p.reserve()
}

// takeIdle removes and returns the endpoint's most recently used idle connection, or nil. Where that one is past the
// idle timeout all are, and all are closed.
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

// reserve counts a connection that is about to be opened. At the limit, the connection that has been idle for longest,
// at whatever endpoint, is closed for it; false: none is idle.
func (p *connPool) reserve() bool {
	if p.open >= p.maxOpen && !p.closeLongestIdle() {
		return false
	}
	p.open++
	return true
}

// closeLongestIdle closes the connection that has been idle for longest. Of two that have been so equally long it is
// the one at the endpoint with the lower ID. It returns false where none is idle.
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

// idleLonger reports whether the oldest idle connection of a goes before that of b. Both have one.
func idleLonger(a, b *endpoint) bool {
	if a.idle[0].idleSince != b.idle[0].idleSince {
		return a.idle[0].idleSince < b.idle[0].idleSince
	}
	return a.id < b.id
}

// put returns a connection after use, or the capacity that was reserved for it where c is nil: it has been closed, or
// was never opened.
func (p *connPool) put(e *endpoint, c *upstreamConn) {
	switch {
	case c == nil:
		p.open--
	case c.abandoned: // abandoned while its response came
		p.close(c)
	case p.releasing || e.state != balancer.Active || c.RemoteAddr().String() != e.address:
		p.close(c)
	case c.SetDeadline(time.Time{}) != nil: // a time-out may have been set while the response came
		p.close(c)
	default:
		c.idleSince = p.now()
		e.idle = append(e.idle, c)
	}
}

// close closes connections on a goroutine of its own. They must not be in an endpoint's list any more, or leave it now.
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

// release closes all idle connections, and from then on each connection after its use.
func (p *connPool) release() {
	p.releasing = true
	for _, e := range p.endpoints {
		p.closeIdle(e)
	}
}

// evictIdleIfDue runs evictIdle at its interval.
func (p *connPool) evictIdleIfDue(now time.Duration) {
	if now < p.nextEviction {
		return
	}
	p.nextEviction = now + evictEvery
	p.evictIdle(now)
}

// evictIdle closes connections past the idle timeout. Each endpoint has its least recently used connection first.
func (p *connPool) evictIdle(now time.Duration) {
	for _, e := range p.endpoints {
		n := 0
		for n < len(e.idle) && p.isExpired(e.idle[n], now) {
			n++
		}
		if n > 0 {
			p.close(e.idle[:n]...)
			e.idle = append([]*upstreamConn(nil), e.idle[n:]...) // the closing goroutine reads the old array
		}
	}
}
