package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Nothing is held back: what has come of a response reaches the client while the upstream is still writing.
func TestResponseIsStreamedAsItComes(t *testing.T) {
	more := make(chan struct{})
	s := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nfirst", 1<<20)
		<-more
		_, err := io.Copy(c, patternReader(1<<20-5))
		return err == nil
	})
	b := newBalancer(t, activeMember("s-00000001", s))
	resp, err := b.client.Do(b.newRequest("checkin", ""))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	first := make([]byte, 5)
	if _, err := io.ReadFull(resp.Body, first); err != nil || string(first) != "first" {
		t.Fatalf("got %q, %v", first, err)
	}
	close(more)
	n, err := io.Copy(io.Discard, resp.Body)
	assertEqual(t, "the rest", n, int64(1<<20-5))
	if err != nil {
		t.Error(err)
	}
}

// A response that breaks off in the middle is not retried, and its client can tell.
func TestBrokenResponseIsVisibleToTheClient(t *testing.T) {
	for _, head := range []string{"Content-Length: 1000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n20000\r\n"} {
		s := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head)
			io.Copy(c, patternReader(100_000))
			return false
		})
		b := newBalancer(t, activeMember("s-00000001", s))
		resp, err := b.client.Do(b.newRequest("read", ""))
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		if err == nil {
			t.Errorf("%q: taken for complete", head)
		}
		assertEqual(t, "requests at the upstream", len(s.arrivals), 1)
	}
}

// A response that announces more than the greatest valid length is broken: nothing of it is passed on, and a request that
// may be executed twice is retried. Its beginning used to reach the client, on a connection that then broke.
func TestResponseOfExcessiveLengthIsNotForwarded(t *testing.T) {
	for class, status := range map[string]int{"read": 200, "checkin": 502} {
		first := true // one request at a time
		s := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
			if !first {
				return respondOK(c, r)
			}
			first = false
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nbeginning", maxResponseLength+1)
			return false
		})
		b := newBalancer(t, activeMember("s-00000001", s))
		got, _ := b.do(t, b.newRequest(class, ""))
		assertEqual(t, class, got, status)
		b.awaitSettled(t)
	}
}

// The limit on what is read of one response does not end it: one of unknown length, behind a head that took most of the
// limit, used to be served as complete where the limit cut it.
func TestReadLimitDoesNotEndAResponse(t *testing.T) {
	s := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Long: "+strings.Repeat("x", maxResponseRead-10_000)+"\r\n\r\n")
		io.Copy(c, patternReader(50_000))
		return false
	})
	b := newBalancer(t, activeMember("s-00000001", s))
	status, _ := b.do(t, b.newRequest("checkin", ""))
	assertEqual(t, "status", status, 502)
	b.awaitSettled(t)
}

// Clients that read nothing of large responses cost no more than the buffers of their connections.
func TestStreamsApplyBackpressure(t *testing.T) {
	var wrote [8]int64
	done := make(chan int, 8)
	next := 0
	s := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool {
		i := next
		next++
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 64<<20)
		c.SetWriteDeadline(time.Now().Add(time.Second)) // buffers are full by then
		wrote[i], _ = io.Copy(c, patternReader(64<<20))
		done <- i
		return false
	})
	b := newBalancer(t, activeMember("s-00000001", s))
	for range 2 {
		c, _ := b.dial(t)
		io.WriteString(c, checkinHead+"Content-Length: 0\r\n\r\n")
		if n := wrote[<-done]; n >= 32<<20 {
			t.Errorf("%d bytes were taken from the upstream with nobody to read them", n)
		}
	}
}

// A response of unknown length ends with the close of its connection. A reset is no such end: a request that may be
// executed twice is retried, another one has failed, and a client that has got a part can tell that it is not complete.
func TestResetDoesNotEndAResponse(t *testing.T) {
	for _, x := range []struct {
		name, class string
		size        int64
		status      int // of a client that can be given another response or an error; 0: it has got a part
	}{
		{"short, may run twice", "read", 100, 200},
		{"short, must not", "checkin", 100, 502},
		{"nothing but the head", "checkin", 0, 502},
		{"passed on as it comes", "read", 8 * maxBody, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			proceed := make(chan struct{})
			first := true // one request at a time
			s := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
				if !first {
					return respondOK(c, r)
				}
				first = false
				io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
				io.Copy(c, patternReader(x.size))
				if x.status == 0 {
					<-proceed // its client has the beginning; a reset discards what has not been read
				}
				c.(*net.TCPConn).SetLinger(0)
				return false
			})
			b := newBalancer(t, activeMember("s-00000001", s))
			resp, err := b.client.Do(b.newRequest(x.class, ""))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if x.status == 0 {
				if _, err := io.ReadFull(resp.Body, make([]byte, 1000)); err != nil {
					t.Fatal(err)
				}
				close(proceed)
				if _, err := io.Copy(io.Discard, resp.Body); err == nil {
					t.Error("a part was taken for a complete answer")
				}
				return
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatal(err)
			}
			assertEqual(t, "status", resp.StatusCode, x.status)
			assertEqual(t, "the answer is the second one's", string(body) == "done", x.status == 200)
		})
	}
}

// A response that never ends is broken off: a buffered one by its client's deadline; a streamed one after the stall timeout
// without a byte, or when it is longer than any valid one. Its client gets an error, or can tell.
func TestEndlessResponseIsBrokenOff(t *testing.T) {
	const deadline = 300 * time.Millisecond
	for _, x := range []struct {
		name, beginning string
		endless         bool // bytes go on and on
		status          int  // 0: a part of the response is passed on
	}{
		{"nothing", "", false, http.StatusGatewayTimeout},
		{"half a head", "HTTP/1.1 200 OK\r\nContent-Le", false, http.StatusGatewayTimeout},
		{"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false, http.StatusGatewayTimeout},
		{"half a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf", false, http.StatusGatewayTimeout},
		{"no length, endless", "HTTP/1.1 200 OK\r\n\r\n", true, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			release := make(chan struct{})
			s := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool {
				io.WriteString(c, x.beginning)
				if x.endless {
					io.Copy(c, &patternSource{}) // until the connection is closed
				} else {
					<-release
				}
				return false
			})
			b := newBalancer(t, activeMember("s-00000001", s))
			defer close(release)
			resp, err := b.client.Do(b.newRequest("checkin", "", "X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10)))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			n, err := io.Copy(io.Discard, resp.Body)
			if x.status != 0 {
				assertEqual(t, "status", resp.StatusCode, x.status)
				return
			}
			if err == nil || n < maxResponseLength {
				t.Errorf("%d bytes were passed on, then %v; want a break behind %d", n, err, maxResponseLength)
			}
		})
	}
}
