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

// failureTimeout bounds the waits of the tests. Only a failing test waits that long.
const failureTimeout = 30 * time.Second

// EndAfterResponse ends reading: bytes after the current request are dropped, and the connection can be closed as soon as
// it is idle. If a part of the next request has been read before, that request is answered instead.
func TestEndAfterResponse(t *testing.T) {
	const head = "GET /read/x HTTP/1.1\r\nHost: x\r\n\r\n"
	for _, next := range []string{"", head[:1], head} {
		client, conn := net.Pipe()
		defer client.Close()
		c := NewConn(conn, func() time.Duration { return 0 }, failureTimeout)
		read := func(text string) error {
			go func() { _, _ = io.WriteString(client, text) }()
			_, err := io.ReadFull(c, make([]byte, len(text)))
			return err
		}
		if err := read(head + next); err != nil {
			t.Fatal(err)
		}
		c.EndAfterResponse()
		err := read("more")
		assertEqual(t, "reading has ended", errors.Is(err, net.ErrClosed), next == "")
		assertEqual(t, "closed before the response has ended", c.CloseIfIdle(), false)
		c.MarkAnswered()
		assertEqual(t, "closed after the response", c.CloseIfIdle(), next == "")
		assertEqual(t, "closed a second time", c.CloseIfIdle(), false)
	}
}

// pipeConn is a connection whose descriptor is not a socket, so that a peek fails with an error that is no disconnect.
type pipeConn struct {
	net.Conn
	file *os.File
}

func (c pipeConn) SyscallConn() (syscall.RawConn, error) { return c.file.SyscallConn() }

// A failed peek, for example for lack of memory, does not count as a disconnect, which would drop the client's request. A
// connection that has been closed on this side counts as one.
func TestFailedPeekIsNoDisconnect(t *testing.T) {
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer read.Close()
	defer write.Close()
	c := &Conn{Conn: pipeConn{file: read}}
	assertEqual(t, "disconnected after a failed peek", c.ClosedByClient(), false)
	read.Close()
	assertEqual(t, "disconnected after a close on this side", c.ClosedByClient(), true)
}

// assertEqual fails the test if got is not want.
func assertEqual(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}
