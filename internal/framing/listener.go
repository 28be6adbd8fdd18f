package framing

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// lastAcceptWait is how long the last look for connections that wait to be accepted takes.
	lastAcceptWait = 10 * time.Millisecond
	// acceptRetryDelay is the wait after a connection could not be accepted, as where descriptors or memory are short.
	acceptRetryDelay = 20 * time.Millisecond
)

// brokenListenerErrors are the errors of an accept call that say that the listener itself can't be used any more. All others
// are of one connection, or of the moment (accept(2)).
var brokenListenerErrors = []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK}

// expiredDeadline is a deadline that ends whatever waits.
var expiredDeadline = time.Unix(0, 1)

// Listener accepts client connections whose requests are checked for framing errors. One goroutine calls Accept at a time;
// all other methods may be called from any goroutine.
type Listener struct {
	net.Listener
	now         func() time.Duration // the caller's clock
	headTimeout time.Duration        // see NewConn
	ending      atomic.Bool          // CloseWhenDrained has been called
	// failing reports that the last accept call failed. It belongs to the caller of Accept.
	failing bool
}

// NewListener returns a listener that takes l's connections, with the clock and the time limit of NewConn.
func NewListener(l net.Listener, now func() time.Duration, headTimeout time.Duration) *Listener {
	return &Listener{Listener: l, now: now, headTimeout: headTimeout}
}

// deadlineListener is a listener whose waiting Accept can be ended without closing it.
type deadlineListener interface{ SetDeadline(t time.Time) error }

// CloseWhenDrained closes the listener once Accept has taken all connections that wait in its queue: those still there at
// the close are reset.
func (l *Listener) CloseWhenDrained() {
	d, ok := l.Listener.(deadlineListener)
	if !ok {
		l.Close()
		return
	}
	l.ending.Store(true)
	_ = d.SetDeadline(expiredDeadline) // wakes Accept for its last look; fails only if the listener is closed already
}

// Accept returns the next connection, a *Conn, or net.ErrClosed once the listener has been closed by CloseWhenDrained. It
// tries again after an error that does not concern the listener itself.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		last := l.ending.Load()
		until := time.Now().Add(lastAcceptWait)
		if last {
			// Each look gets a deadline of its own: with one that is over as accept begins, nothing would be accepted. On a
			// closed listener this fails, and so does the accept.
			_ = l.Listener.(deadlineListener).SetDeadline(until)
		}
		c, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.failing = false
			return NewConn(c, l.now, l.headTimeout), nil
		case isListenerBroken(err):
			return nil, err
		case last && !time.Now().Before(until): // the queue has been empty for lastAcceptWait
			l.Close()
			return nil, net.ErrClosed
		case !errors.Is(err, os.ErrDeadlineExceeded):
			l.retryAfter(err)
		}
	}
}

// retryAfter waits before the next accept call, and logs the first error of a series.
func (l *Listener) retryAfter(err error) {
	if !l.failing {
		slog.Warn("accept failed", "err", err)
	}
	l.failing = true
	time.Sleep(acceptRetryDelay)
}

// isListenerBroken reports whether an error of an accept call concerns the listener itself.
func isListenerBroken(err error) bool {
	return slices.ContainsFunc(brokenListenerErrors, func(broken error) bool { return errors.Is(err, broken) })
}
