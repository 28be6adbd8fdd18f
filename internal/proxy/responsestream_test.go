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

	"sprucehill/internal/bodybudget"
	"sprucehill/internal/timelimit"
	"sprucehill/internal/upstream"
)

// A long response is streamed: its beginning reaches the client while the upstream is still writing.
func TestResponseIsStreamedAsItComes(t *testing.T) {
	more := make(chan struct{})
	upstream := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nfirst", 1<<20)
		<-more
		_, err := io.Copy(c, patternReader(1<<20-5))
		return err == nil
	})
	b := newBalancer(t, activeMember("s-00000001", upstream))
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

// A request whose response is truncated after its beginning has been forwarded is not retried, and the client gets an error.
func TestBrokenResponseIsVisibleToTheClient(t *testing.T) {
	for _, head := range []string{"Content-Length: 1000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n20000\r\n"} {
		server := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head)
			io.Copy(c, patternReader(100_000))
			return false
		})
		b := newBalancer(t, activeMember("s-00000001", server))
		resp, err := b.client.Do(b.newRequest("read", ""))
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		if err == nil {
			t.Errorf("%q: the client took a truncated response for complete", head)
		}
		assertEqual(t, "requests at the upstream", len(server.arrivals), 1)
	}
}

// A response with a Content-Length above upstream.MaxResponseLength is invalid: no part of it is forwarded, and an idempotent request is
// retried. Guards against forwarding the beginning on a connection that is then aborted.
func TestResponseOfExcessiveLengthIsNotForwarded(t *testing.T) {
	for class, status := range map[string]int{"read": 200, "checkin": 502} {
		first := true // one request at a time
		server := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
			if !first {
				return respondOK(c, r)
			}
			first = false
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\nbeginning", upstream.MaxResponseLength+1)
			return false
		})
		b := newBalancer(t, activeMember("s-00000001", server))
		got, _ := b.do(t, b.newRequest(class, ""))
		assertEqual(t, class, got, status)
		b.awaitSettled(t)
	}
}

// A response that reaches the read limit is an error, not a complete response. Guards against forwarding a truncated response of
// unknown length as complete, if its head has used most of the limit.
func TestReadLimitDoesNotEndAResponse(t *testing.T) {
	server := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Long: "+strings.Repeat("x", upstream.MaxResponseRead-10_000)+"\r\n\r\n")
		io.Copy(c, patternReader(50_000))
		return false
	})
	b := newBalancer(t, activeMember("s-00000001", server))
	status, _ := b.do(t, b.newRequest("checkin", ""))
	assertEqual(t, "status", status, 502)
	b.awaitSettled(t)
}

// If a client does not read a large response, no more of it is read from the server than fits the buffers of the connections.
func TestStreamsApplyBackpressure(t *testing.T) {
	var wrote [8]int64
	done := make(chan int, 8)
	next := 0
	upstream := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool {
		i := next
		next++
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 64<<20)
		c.SetWriteDeadline(time.Now().Add(time.Second)) // buffers are full by then
		wrote[i], _ = io.Copy(c, patternReader(64<<20))
		done <- i
		return false
	})
	b := newBalancer(t, activeMember("s-00000001", upstream))
	for _, id := range []string{"aa", "ab"} {
		c, _ := b.dial(t)
		io.WriteString(c, strings.Replace(checkinHead, "aa\r\n", id+"\r\n", 1)+"Content-Length: 0\r\n\r\n")
		if n := wrote[<-done]; n >= 32<<20 {
			t.Errorf("%d bytes were read from the upstream although the client reads nothing", n)
		}
	}
}

