package proxy

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"sprucehill/internal/framing"
	"sprucehill/internal/timelimit"
)

// maxLoggedConns bounds the log lines that logOpen writes, one for each connection.
const maxLoggedConns = 8

// connStatus is the state of a client connection as reported by net/http.
type connStatus struct {
	state http.ConnState
	since time.Duration // when the connection entered the state, on the loop's clock
}

// clientConns tracks the open client connections and bounds their number. It is safe for concurrent use.
type clientConns struct {
	metrics   connMetrics
	lifecycle *lifecycle
	now       func() time.Duration // the loop's clock

	mu   sync.Mutex // guards the fields below
	max  int        // maximum number of open connections
	open map[*framing.Conn]connStatus
}

// track records a state change of a connection; it is the ConnState hook of the HTTP server. If a new connection exceeds
// the limit, the connection that has been idle longest is closed, or the new one if none has been idle long enough: the
// process must not run out of file descriptors.
func (c *clientConns) track(netConn net.Conn, state http.ConnState) {
	conn := netConn.(*framing.Conn) // every connection comes from a framing.Listener
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		c.untrack(conn)
		return
	}
	c.untrack(conn) // removes it from the gauge of its previous state
	c.metrics.added(state)
	c.open[conn] = connStatus{state: state, since: c.now()}
	if state == http.StateIdle {
		conn.MarkAnswered()
		c.closeIfEnding(conn)
	}
	if state == http.StateNew && len(c.open) > c.max {
		c.evict(conn)
	}
}

// closeIfEnding closes a connection that has become idle during a drain or a shutdown. The head of its last response may
// have been written too early to carry Connection: close, and by the next sweep the client could send another request.
func (c *clientConns) closeIfEnding(conn *framing.Conn) {
	cause, ending := c.lifecycle.closeCause()
	switch {
	case ending:
		c.closeIfIdle(conn, cause)
	case conn.HasStoppedReading(): // the drain that shut it has ended in the meantime
		c.closeIfIdle(conn, closedByDrain)
	}
}

// closeIfIdle closes a connection if it is between two requests, and counts the close under cause.
func (c *clientConns) closeIfIdle(conn *framing.Conn, cause closeCause) {
	if conn.CloseIfIdle() {
		c.metrics.countClose(cause)
	}
}

// untrack stops tracking a connection, if it is tracked. The caller holds the lock.
func (c *clientConns) untrack(conn *framing.Conn) {
	status, tracked := c.open[conn]
	if !tracked {
		return
	}
	c.metrics.removed(status.state)
	delete(c.open, conn)
}

// evict closes the connection that has been idle longest, for at least timelimit.EvictionMinIdle, or newConn if there is
// none. The caller holds the lock.
func (c *clientConns) evict(newConn *framing.Conn) {
	victim := newConn
	idleSince := c.now() - timelimit.EvictionMinIdle
	for conn, status := range c.open {
		if status.since <= idleSince && conn.IsIdle() {
			victim = conn
			idleSince = status.since
		}
	}
	if !victim.CloseIfIdle() && !victim.IsClosedIdle() { // a request has begun on it since the check above
		victim = newConn
		newConn.Close()
	}
	c.metrics.countClose(closedByLimit)
	c.untrack(victim) // net/http reports StateClosed only after the connection's goroutine has noticed the close
}

// nearLimit reports whether more than 7/8 of the allowed connections are open, so that each should be closed after its
// response.
func (c *clientConns) nearLimit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) > c.max*7/8
}

// closeIdle closes the connections between two requests, and those that have been in their state for at least
// minTimeInState without beginning a request. It counts each close under cause.
func (c *clientConns) closeIdle(minTimeInState time.Duration, cause closeCause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for conn, status := range c.open {
		if status.state == http.StateIdle || now-status.since >= minTimeInState {
			c.closeIfIdle(conn, cause)
		}
	}
}

// logClosedAtShutdownLimit logs that a number of connections are closed because their clients have used up a limit of a shutdown, and
// which ones are open.
func (c *clientConns) logClosedAtShutdownLimit(closed int) {
	slog.Warn("client connections closed at shutdown limit", "connections", closed)
	c.logOpen()
}

// logOpen logs up to maxLoggedConns open connections.
func (c *clientConns) logOpen() {
	c.mu.Lock()
	defer c.mu.Unlock()
	logged := 0
	for conn, status := range c.open {
		if logged == maxLoggedConns {
			return
		}
		logged++
		slog.Info("client connection open", "client", conn.RemoteAddr(), "state", status.state,
			"elapsed", (c.now() - status.since).Round(time.Millisecond), "idle", conn.IsIdle(), "answered", conn.AnsweredCount())
	}
}

// openConns returns the open client connections.
func (c *clientConns) openConns() []*framing.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.open))
}

// count returns the number of open client connections.
func (c *clientConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// clientSession is a client connection with what is remembered of its requests.
type clientSession struct {
	conn  *framing.Conn
	pacer pacer
}

// sessionContextKey is the context key under which a request's session is stored.
type sessionContextKey struct{}

// contextWithSession stores a new session in the context of a connection's requests; it is the ConnContext hook of the HTTP server.
// Every connection comes from a framing.Listener.
func contextWithSession(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, sessionContextKey{}, &clientSession{conn: c.(*framing.Conn)})
}

// sessionOfRequest returns the session of the connection on which a request arrived.
func sessionOfRequest(r *http.Request) *clientSession {
	return r.Context().Value(sessionContextKey{}).(*clientSession)
}

// connOfRequest returns the connection on which a request arrived.
func connOfRequest(r *http.Request) *framing.Conn { return sessionOfRequest(r).conn }
