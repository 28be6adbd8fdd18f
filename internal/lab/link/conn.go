package link

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"sprucehill/internal/lab/scenario"
)

// Conn is the near party's end of a connection to the far party.
type Conn struct {
	net.Conn
	network   *Network
	near, far scenario.Party
	closed    chan struct{}
	closeOnce sync.Once // for closed
}

// Wrap puts an established connection under the control of the network.
func (n *Network) Wrap(c net.Conn, near, far scenario.Party) *Conn {
	wrapped := &Conn{Conn: c, network: n, near: near, far: far, closed: make(chan struct{})}
	n.mu.Lock()
	n.conns[wrapped] = struct{}{}
	n.mu.Unlock()
	return wrapped
}

// waitInTransit waits until size bytes that were sent at a given time have passed the link, or until the connection is
// closed. Bytes that a cut holds back are sent again, with the full delay, when the link is up.
func (c *Conn) waitInTransit(from, to scenario.Party, size int, sentAt time.Time) error {
	for {
		t := c.network.transit(from, to, size)
		if t.cut {
			select {
			case <-t.changed:
				sentAt = time.Now()
				continue
			case <-c.closed:
				return net.ErrClosed
			}
		}
		remaining := t.delay - time.Since(sentAt)
		if remaining <= 0 {
			return nil
		}
		if err := c.sleep(remaining); err != nil {
			return err
		}
		if !c.network.transit(from, to, 0).cut {
			return nil
		}
	}
}

// sleep waits for d, or until the connection is closed.
func (c *Conn) sleep(d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

// Read returns what the far party sent, delayed by the link. The end of the connection is delayed too.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
		return n, err
	}
	if err := c.waitInTransit(c.far, c.near, n, time.Now()); err != nil {
		return 0, err
	}
	return n, err
}

// Write delays p by the link and then writes it to the socket, so that p is in the far party's receive buffer when Write
// returns.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.waitInTransit(c.near, c.far, len(p), time.Now()); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Pending reports, without blocking, whether there are unread bytes and whether the connection has ended.
func (c *Conn) Pending() (unread, ended bool) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false, true
	}
	var n int
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		n, _, peekErr = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return false, true
	}
	return n > 0, n <= 0 && !errors.Is(peekErr, syscall.EAGAIN)
}

// Close closes the connection. The far party sees the end of the stream when the link delivers it.
func (c *Conn) Close() error {
	c.unregister()
	return c.Conn.Close()
}

// Reset aborts the connection, with a TCP RST, even while data is being sent.
func (c *Conn) Reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // an error means that the socket is closed already
	}
	c.Close()
}

// unregister ends the waits of the connection and removes it from the network.
func (c *Conn) unregister() {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
}
