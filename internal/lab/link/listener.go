package link

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"sprucehill/internal/lab/scenario"
)

const (
	// backlog is the kernel's limit of established connections that wait for Accept, while the listener is not blocked.
	backlog = 1024
	// pendingTimeout is how long ResetPending waits for another connection in the backlog.
	pendingTimeout = 2 * time.Millisecond
	// fillTimeout limits the dial that fills the backlog of a listener that is being blocked.
	fillTimeout = time.Second
)

// longAgo is a deadline in the past, which makes Accept return immediately.
var longAgo = time.Unix(1, 0)

// Listener accepts connections from one party, far, to another, near.
//
// A cut network neither establishes nor refuses connections. To emulate that, a blocked listener fills the kernel's
// backlog with a connection of its own: the kernel then drops every further SYN.
type Listener struct {
	network *Network
	near    scenario.Party
	far     scenario.Party
	tcp     *net.TCPListener

	mu         sync.Mutex
	full       bool          // set by SetFull
	blocked    bool          // no connection is established
	unblocked  chan struct{} // closed while the listener is not blocked
	filler     net.Conn      // fills the backlog; nil: it is not filled
	fillerAddr string        // local address of the last filler, which Accept must not return
	closed     bool
}

// Listen listens at an address of the party near. Only the party far may connect to that address.
func (n *Network) Listen(near, far scenario.Party, address string) (*Listener, error) {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for connections to an emulated address: %w", err)
	}
	l := &Listener{network: n, near: near, far: far, tcp: tcp.(*net.TCPListener), unblocked: make(chan struct{})}
	close(l.unblocked)
	n.mu.Lock()
	n.listeners[l] = struct{}{}
	n.mu.Unlock()
	l.update()
	return l, nil
}

// Accept returns the next connection. While the listener is blocked it waits.
func (l *Listener) Accept() (*Conn, error) {
	for {
		l.mu.Lock()
		unblocked := l.unblocked
		closed := l.closed
		fillerAddr := l.fillerAddr
		l.mu.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		<-unblocked
		c, err := l.tcp.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue // the listener was blocked meanwhile
		}
		if err != nil {
			return nil, err
		}
		if c.RemoteAddr().String() == fillerAddr {
			c.Close()
			continue
		}
		return l.network.Wrap(c, l.near, l.far), nil
	}
}

// ResetPending resets the connections that the kernel established before the listener was blocked and that have not been
// accepted: a machine that has restarted does not know them. It does nothing on a listener that is not blocked.
func (l *Listener) ResetPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || !l.blocked {
		return
	}
	for {
		l.tcp.SetDeadline(time.Now().Add(pendingTimeout))
		c, err := l.tcp.AcceptTCP()
		if err != nil {
			l.tcp.SetDeadline(longAgo)
			return
		}
		_ = c.SetLinger(0) // an error means that the socket is closed already
		c.Close()
	}
}

// SetFull sets whether near has reached its limit of connections. While it has, the listener is blocked.
func (l *Listener) SetFull(full bool) {
	l.mu.Lock()
	l.full = full
	l.mu.Unlock()
	l.update()
}

// update blocks the listener while its link is cut or near is at its limit of connections, and unblocks it otherwise.
func (l *Listener) update() {
	l.network.mu.Lock()
	cut := l.network.isCut(l.near, l.far)
	l.network.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	block := cut || l.full
	switch {
	case l.closed || block == l.blocked:
	case block:
		l.block()
	default:
		l.unblock()
	}
}

// block stops the kernel from establishing connections. l.mu must be held.
func (l *Listener) block() {
	l.blocked = true
	l.unblocked = make(chan struct{})
	l.tcp.SetDeadline(longAgo) // makes a running Accept wait for unblocked instead
	l.setBacklog(0)
	if c, err := net.DialTimeout("tcp", l.tcp.Addr().String(), fillTimeout); err == nil {
		l.filler = c
		l.fillerAddr = c.LocalAddr().String()
	}
}

// unblock accepts connections again. l.mu must be held.
func (l *Listener) unblock() {
	l.blocked = false
	l.closeFiller()
	l.setBacklog(backlog)
	l.tcp.SetDeadline(time.Time{})
	close(l.unblocked)
}

func (l *Listener) closeFiller() {
	if l.filler != nil {
		l.filler.Close()
		l.filler = nil
	}
}

// setBacklog sets the kernel's limit of connections that wait for Accept. With 0 it still keeps one.
func (l *Listener) setBacklog(n int) {
	raw, err := l.tcp.SyscallConn()
	if err != nil {
		return // the listener is closed
	}
	// An error means that the listener was closed meanwhile.
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
}

// Close closes the listener. New connections are refused.
func (l *Listener) Close() error {
	l.network.mu.Lock()
	delete(l.network.listeners, l)
	l.network.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.blocked {
		close(l.unblocked)
		l.blocked = false
	}
	l.closeFiller()
	return l.tcp.Close()
}
