package upstream

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"sprucehill/internal/socket"
)

// Bytes that an upstream has sent are read although the limit for its rest has passed. Guards against a stream that is cut off because
// this process was held up.
func TestLateReadOfAResponseIsNotARest(t *testing.T) {
	for _, sent := range []string{"", "bytes"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
		peer, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer peer.Close()
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := peer.Write([]byte(sent)); err != nil {
			t.Fatal(err)
		}
		awaitUnread(t, c, sent != "")
		reader := restReader{conn: c, limit: time.Nanosecond} // has passed when the read begins
		got := make([]byte, len("bytes"))
		n, err := reader.Read(got)
		if timedOut := errors.Is(err, os.ErrDeadlineExceeded); string(got[:n]) != sent || timedOut != (sent == "") {
			t.Errorf("read %q, timed out %v; want %q, %v", got[:n], timedOut, sent, sent == "")
		}
		reader.cancelled.Store(true)
		if _, err := peer.Write([]byte("more")); err != nil {
			t.Fatal(err)
		}
		awaitUnread(t, c, true)
		if _, err = reader.Read(got); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("a cancelled read: got %v, want %v", err, os.ErrDeadlineExceeded)
		}
	}
}

// awaitUnread waits until a connection has unread bytes, or none.
func awaitUnread(t *testing.T, c net.Conn, want bool) {
	t.Helper()
	const limit = 10 * time.Second
	for began := time.Now(); socket.HasUnread(c) != want; time.Sleep(time.Millisecond) {
		if time.Since(began) > limit {
			t.Fatalf("unread bytes are not as expected after %v", limit)
		}
	}
}
