package proxy

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sprucehill/internal/bodybudget"
)

// Large request and response bodies are forwarded completely, in every framing, and the client connection stays reusable.
func TestLargeBodiesAreStreamed(t *testing.T) {
	const size = 3 << 20
	sums := make(chan [32]byte, 10)
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
		body, _ := io.ReadAll(r.Body)
		sums <- sha256.Sum256(body)
		switch r.Header.Get("X-Form") {
		case "length":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
			io.Copy(c, patternReader(size))
			return true
		case "chunks":
			io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for in := patternReader(size); ; {
				p := make([]byte, 70_001)
				n, _ := io.ReadFull(in, p)
				if n == 0 {
					break
				}
				fmt.Fprintf(c, "%x;ext=1\r\n%s\r\n", n, p[:n])
			}
			io.WriteString(c, "0\r\nX-Trailer: 1\r\n\r\n")
			return true
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n") // ends with the connection
		io.Copy(c, patternReader(size))
		return false
	})
	b := newBalancer(t, activeMember("s-00000001", upstream))
	for _, form := range []string{"length", "chunks", "close"} {
		for _, length := range []int64{size, -1} {
			r := b.newRequest("checkin", "", "X-Form", form)
			r.Body, r.ContentLength = io.NopCloser(patternReader(size)), length
			resp, err := b.client.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			answer, err := io.ReadAll(resp.Body)
			resp.Body.Close()
			if err != nil {
				t.Fatal(err)
			}
			content, _ := io.ReadAll(patternReader(size))
			assertEqual(t, form+": response body is unchanged", bytes.Equal(answer, content), true)
			assertEqual(t, form+": request body is unchanged", <-sums, sha256.Sum256(content))
			assertEqual(t, form+": response has a length", resp.ContentLength == size, form == "length")
			assertEqual(t, form+": closes", resp.Close, false)
		}
	}
	assertEqual(t, "passed", b.metric(t, `svc_passed{category="checkin"}`), 6)
	assertEqual(t, "in progress", b.metric(t, "svc_in_progress"), 0)
}

// The deadline of an upload counts from its last byte: a slow upload may take longer than its deadline, and its body is forwarded
// while it is received.
func TestSlowUploadOutlivesItsDeadline(t *testing.T) {
	began := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		io.ReadFull(r.Body, make([]byte, bodybudget.MaxBuffered))
		close(began)
		io.Copy(io.Discard, r.Body)
		writeOK(c, "done")
	}()
	b := newBalancer(t, activeMember("s-00000001", &testUpstream{addr: l.Addr().String()}))
	c, in := b.dial(t)
	fmt.Fprintf(c, "%sX-Deadline-Ms: 50\r\nContent-Length: %d\r\n\r\n", strings.Replace(checkinHead, "X-Deadline-Ms: 4000\r\n", "", 1), 2*bodybudget.MaxBuffered)
	if _, err := io.CopyN(c, patternReader(bodybudget.MaxBuffered+1), bodybudget.MaxBuffered+1); err != nil {
		t.Fatal(err)
	}
	<-began // the upstream receives the body while the client is still sending
	assertEqual(t, "in progress before the last byte", b.metric(t, "svc_in_progress"), 0)
	time.Sleep(100 * time.Millisecond) // past the deadline
	if _, err := io.CopyN(c, patternReader(bodybudget.MaxBuffered-1), bodybudget.MaxBuffered-1); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	assertEqual(t, "status", resp.StatusCode, 200)
}

// A client that stops in the middle of a large body gets an error response and a close, and the upstream never receives a
// complete request.
func TestStalledUploadIsAborted(t *testing.T) {
	upstream := newTestUpstream(t, respondOK)
	b := newBalancer(t, activeMember("s-00000001", upstream))
	c, in := b.dial(t)
	fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", checkinHead, 4*bodybudget.MaxBuffered)
	io.CopyN(c, patternReader(2*bodybudget.MaxBuffered), 2*bodybudget.MaxBuffered)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	assertEqual(t, "status", resp.StatusCode, http.StatusRequestTimeout)
	assertEqual(t, "closes", resp.Close, true)
	assertEqual(t, "requests at the upstream", len(upstream.arrivals), 0)
	assertEqual(t, "attempts written completely", b.metric(t, "svc_upstream_tries"), 0)
}

// An upload is not retried once a part of its streamed body has been consumed; before that it may be.
func TestUploadIsNotRetried(t *testing.T) {
	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	upstream := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	b := newBalancer(t, activeMember("s-00000001", upstream), activeMember("s-00000002", &testUpstream{addr: dead.Addr().String()}))
	for range 3 { // a refused connection may be retried; an error response may not
		r := b.newRequest("checkin", "")
		r.Body, r.ContentLength = io.NopCloser(patternReader(4*bodybudget.MaxBuffered)), -1
		status, _ := b.do(t, r)
		assertEqual(t, "status", status, http.StatusBadGateway)
	}
	assertEqual(t, "attempts at the upstream", len(upstream.arrivals), 3)
}

// An upload whose upstream responds and breaks off before it has read the body leaves nothing reserved in the body budget. Guards
// against the body of that response, which is not forwarded.
func TestResponseToABrokenOffUploadIsReleased(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				writeOK(c, "early")
				time.Sleep(50 * time.Millisecond) // the response has arrived
			}
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	b := newBalancer(t, activeMember("s-00000001", &testUpstream{addr: l.Addr().String()}))
	for range 3 {
		r := b.newRequest("checkin", "")
		r.Body, r.ContentLength = io.NopCloser(patternReader(longBody)), longBody
		if resp, err := b.client.Do(r); err == nil {
			resp.Body.Close()
		}
	}
	b.awaitSettled(t)
}
