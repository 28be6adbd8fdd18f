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
	// backlog is how many connections the kernel keeps for Accept while they are taken.
	backlog = 1024
	// pendingWait is how long ResetPending looks for another connection.
	pendingWait = 2 * time.Millisecond
	// fillTimeout is how long blocking a listener may take to fill its backlog.
	fillTimeout = time.Second
)

// longAgo is a deadline that makes Accept return at once.
var longAgo = time.Unix(1, 0)

// Listener takes connections from one party for another.
//
// To take none as a network does that is cut, without refusing them, it fills the kernel's backlog: the kernel then drops
// every further SYN.
type Listener struct {
	network *Network
	near    scenario.Party
	far     scenario.Party
	tcp     *net.TCPListener

	mu         sync.Mutex
	full       bool          // its owner takes no more
	blocked    bool          // it takes none
	opened     chan struct{} // closed while it is not blocked
	filler     net.Conn      // fills the backlog; nil: it is not filled
	fillerAddr string        // of the last filler, which Accept must not return
	closed     bool
}

// Listen takes connections that far opens to near at an address of near's for far alone.
func (n *Network) Listen(near, far scenario.Party, address string) (*Listener, error) {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("an emulated address is not free: %w", err)
	}
	l := &Listener{network: n, near: near, far: far, tcp: tcp.(*net.TCPListener), opened: make(chan struct{})}
	close(l.opened)
	n.mu.Lock()
	n.listeners[l] = struct{}{}
	n.mu.Unlock()
	l.update()
	return l, nil
}

// Accept returns the next connection.
func (l *Listener) Accept() (*Conn, error) {
	for {
		l.mu.Lock()
		opened := l.opened
		closed := l.closed
		filler := l.fillerAddr
		l.mu.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		<-opened
		c, err := l.tcp.AcceptTCP()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue // blocked meanwhile
		}
		if err != nil {
			return nil, err
		}
		if c.RemoteAddr().String() == filler {
			c.Close()
			continue
		}
		return l.network.Wrap(c, l.near, l.far), nil
	}
}

// ResetPending resets the connections that the kernel took before the listener was blocked and that nobody has accepted:
// a machine that comes back knows nothing of them. It does nothing on a listener that is not blocked.
func (l *Listener) ResetPending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || !l.blocked {
		return
	}
	for {
		l.tcp.SetDeadline(time.Now().Add(pendingWait))
		c, err := l.tcp.AcceptTCP()
		if err != nil {
			l.tcp.SetDeadline(longAgo)
			return
		}
		_ = c.SetLinger(0) // an error means that it is closed already
		c.Close()
	}
}

// SetFull makes connections not come up because near takes no more, or come up again.
func (l *Listener) SetFull(full bool) {
	l.mu.Lock()
	l.full = full
	l.mu.Unlock()
	l.update()
}

// update blocks or opens the listener, as the link and its owner have it now.
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
		l.open()
	}
}

// block takes no more connections. l.mu is held.
func (l *Listener) block() {
	l.blocked = true
	l.opened = make(chan struct{})
	l.tcp.SetDeadline(longAgo) // who is in Accept is to wait for opened instead
	l.setBacklog(0)
	if c, err := net.DialTimeout("tcp", l.tcp.Addr().String(), fillTimeout); err == nil {
		l.filler = c
		l.fillerAddr = c.LocalAddr().String()
	}
}

// open takes connections again. l.mu is held.
func (l *Listener) open() {
	l.blocked = false
	l.closeFiller()
	l.setBacklog(backlog)
	l.tcp.SetDeadline(time.Time{})
	close(l.opened)
}

func (l *Listener) closeFiller() {
	if l.filler != nil {
		l.filler.Close()
		l.filler = nil
	}
}

// setBacklog sets how many connections the kernel keeps for Accept; 0: one.
func (l *Listener) setBacklog(n int) {
	raw, err := l.tcp.SyscallConn()
	if err != nil {
		return // it is closed
	}
	// An error means that the listener was closed meanwhile.
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
}

// Close ends the listener: new connections are refused.
func (l *Listener) Close() error {
	l.network.mu.Lock()
	delete(l.network.listeners, l)
	l.network.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.blocked {
		close(l.opened)
		l.blocked = false
	}
	l.closeFiller()
	return l.tcp.Close()
}
