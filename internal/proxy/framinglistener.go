package proxy

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// lastAcceptWait is how long the last look for connections that wait to be accepted takes.
const lastAcceptWait = 10 * time.Millisecond

// expiredDeadline is a deadline that ends whatever waits.
var expiredDeadline = time.Unix(0, 1)

// framingListener accepts client connections whose requests are checked for framing errors.
type framingListener struct {
	net.Listener
	now    func() time.Duration // the loop's clock
	ending atomic.Bool          // closeWhenDrained has been called
}

// deadlineListener is a listener whose waiting Accept can be ended without closing it.
type deadlineListener interface{ SetDeadline(t time.Time) error }

// closeWhenDrained closes the listener once Accept has taken all connections that wait in its queue: those still there at
// the close are reset.
func (l *framingListener) closeWhenDrained() {
	d, ok := l.Listener.(deadlineListener)
	if !ok {
		l.Close()
		return
	}
	l.ending.Store(true)
	_ = d.SetDeadline(expiredDeadline) // wakes Accept for its last look; fails only if the listener is closed already
}

// Accept returns the next connection, or net.ErrClosed once the listener has been closed by closeWhenDrained.
func (l *framingListener) Accept() (net.Conn, error) {
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
			return &framingConn{Conn: c, now: l.now, headAt: l.now()}, nil
		case !l.ending.Load():
			return nil, err
		case last && !time.Now().Before(until): // the queue has been empty for lastAcceptWait
			l.Close()
			return nil, net.ErrClosed
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		}
	}
}
