package framing

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// failureTimeout is how long a test waits for what has to come. Only a failure takes that long.
const failureTimeout = 30 * time.Second

// A response that is to be its connection's last ends reading: what comes behind it is given to nobody, and the connection
// closes as soon as it is idle. Where a part of the next request has been read before, that request is answered.
func TestEndAfterResponse(t *testing.T) {
	const head = "GET /read/x HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, behind := range []string{"", head[:1], head} {
		client, conn := net.Pipe()
		defer client.Close()
		c := NewConn(conn, func() time.Duration { return 0 }, failureTimeout)
		read := func(text string) error {
			go func() { _, _ = io.WriteString(client, text) }()
			_, err := io.ReadFull(c, make([]byte, len(text)))
			return err
		}
		if err := read(head + behind); err != nil {
			t.Fatal(err)
		}
		c.EndAfterResponse()
		err := read("more")
		assertEqual(t, "reading has ended", errors.Is(err, net.ErrClosed), behind == "")
		assertEqual(t, "closes during the response", c.CloseIfIdle(), false)
		c.OnAnswered()
		assertEqual(t, "closes after it", c.CloseIfIdle(), behind == "")
		assertEqual(t, "closes twice", c.CloseIfIdle(), false)
	}
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
	c := &Conn{Conn: pipeConn{file: read}}
	assertEqual(t, "left", c.ClosedByClient(), false)
	read.Close()
	assertEqual(t, "left, where this side has closed", c.ClosedByClient(), true)
}

// assertEqual fails the test if got is not want.
func assertEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}
