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

// Conn is a connection between two parties, at the near one's end.
type Conn struct {
	net.Conn
	network   *Network
	near, far scenario.Party
	closed    chan struct{}
	once      sync.Once // closes closed
}

// Wrap makes an open connection one of the network.
func (n *Network) Wrap(c net.Conn, near, far scenario.Party) *Conn {
	wrapped := &Conn{Conn: c, network: n, near: near, far: far, closed: make(chan struct{})}
	n.mu.Lock()
	n.conns[wrapped] = struct{}{}
	n.mu.Unlock()
	return wrapped
}

// waitInTransit waits for as long as size bytes that set out at a moment are in transit, or until the connection is
// closed.
func (c *Conn) waitInTransit(from, to scenario.Party, size int, setOutAt time.Time) error {
	for {
		t := c.network.transit(from, to, size)
		if t.cut {
			select {
			case <-t.changed:
				setOutAt = time.Now() // it is sent again once the link is up
				continue
			case <-c.closed:
				return net.ErrClosed
			}
		}
		left := t.delay - time.Since(setOutAt)
		if left <= 0 {
			return nil
		}
		if err := c.sleep(left); err != nil {
			return err
		}
		if !c.network.transit(from, to, 0).cut {
			return nil
		}
	}
}

// sleep waits for a time, or until the connection is closed.
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

// Read returns what the far party sent, once it has arrived. The end of the connection is delayed too.
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

// Write sends p. It returns when p has arrived in the far party's buffers.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.waitInTransit(c.near, c.far, len(p), time.Now()); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Pending reports, without waiting, whether there are unread bytes or the end of the connection.
func (c *Conn) Pending() (waiting, ended bool) {
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

// Close closes the connection. The far party notices when the link lets the end through.
func (c *Conn) Close() error {
	c.unregister()
	return c.Conn.Close()
}

// Reset closes the connection at once, also under what is being sent.
func (c *Conn) Reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // an error means that it is closed already
	}
	c.Close()
}

func (c *Conn) unregister() {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
}
