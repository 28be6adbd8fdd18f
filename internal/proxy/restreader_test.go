package proxy

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
		eventually(t, "the bytes have arrived", func() bool { return socket.HasUnread(c) == (sent != "") })
		reader := restReader{conn: c, limit: time.Nanosecond} // has passed when the read begins
		got := make([]byte, len("bytes"))
		n, err := reader.Read(got)
		assertEqual(t, "read", string(got[:n]), sent)
		assertEqual(t, "timed out", errors.Is(err, os.ErrDeadlineExceeded), sent == "")
		reader.cancelled.Store(true)
		if _, err := peer.Write([]byte("more")); err != nil {
			t.Fatal(err)
		}
		eventually(t, "more bytes have arrived", func() bool { return socket.HasUnread(c) })
		_, err = reader.Read(got)
		assertEqual(t, "timed out once it is cancelled", errors.Is(err, os.ErrDeadlineExceeded), true)
	}
}
