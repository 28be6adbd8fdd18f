package proxy

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"sprucehill/internal/framing"
	"sprucehill/internal/timelimit"
)

// maxLoggedConns is how many open connections are logged one by one.
const maxLoggedConns = 8

// connStatus is the state of a client connection and when it was entered, on the loop's clock.
type connStatus struct {
	state http.ConnState
	since time.Duration
}

// clientConns has the open client connections and bounds their number. Its methods may be called from any goroutine.
type clientConns struct {
	metrics   connMetrics
	lifecycle *lifecycle
	now       func() time.Duration // the loop's clock

	mu   sync.Mutex // guards the fields below
	max  int        // bound on the number of connections
	open map[*framing.Conn]connStatus
}

// track records a connection's change of state; it is the server's ConnState hook. A connection over the limit replaces the
// one that has been idle for longest, or is closed itself: file descriptors must not run out.
func (c *clientConns) track(netConn net.Conn, state http.ConnState) {
	conn := netConn.(*framing.Conn) // all come from a framing.Listener
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		c.forget(conn)
		return
	}
	c.forget(conn) // in its former state
	c.metrics.added(state)
	c.open[conn] = connStatus{state: state, since: c.now()}
	if state == http.StateIdle {
		conn.OnAnswered()
		c.closeAfterDrainedResponse(conn)
	}
	if state == http.StateNew && len(c.open) > c.max {
		c.evict(conn)
	}
}

// closeAfterDrainedResponse closes a connection that has become idle where clients are sent away: its response began too
// early to say so. Waiting for the next sweep would let its client send another request.
func (c *clientConns) closeAfterDrainedResponse(conn *framing.Conn) {
	cause, ending := c.lifecycle.closeCause()
	switch {
	case ending:
		c.closeIfIdle(conn, cause)
	case conn.IsShut(): // a drain has ended meanwhile
		c.closeIfIdle(conn, closedByDrain)
	}
}

// closeIfIdle closes a connection if it is between two requests, and counts that.
func (c *clientConns) closeIfIdle(conn *framing.Conn, cause closeCause) {
	if conn.CloseIfIdle() {
		c.metrics.countClose(cause)
	}
}

// forget removes a connection from the open ones, if it is one of them. The caller has the lock.
func (c *clientConns) forget(conn *framing.Conn) {
	status, tracked := c.open[conn]
	if !tracked {
		return
	}
	c.metrics.removed(status.state)
	delete(c.open, conn)
}

// evict closes the connection that has been idle for longest, or newcomer if there is none. The caller has the lock.
func (c *clientConns) evict(newcomer *framing.Conn) {
	victim := newcomer
	since := c.now() - timelimit.EvictionMinIdle
	for conn, status := range c.open {
		if status.since <= since && conn.IsIdle() {
			victim = conn
			since = status.since
		}
	}
	if !victim.CloseIfIdle() && !victim.IsClosed() { // a request has just begun on it
		victim = newcomer
		newcomer.Close()
	}
	c.metrics.countClose(closedByLimit)
	c.forget(victim) // net/http reports it as closed only once its goroutine has noticed
}

// nearLimit reports whether connections are so many that each should close after its response.
func (c *clientConns) nearLimit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) > c.max*7/8
}

// closeIdle closes the connections between two requests, and those that have been in their state for minSilence
// without beginning a request. The cause is for the metrics.
func (c *clientConns) closeIdle(minSilence time.Duration, cause closeCause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for conn, status := range c.open {
		if status.state == http.StateIdle || now-status.since >= minSilence {
			c.closeIfIdle(conn, cause)
		}
	}
}

// logOpen logs the open connections, maxLoggedConns at most.
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

// count returns the number of client connections.
func (c *clientConns) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn is the server's ConnContext hook.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf returns the connection of a request; all come from a framing.Listener.
func connOf(r *http.Request) *framing.Conn {
	return r.Context().Value(connKey{}).(*framing.Conn)
}
