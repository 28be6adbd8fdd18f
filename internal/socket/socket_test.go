package socket

import (
	"net"
	"testing"
	"time"
)

// failureTimeout bounds the waits of the tests. Only a failing test waits that long.
const failureTimeout = 30 * time.Second

// Peek returns the state of a socket and consumes no data: a second call returns the same.
func TestPeekSocket(t *testing.T) {
	for _, test := range []struct {
		name   string
		action func(peer *net.TCPConn) error
		state  State
	}{
		{"open", func(*net.TCPConn) error { return nil }, Idle},
		{"bytes wait", func(peer *net.TCPConn) error { _, err := peer.Write([]byte("x")); return err }, Readable},
		{"write side closed", func(peer *net.TCPConn) error { return peer.CloseWrite() }, Closed},
		{"closed", func(peer *net.TCPConn) error { return peer.Close() }, Closed},
		{"reset", func(peer *net.TCPConn) error { peer.SetLinger(0); return peer.Close() }, Closed},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, peer := tcpPair(t)
			if err := test.action(peer); err != nil {
				t.Fatal(err)
			}
			eventually(t, "Peek returns the state", func() bool {
				state, err := Peek(c)
				return err == nil && state == test.state
			})
			state, err := Peek(c)
			assertEqual(t, "state at a second call", state, test.state)
			assertEqual(t, "error", err, nil)
		})
	}
	t.Run("closed on this side", func(t *testing.T) {
		c, _ := tcpPair(t)
		c.Close()
		if _, err := Peek(c); err == nil {
			t.Error("Peek returned no error")
		}
	})
}

// PeerClosed reports a close or reset also while data that arrived before is unread, and neither consumes that data nor takes
// it for a close. Guards against a close that goes unnoticed until the data has been read.
func TestPeerClosed(t *testing.T) {
	for _, test := range []struct {
		name   string
		unread string // what the peer sends before its action
		action func(peer *net.TCPConn) error
		closed bool
	}{
		{"open", "", func(*net.TCPConn) error { return nil }, false},
		{"open with unread data", "unread", func(*net.TCPConn) error { return nil }, false},
		{"closed", "", func(peer *net.TCPConn) error { return peer.Close() }, true},
		{"closed behind unread data", "unread", func(peer *net.TCPConn) error { return peer.Close() }, true},
		{"write side closed behind unread data", "unread", func(peer *net.TCPConn) error { return peer.CloseWrite() }, true},
		{"reset behind unread data", "unread", func(peer *net.TCPConn) error { peer.SetLinger(0); return peer.Close() }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, peer := tcpPair(t)
			if _, err := peer.Write([]byte(test.unread)); err != nil {
				t.Fatal(err)
			}
			eventually(t, "the data has arrived", func() bool {
				state, err := Peek(c)
				return err == nil && (state == Readable) == (test.unread != "")
			})
			if err := test.action(peer); err != nil {
				t.Fatal(err)
			}
			eventually(t, "PeerClosed returns the state", func() bool {
				closed, err := PeerClosed(c)
				return err == nil && closed == test.closed
			})
			closed, err := PeerClosed(c)
			assertEqual(t, "closed at a second call", closed, test.closed)
			assertEqual(t, "error", err, nil)
		})
	}
	t.Run("closed on this side", func(t *testing.T) {
		c, _ := tcpPair(t)
		c.Close()
		if _, err := PeerClosed(c); err == nil {
			t.Error("PeerClosed returned no error")
		}
	})
}

// tcpPair returns the two ends of a TCP connection.
func tcpPair(t *testing.T) (conn, peer *net.TCPConn) {
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

// assertEqual fails the test if got is not want.
func assertEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// eventually waits until a condition holds. It fails the test after failureTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(failureTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", failureTimeout, what)
		}
	}
}
