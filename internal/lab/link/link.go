// Package link carries the connections of an emulated network. What a connection passes on takes as long as the way
// between its two parties takes at that moment; where the way is cut it falls silent without being reset, and new
// connections do not come up. One connection has the kernel's own buffers and order; this package only holds its bytes
// back.
package link

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"sprucehill/internal/lab/day"
)

// Net is the network of one day.
type Net struct {
	mu        sync.Mutex
	paths     *day.Paths
	rng       *rand.Rand
	gone      map[day.Party]bool // machines that have vanished
	changed   chan struct{}      // closed at the next change
	conns     map[*Conn]struct{}
	listeners map[*Listener]struct{}
}

// New returns a network whose ways are as paths has them.
func New(paths *day.Paths, seed uint64) *Net {
	return &Net{paths: paths, rng: rand.New(rand.NewPCG(seed, 0x6c696e6b)), gone: map[day.Party]bool{},
		changed: make(chan struct{}), conns: map[*Conn]struct{}{}, listeners: map[*Listener]struct{}{}}
}

// Set begins or ends fault i. reset tells that the fault resets open connections.
func (n *Net) Set(i int, on, reset bool) {
	n.mu.Lock()
	n.paths.Set(i, on)
	var hit []*Conn
	for c := range n.conns {
		if on && reset && (n.paths.Hits(i, c.near, c.far) || n.paths.Hits(i, c.far, c.near)) {
			hit = append(hit, c)
		}
	}
	n.tell()
	n.mu.Unlock()
	for _, c := range hit {
		c.Reset()
	}
	n.apply()
}

// Vanish takes a machine off the network, or brings it back. Back, it resets what others still hold open to it.
func (n *Net) Vanish(p day.Party, on bool) {
	if !on { // before anything that it holds back could still arrive
		n.ResetAll(p)
	}
	n.mu.Lock()
	n.gone[p] = on
	n.tell()
	n.mu.Unlock()
	n.apply()
}

// ResetAll resets every connection of a party, as when its process dies.
func (n *Net) ResetAll(p day.Party) {
	n.mu.Lock()
	var hit []*Conn
	for c := range n.conns {
		if c.near == p || c.far == p {
			hit = append(hit, c)
		}
	}
	n.mu.Unlock()
	for _, c := range hit {
		c.Reset()
	}
}

// tell wakes those who wait for a change. n.mu is held.
func (n *Net) tell() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// apply makes listeners take connections or not, as the ways have it now.
func (n *Net) apply() {
	n.mu.Lock()
	all := make([]*Listener, 0, len(n.listeners))
	for l := range n.listeners {
		all = append(all, l)
	}
	n.mu.Unlock()
	for _, l := range all {
		l.adapt()
	}
}

// cut tells whether a connection between two parties can't come up. n.mu is held.
func (n *Net) cut(a, b day.Party) bool {
	return n.gone[a] || n.gone[b] || n.paths.Now(a, b).Cut || n.paths.Now(b, a).Cut
}

// lag is how long a message of size bytes takes one way from now on; cut: it does not pass, ask again at a change.
func (n *Net) lag(from, to day.Party, size int) (d time.Duration, cut bool, changed <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.paths.Now(from, to)
	if c.Cut || n.gone[from] || n.gone[to] {
		return 0, true, n.changed
	}
	return c.Lag(float64(size), n.rng.Float64), false, n.changed
}

// Conn is a connection between two parties, at the near one's end.
type Conn struct {
	net.Conn
	net       *Net
	near, far day.Party
	closed    chan struct{}
	once      sync.Once
}

// Wrap makes an open connection one of the network.
func (n *Net) Wrap(c net.Conn, near, far day.Party) *Conn {
	wrapped := &Conn{Conn: c, net: n, near: near, far: far, closed: make(chan struct{})}
	n.mu.Lock()
	n.conns[wrapped] = struct{}{}
	n.mu.Unlock()
	return wrapped
}

// pass waits for as long as size bytes that set out at a moment are under way, or until the connection is closed.
func (c *Conn) pass(from, to day.Party, size int, at time.Time) error {
	for {
		d, cut, changed := c.net.lag(from, to, size)
		if cut {
			select {
			case <-changed:
				at = time.Now() // it is sent again when the way is whole
				continue
			case <-c.closed:
				return net.ErrClosed
			}
		}
		if d -= time.Since(at); d <= 0 {
			return nil
		}
		wait := time.NewTimer(d)
		defer wait.Stop()
		select {
		case <-wait.C:
			if _, cut, _ := c.net.lag(from, to, 0); !cut {
				return nil
			}
		case <-c.closed:
			return net.ErrClosed
		}
	}
}

// Read returns what the far party sent, when it has come all the way. An end of the connection takes the way too.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return n, err
	}
	if e := c.pass(c.far, c.near, n, time.Now()); e != nil {
		return 0, e
	}
	return n, err
}

