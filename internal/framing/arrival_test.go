package framing

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"sprucehill/internal/socket"
)

// arrivalTolerance is the precision of Arrival: the kernel's clock of arrivals may have ticks of 10 ms.
const arrivalTolerance = 15 * time.Millisecond

// chunkedBody returns a chunked body whose chunks have the given sizes, with an extension and a trailer.
func chunkedBody(sizes ...int) string {
	var b strings.Builder
	for _, size := range sizes {
		fmt.Fprintf(&b, "%x;a=b\r\n%s\r\n", size, strings.Repeat("0\r\n\r\n", size/5+1)[:size])
	}
	return b.String() + "0\r\nX-Trailer: y\r\n\r\n"
}

// Arrival finds the last byte of a request although it has not been read, in every framing, wherever the body is cut, and not
// before it has arrived. Guards against counting the time of a request from when its last byte is read.
func TestArrivalOfUnreadLastByte(t *testing.T) {
	const head = "POST /x HTTP/1.1\r\nHost: x\r\n"
	manySmall := make([]int, 3000)
	for i := range manySmall {
		manySmall[i] = 1 + i%20
	}
	for _, test := range []struct{ name, request, following string }{
		{"length", head + "Content-Length: 30000\r\n\r\n" + strings.Repeat("x", 30000), ""},
		{"chunked", head + "Transfer-Encoding: chunked\r\n\r\n" + chunkedBody(1, 17, 20000, 9), ""},
		{"many small chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + chunkedBody(manySmall...), ""},
		{"followed by another request", head + "Transfer-Encoding: chunked\r\n\r\n" + chunkedBody(100), head + "\r\n"},
	} {
		headLength := strings.Index(test.request, "\r\n\r\n") + 4
		for _, read := range []int{headLength, headLength + 1, headLength + 4, headLength + 90} { // bytes that are read
			for _, missing := range []int{1, 2, 5} { // the last bytes, which arrive later
				t.Run(fmt.Sprintf("%s, %d bytes read, the last %d later", test.name, read, missing), func(t *testing.T) {
					c, client := connPair(t)
					cut := len(test.request) - missing
					writeAll(t, client, test.request[:cut])
					mustRead(t, c, read)
					awaitUnread(t, c, cut-read)
					for range 20 { // the search may go on over several calls
						if at, ok := c.Arrival(); ok {
							t.Fatalf("arrived at %v, but its last bytes have not been sent", at)
						}
					}
					time.Sleep(2 * arrivalTolerance)
					sentAt := c.now()
					writeAll(t, client, test.request[cut:]+test.following)
					awaitUnread(t, c, len(test.request)+len(test.following)-read)
					at, ok := searchArrival(c)
					if !ok || at < sentAt-arrivalTolerance || at > c.now() {
						t.Fatalf("Arrival returns %v, %v, sent at %v", at, ok, sentAt)
					}
					time.Sleep(2 * arrivalTolerance)
					mustRead(t, c, len(test.request)-read)
					assertEqual(t, "arrival, once it has been read", c.ArrivedAt(), at)
				})
			}
		}
	}
}

// searchArrival calls Arrival as often as the search in a long body needs.
func searchArrival(c *Conn) (at time.Duration, ok bool) {
	for range 20 {
		if at, ok = c.Arrival(); ok {
			return at, true
		}
	}
	return 0, false
}

// A reader that overtakes the search, and a read that is in progress, do not confuse it.
func TestArrivalBetweenReads(t *testing.T) {
	request := "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedBody(300, 300, 300, 300, 300, 300, 300)
	c, client := connPair(t)
	for sent := 0; sent < len(request)-1; sent += 100 {
		part := request[sent:min(sent+100, len(request)-1)]
		writeAll(t, client, part)
		awaitUnread(t, c, len(part))
		if _, ok := c.Arrival(); ok {
			t.Fatalf("complete after %d of %d bytes", sent+len(part), len(request))
		}
		mustRead(t, c, len(part))
	}
	read := make(chan error)
	go func() {
		_, err := io.ReadFull(c, make([]byte, 1))
		read <- err
	}()
	for range 100 {
		if _, ok := c.Arrival(); ok {
			t.Fatal("complete while the last byte is awaited")
		}
	}
	writeAll(t, client, request[len(request)-1:])
	if err := <-read; err != nil {
		t.Fatal(err)
	}
	_, ok := c.Arrival()
	assertEqual(t, "complete once it has been read", ok, true)
}

// connPair returns a Conn and its client.
func connPair(t *testing.T) (c *Conn, client net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if client, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		accepted.Close()
	})
	began := time.Now()
	return NewConn(accepted, func() time.Duration { return time.Since(began) }, failureTimeout), client
}

func writeAll(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func mustRead(t *testing.T, c *Conn, n int) {
	t.Helper()
	if _, err := io.CopyN(new(bytes.Buffer), c, int64(n)); err != nil {
		t.Fatal(err)
	}
}

// awaitUnread waits until n bytes are unread.
func awaitUnread(t *testing.T, c *Conn, n int) {
	t.Helper()
	for limit := time.Now().Add(failureTimeout); ; time.Sleep(time.Millisecond) {
		got, err := socket.Unread(c.Conn.(*net.TCPConn))
		if err == nil && got == n {
			return
		}
		if time.Now().After(limit) {
			t.Fatalf("%d bytes are unread, %v, want %d", got, err, n)
		}
	}
}

// A deadline that passes while a part of a body waits to be read doesn't end the body: the client has sent it, this process is late.
// Nothing changes where nothing waits, or in a head, whose time is bounded as a whole.
func TestLateReadOfABodyIsNotATimeout(t *testing.T) {
	const (
		head = "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\n"
		part = "12345"
	)
	for _, test := range []struct {
		name, read, unread string
		timesOut           bool
	}{
		{"body", head, part, false},
		{"nothing waits", head, "", true},
		{"head", head[:10], head[10:], true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, client := connPair(t)
			writeAll(t, client, test.read)
			mustRead(t, c, len(test.read))
			writeAll(t, client, test.unread)
			awaitUnread(t, c, len(test.unread))
			if err := c.SetReadDeadline(time.Now().Add(-time.Second)); err != nil {
				t.Fatal(err)
			}
			got := make([]byte, len(head))
			n, err := c.Read(got)
			assertEqual(t, "timed out", errors.Is(err, os.ErrDeadlineExceeded), test.timesOut)
			if !test.timesOut {
				assertEqual(t, "read", string(got[:n]), test.unread)
			}
		})
	}
}
