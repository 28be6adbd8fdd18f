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
	// queueEmptyTimeout is how long the accept queue must stay empty before a draining listener is closed.
	queueEmptyTimeout = 10 * time.Millisecond
	// acceptRetryDelay is the wait after a failed accept call, for example when file descriptors or memory are exhausted.
	acceptRetryDelay = 20 * time.Millisecond
	// acceptBurst is how many connections are accepted in a row, and acceptPause the pause after them. Of those whose clients have left,
	// which cost little, departedPerAccepted count as one.
	acceptBurst         = 32
	acceptPause         = 4 * time.Millisecond
	departedPerAccepted = 8
)

// fatalAcceptErrors are the errors of accept(2) that make the listener unusable. All others concern one connection, or are
// temporary.
var fatalAcceptErrors = []error{net.ErrClosed, syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK}

// expiredDeadline is a deadline in the past, which ends a blocked call at once.
var expiredDeadline = time.Unix(0, 1)

// Listener accepts client connections whose requests are checked for framing errors. Accept must be called from one
// goroutine at a time; all other methods are safe for concurrent use.
type Listener struct {
	net.Listener
	now         func() time.Duration // the caller's clock
	headTimeout time.Duration        // see NewConn
	headLimits  HeadLimits           // see LimitHeads
	writeStall  time.Duration        // see LimitWrites
	draining    atomic.Bool          // CloseWhenDrained has been called
	queue       acceptQueue
	burst       int       // connections accepted since the last pause
	burstBegan  time.Time // when the first of them was accepted
	// lastAcceptFailed is set if the last accept call failed. Only the goroutine that calls Accept uses it.
	lastAcceptFailed bool
}

// NewListener returns a Listener that accepts the connections of l. now and headTimeout are passed to NewConn.
func NewListener(l net.Listener, now func() time.Duration, headTimeout time.Duration) *Listener {
	return &Listener{Listener: l, now: now, headTimeout: headTimeout}
}

// LimitHeads sets the limits for the heads on connections that are accepted from now on. It must not be called concurrently with
// Accept.
func (l *Listener) LimitHeads(limits HeadLimits) { l.headLimits = limits }

// LimitWrites sets how long the client may take nothing of what is written to it, on connections that are accepted from now on: see
// socket.StallWriter. It must not be called concurrently with Accept.
func (l *Listener) LimitWrites(stall time.Duration) { l.writeStall = stall }

// deadlineListener is a listener whose blocked Accept can be ended without closing it.
type deadlineListener interface{ SetDeadline(t time.Time) error }

// CloseWhenDrained has Accept close the listener once it has accepted all connections in its queue: closing it earlier
// would reset them.
func (l *Listener) CloseWhenDrained() {
	d, ok := l.Listener.(deadlineListener)
	if !ok {
		l.Close()
		return
	}
	l.draining.Store(true)
	_ = d.SetDeadline(expiredDeadline) // wakes a blocked Accept; fails only if the listener is closed already
}

// Accept returns the next connection, a *Conn, or net.ErrClosed once the listener has been closed by CloseWhenDrained. It
// retries after an error that does not make the listener unusable. In a flood of connections whose clients have left, it closes these.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		draining := l.draining.Load()
		deadline := time.Now().Add(queueEmptyTimeout)
		if draining {
			// Each call gets a new deadline: one that has already expired would keep it from accepting anything. On a closed
			// listener both this call and the accept call fail.
			_ = l.Listener.(deadlineListener).SetDeadline(deadline)
		}
		c, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.lastAcceptFailed = false
			conn := NewConn(c, l.now, l.headTimeout)
			if l.isDropped(conn) {
				c.Close()
				l.paceAccept(1)
				continue
			}
			l.paceAccept(departedPerAccepted)
			conn.head.limits = l.headLimits
			conn.writeStall = l.writeStall
			return conn, nil
		case isFatalAcceptError(err):
			return nil, err
		case draining && !time.Now().Before(deadline): // the queue has been empty for queueEmptyTimeout
			l.Close()
			return nil, net.ErrClosed
		case !errors.Is(err, os.ErrDeadlineExceeded):
			l.waitToRetry(err)
		}
	}
}

// isDropped reports whether a connection is one of a flood of those whose clients have left.
func (l *Listener) isDropped(conn *Conn) bool {
	if !conn.ClosedByClient() {
		l.queue.noteArrival()
		return false
	}
	return l.queue.noteDeparture(l.Listener, time.Now())
}

// paceAccept pauses after acceptBurst connections that came within acceptPause: while the queue is never empty, the goroutines of
// accepted connections would have to wait for the processor, also those whose clients have closed. cost is that of one connection.
func (l *Listener) paceAccept(cost int) {
	now := time.Now()
	if l.burst == 0 {
		l.burstBegan = now
	}
	l.burst += cost
	if l.burst < acceptBurst*departedPerAccepted {
		return
	}
	l.burst = 0
	if now.Sub(l.burstBegan) < acceptPause {
		time.Sleep(acceptPause)
	}
}

// waitToRetry waits before the next accept call, and logs the first error of a series of failures.
func (l *Listener) waitToRetry(err error) {
	if !l.lastAcceptFailed {
		slog.Warn("accept failed", "err", err)
	}
	l.lastAcceptFailed = true
	time.Sleep(acceptRetryDelay)
}

// isFatalAcceptError reports whether an error of an accept call makes the listener unusable.
func isFatalAcceptError(err error) bool {
	return slices.ContainsFunc(fatalAcceptErrors, func(fatal error) bool { return errors.Is(err, fatal) })
}
