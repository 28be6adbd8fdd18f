package proxy

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"sprucehill/internal/framing"
)

// evictionMinIdle is how long a connection must have been idle before it may be closed to make room for a new one.
const evictionMinIdle = 2 * time.Second

// maxLoggedConns is how many open connections are logged one by one.
const maxLoggedConns = 8

// connStatus is the state of a client connection and when it was entered, on the loop's clock.
type connStatus struct {
	state http.ConnState
	since time.Duration
}

// trackConn records a connection's change of state; it is the server's ConnState hook. A connection over the limit makes
// room by closing the one that has been idle for longest, or is closed itself: file descriptors must not run out.
func (f *frontend) trackConn(netConn net.Conn, state http.ConnState) {
	conn := netConn.(*framing.Conn) // all come from a framing.Listener
	f.mu.Lock()
	defer f.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		f.forget(conn)
		return
	}
	f.forget(conn) // in its former state
	f.metrics.conns.added(state)
	f.conns[conn] = connStatus{state: state, since: f.now()}
	if state == http.StateIdle {
		conn.OnAnswered()
		f.closeAfterDrainedResponse(conn)
	}
	if state == http.StateNew && len(f.conns) > f.maxConns {
		f.evict(conn)
	}
}

// closeAfterDrainedResponse closes a connection that has become idle where clients are sent away: its response began too
// early to say so. Waiting for the next sweep would let its client send another request.
func (f *frontend) closeAfterDrainedResponse(conn *framing.Conn) {
	cause, away := f.awayCause()
	switch {
	case away:
		f.closeIfIdle(conn, cause)
	case conn.IsShut(): // a drain has ended meanwhile
		f.closeIfIdle(conn, closedByDrain)
	}
}

// closeIfIdle closes a connection if it is between two requests, and counts that.
func (f *frontend) closeIfIdle(conn *framing.Conn, cause closeCause) {
	if conn.CloseIfIdle() {
		f.metrics.conns.countClose(cause)
	}
}

// forget removes a connection from the open ones, if it is one of them. The lock is held.
func (f *frontend) forget(conn *framing.Conn) {
	status, tracked := f.conns[conn]
	if !tracked {
		return
	}
	f.metrics.conns.removed(status.state)
	delete(f.conns, conn)
}

// evict closes the connection that has been idle for longest, or newcomer if there is none. The lock is held.
func (f *frontend) evict(newcomer *framing.Conn) {
	victim := newcomer
	since := f.now() - evictionMinIdle
	for conn, status := range f.conns {
		if status.since <= since && conn.IsIdle() {
			victim = conn
			since = status.since
		}
	}
	if !victim.CloseIfIdle() && !victim.IsClosed() { // a request has just begun on it
		victim = newcomer
		newcomer.Close()
	}
	f.metrics.conns.countClose(closedByLimit)
	f.forget(victim) // net/http reports it as closed only once its goroutine has noticed
}

// nearConnLimit reports whether connections are so many that each should close after its response.
func (f *frontend) nearConnLimit() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns) > f.maxConns*7/8
}

// closeIdleConns closes the connections between two requests, and those that have been in their state for minSilence
// without beginning a request. The cause is for the metrics.
func (f *frontend) closeIdleConns(minSilence time.Duration, cause closeCause) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for conn, status := range f.conns {
		if status.state == http.StateIdle || now-status.since >= minSilence {
			f.closeIfIdle(conn, cause)
		}
	}
}

// logOpenConns logs the open connections, maxLoggedConns at most.
func (f *frontend) logOpenConns() {
	f.mu.Lock()
	defer f.mu.Unlock()
	logged := 0
	for conn, status := range f.conns {
		if logged == maxLoggedConns {
			return
		}
		logged++
		slog.Info("client connection open", "client", conn.RemoteAddr(), "state", status.state,
			"for", (f.now() - status.since).Round(time.Millisecond), "idle", conn.IsIdle(), "answered", conn.AnsweredCount())
	}
}

// openConns is the number of client connections.
func (f *frontend) openConns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
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
