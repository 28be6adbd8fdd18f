package proxy

import (
	"net"
	"os"
	"syscall"
	"testing"
)

// A look at a socket shows its state, and takes nothing out of it.
func TestPeekSocket(t *testing.T) {
	for _, x := range []struct {
		name  string
		act   func(other *net.TCPConn) error
		state socketState
	}{
		{"open", func(*net.TCPConn) error { return nil }, socketQuiet},
		{"bytes wait", func(other *net.TCPConn) error { _, err := other.Write([]byte("x")); return err }, socketReadable},
		{"sending side closed", func(other *net.TCPConn) error { return other.CloseWrite() }, socketClosed},
		{"closed", func(other *net.TCPConn) error { return other.Close() }, socketClosed},
		{"reset", func(other *net.TCPConn) error { other.SetLinger(0); return other.Close() }, socketClosed},
	} {
		t.Run(x.name, func(t *testing.T) {
			c, other := tcpPair(t)
			if err := x.act(other); err != nil {
				t.Fatal(err)
			}
			eventually(t, "the state is seen", func() bool {
				state, err := peekSocket(c)
				return err == nil && state == x.state
			})
			state, err := peekSocket(c)
			assertEqual(t, "state at a second look", state, x.state)
			assertEqual(t, "error", err, nil)
		})
	}
	t.Run("closed on this side", func(t *testing.T) {
		c, _ := tcpPair(t)
		c.Close()
		if _, err := peekSocket(c); err == nil {
			t.Error("no error")
		}
	})
}

// tcpPair returns the two ends of a connection.
func tcpPair(t *testing.T) (one, other *net.TCPConn) {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialed, err := net.DialTCP("tcp", nil, l.Addr().(*net.TCPAddr))
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		dialed.Close()
		accepted.Close()
	})
	return dialed, accepted
}

// pipeConn is a connection whose descriptor is no socket: a look at it fails for a reason that says nothing of the peer.
type pipeConn struct {
	net.Conn
	file *os.File
}

func (c pipeConn) SyscallConn() (syscall.RawConn, error) { return c.file.SyscallConn() }

// A look that fails, for lack of memory as well, is not taken for a client that has left: its request would be dropped.
func TestFailedPeekIsNoDisconnect(t *testing.T) {
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer read.Close()
	defer write.Close()
	c := &framingConn{Conn: pipeConn{file: read}}
	assertEqual(t, "left", c.closedByClient(), false)
	read.Close()
	assertEqual(t, "left, where this side has closed", c.closedByClient(), true)
}