// A response of unknown length ends when the upstream closes the connection. A reset is an error instead: an idempotent request
// is retried, any other request fails, and a client that has received a part of the response gets an error.
func TestResetDoesNotEndAResponse(t *testing.T) {
	for _, x := range []struct {
		name, class string
		size        int64
		status      int // the status that the client gets; 0 if it has already received a part of the response
	}{
		{"buffered, idempotent", "read", 100, 200},
		{"buffered, not idempotent", "checkin", 100, 502},
		{"only the head", "checkin", 0, 502},
		{"streamed", "read", 8 * bodybudget.MaxBuffered, 0},
	} {
		t.Run(x.name, func(t *testing.T) {
			proceed := make(chan struct{})
			first := true // one request at a time
			server := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
				if !first {
					return respondOK(c, r)
				}
				first = false
				io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
				io.Copy(c, patternReader(x.size))
				if x.status == 0 {
					<-proceed // the client has received the beginning; a reset discards what has not been read
				}
				c.(*net.TCPConn).SetLinger(0)
				return false
			})
			b := newBalancer(t, activeMember("s-00000001", server))
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
					t.Error("the client took a truncated response for complete")
				}
				return
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil {
				t.Fatal(err)
			}
			assertEqual(t, "status", resp.StatusCode, x.status)
			assertEqual(t, "response is that of the second attempt", string(body) == "done", x.status == 200)
		})
	}
}

// A response that never ends is aborted: one that has not begun, or is known to be short, at the deadline of the request; a streamed one
// if no byte arrives within timelimit.UpstreamRest, or if it exceeds upstream.MaxResponseLength. The client gets an error response, or,
// in time too, a truncated response that it recognizes as such.
func TestEndlessResponseIsBrokenOff(t *testing.T) {
	const deadline = 300 * time.Millisecond
	for _, x := range []struct {
		name, beginning string
		endless         bool  // the upstream never stops sending
		status          int   // the status that the client gets
		least           int64 // bytes of the body that the client gets, at least
	}{
		{"nothing", "", false, http.StatusGatewayTimeout, 0},
		{"half a head", "HTTP/1.1 200 OK\r\nContent-Le", false, http.StatusGatewayTimeout, 0},
		{"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false, http.StatusGatewayTimeout, 0},
		{"half a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf", false, http.StatusOK, int64(len("half"))},
		{"no length, endless", "HTTP/1.1 200 OK\r\n\r\n", true, http.StatusOK, upstream.MaxResponseLength},
	} {
		t.Run(x.name, func(t *testing.T) {
			release := make(chan struct{})
			server := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool {
				io.WriteString(c, x.beginning)
				if x.endless {
					io.Copy(c, &patternSource{}) // until the connection is closed
				} else {
					<-release
				}
				return false
			})
			b := newBalancer(t, activeMember("s-00000001", server))
			defer close(release)
			began := time.Now()
			resp, err := b.client.Do(b.newRequest("checkin", "", "X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10)))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if took := time.Since(began); took > deadline+answerTolerance {
				t.Errorf("the response began after %v, its client waits %v", took, deadline)
			}
			assertEqual(t, "status", resp.StatusCode, x.status)
			n, err := io.Copy(io.Discard, resp.Body)
			if x.status != http.StatusOK {
				return
			}
			if err == nil || n < x.least {
				t.Errorf("got %d bytes and error %v, want at least %d bytes and an error", n, err, x.least)
			}
			if took, longest := time.Since(began), timelimit.UpstreamRest(deadline)+2*time.Second; !x.endless && took > longest {
				t.Errorf("broken off after %v, want %v at most", took, longest)
			}
		})
	}
}

// A response that is known to be short is forwarded while its upstream rests, but no longer than its client waits: its time is that of
// its last byte.
func TestShortResponseEndsAtTheDeadline(t *testing.T) {
	const (
		wait = timelimit.BufferShortResponse + time.Second
		half = "half"
	)
	release := make(chan struct{})
	server := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*len(half), half)
		<-release
		return false
	})
	b := newBalancer(t, activeMember("s-00000001", server))
	defer close(release)
	began := time.Now()
	resp, err := b.client.Do(b.newRequest("checkin", "", "X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10)))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil || string(body) != half {
		t.Errorf("got %q and error %v, want %q and an error", body, err, half)
	}
	if took := time.Since(began); took > wait+answerTolerance {
		t.Errorf("broken off after %v, its client waits %v", took, wait)
	}
}