// Write sends p; it returns when p has come all the way to the far party's buffers.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.pass(c.near, c.far, len(p), time.Now()); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Pending looks, without waiting, whether something has come that was not read, or the end of the connection.
func (c *Conn) Pending() (waiting, ended bool) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false, true
	}
	var n int
	var peekErr error
	if err := raw.Read(func(fd uintptr) bool {
		n, _, peekErr = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}); err != nil {
		return false, true
	}
	return n > 0, n <= 0 && !errors.Is(peekErr, syscall.EAGAIN)
}

// Close closes the connection; the far party learns of it as the way permits.
func (c *Conn) Close() error {
	c.leave()
	return c.Conn.Close()
}

// Reset closes the connection at once, also under what is being sent.
func (c *Conn) Reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // an error means that it is closed already
	}
	c.Close()
}

func (c *Conn) leave() {
	c.once.Do(func() {
		close(c.closed)
		c.net.mu.Lock()
		delete(c.net.conns, c)
		c.net.mu.Unlock()
	})
}

// Dial opens a connection from near to far at an address. It waits while the way is cut, until ctx ends.
func (n *Net) Dial(ctx context.Context, near, far day.Party, address string) (*Conn, error) {
	for {
		n.mu.Lock()
		cut, changed := n.cut(near, far), n.changed
		n.mu.Unlock()
		if !cut {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return n.Wrap(c, near, far), nil
}

// forgetWait is how long Forget looks for a connection that waits.
const forgetWait = 2 * time.Millisecond

// Listener takes connections from one party for another.
type Listener struct {
	net      *Net
	near     day.Party
	far      day.Party
	mu       sync.Mutex
	tcp      *net.TCPListener
	full     bool // its owner takes no more
	blocked  bool
	opened   chan struct{} // closed when connections are taken again
	filler   net.Conn
	fillerAt string
	shut     bool
}

const backlog = 1024

// Listen takes connections that far opens to near at an address of near's for far alone.
func (n *Net) Listen(near, far day.Party, address string) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("an emulated address is not free: %w", err)
	}
	own := &Listener{net: n, near: near, far: far, tcp: l.(*net.TCPListener), opened: make(chan struct{})}
	close(own.opened)
	n.mu.Lock()
	n.listeners[own] = struct{}{}
	n.mu.Unlock()
	own.adapt()
	return own, nil
}

// Accept returns the next connection.
func (l *Listener) Accept() (*Conn, error) {
	for {
		l.mu.Lock()
		opened, shut, filler := l.opened, l.shut, l.fillerAt
		l.mu.Unlock()
		if shut {
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
		return l.net.Wrap(c, l.near, l.far), nil
	}
}

// Forget resets what the kernel had taken before the listener was blocked and nobody has accepted: a machine that comes
// back knows nothing of it. It does nothing on a listener that is not blocked.
func (l *Listener) Forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shut || !l.blocked {
		return
	}
	for {
		l.tcp.SetDeadline(time.Now().Add(forgetWait))
		c, err := l.tcp.AcceptTCP()
		if err != nil {
			l.tcp.SetDeadline(time.Unix(1, 0))
			return
		}
		_ = c.SetLinger(0) // an error means that it is closed already
		c.Close()
	}
}

// Full makes connections not come up because near takes no more, or come up again.
func (l *Listener) Full(full bool) {
	l.mu.Lock()
	l.full = full
	l.mu.Unlock()
	l.adapt()
}

// adapt makes the kernel take connections, or leave them without an answer: with a queue of one place that is filled,
// it drops every further SYN, as a network would that is cut.
func (l *Listener) adapt() {
	l.net.mu.Lock()
	cut := l.net.cut(l.near, l.far)
	l.net.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	block := cut || l.full
	if l.shut || block == l.blocked {
		return
	}
	l.blocked = block
	if block {
		l.opened = make(chan struct{})
		l.tcp.SetDeadline(time.Unix(1, 0)) // whoever waits in Accept is to wait for opened instead
		l.queue(0)
		if c, err := net.DialTimeout("tcp", l.tcp.Addr().String(), time.Second); err == nil {
			l.filler, l.fillerAt = c, c.LocalAddr().String()
		}
		return
	}
	if l.filler != nil {
		l.filler.Close()
		l.filler = nil
	}
	l.queue(backlog)
	l.tcp.SetDeadline(time.Time{})
	close(l.opened)
}

// queue sets how many connections the kernel keeps for Accept.
func (l *Listener) queue(n int) {
	raw, err := l.tcp.SyscallConn()
	if err != nil {
		return // it is closed
	}
	// An error means that the listener was closed meanwhile.
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
}

// Close ends the listener: new connections are refused.
func (l *Listener) Close() error {
	l.net.mu.Lock()
	delete(l.net.listeners, l)
	l.net.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shut = true
	if l.blocked {
		close(l.opened)
		l.blocked = false
	}
	if l.filler != nil {
		l.filler.Close()
	}
	return l.tcp.Close()
}
