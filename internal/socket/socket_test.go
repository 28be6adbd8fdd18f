package socket

import (
	"net"
	"testing"
	"time"
)

// failureTimeout is how long a test waits for what has to come. Only a failure takes that long.
const failureTimeout = 30 * time.Second

// A look at a socket shows its state, and takes nothing out of it.
func TestPeekSocket(t *testing.T) {
	for _, x := range []struct {
		name  string
		act   func(other *net.TCPConn) error
		state State
	}{
		{"open", func(*net.TCPConn) error { return nil }, Quiet},
		{"bytes wait", func(other *net.TCPConn) error { _, err := other.Write([]byte("x")); return err }, Readable},
		{"sending side closed", func(other *net.TCPConn) error { return other.CloseWrite() }, Closed},
		{"closed", func(other *net.TCPConn) error { return other.Close() }, Closed},
		{"reset", func(other *net.TCPConn) error { other.SetLinger(0); return other.Close() }, Closed},
	} {
		t.Run(x.name, func(t *testing.T) {
			c, other := tcpPair(t)
			if err := x.act(other); err != nil {
				t.Fatal(err)
			}
			eventually(t, "the state is seen", func() bool {
				state, err := Peek(c)
				return err == nil && state == x.state
			})
			state, err := Peek(c)
			assertEqual(t, "state at a second look", state, x.state)
			assertEqual(t, "error", err, nil)
		})
	}
	t.Run("closed on this side", func(t *testing.T) {
		c, _ := tcpPair(t)
		c.Close()
		if _, err := Peek(c); err == nil {
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

// assertEqual fails the test if got is not want.
func assertEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

// eventually waits until a condition holds. Only a failure takes long.
func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for limit := time.Now().Add(failureTimeout); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("never came true: %s", what)
		}
	}
}
