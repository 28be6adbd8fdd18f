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

func TestForwardsRequestUnchanged(t *testing.T) {
	s := newTestUpstream(t, respondOK)
	b := newBalancer(t, activeMember("s-00000001", s))
	for _, class := range []string{"pay", "checkin"} {
		q := b.newRequest(class, "body", "Connection", "X-Hop", "X-Hop", "1", "X-Extras", "a=1")
		status, body := b.do(t, q)
		assertEqual(t, "status", status, 200)
		assertEqual(t, "answer", body, "done")
		r := <-s.arrivals
		text, _ := io.ReadAll(r.Body)
		assertEqual(t, "body", string(text), "body")
		assertEqual(t, "method", r.Method, q.Method)
		assertEqual(t, "target", r.RequestURI, "/"+class+"/x?q=%2F1")
		for _, h := range []string{"X-Request-Id", "Idempotency-Key", "X-Extras"} {
			assertEqual(t, h, r.Header.Get(h), q.Header.Get(h))
		}
		assertEqual(t, "X-Hop", r.Header.Get("X-Hop"), "")
		if ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err != nil || ms <= 0 || ms >= 4000 {
			t.Errorf("X-Deadline-Ms: got %q, want under the client's", r.Header.Get("X-Deadline-Ms"))
		}
	}
	assertEqual(t, "connections", s.opened(), 1)
}

func TestMalformedRequestsAreRejected(t *testing.T) {
	s := newTestUpstream(t, respondOK)
	b := newBalancer(t, activeMember("s-00000001", s))
	get := b.newRequest("checkin", "")
	get.Method = http.MethodGet
	noID := b.newRequest("checkin", "")
	noID.Header.Del("X-Request-Id")
	noKey := b.newRequest("pay", "")
	noKey.Header.Del("Idempotency-Key")
	for _, c := range []struct {
		name   string
		r      *http.Request
		status int
	}{
		{"unknown class", b.newRequest("checkin", "", "X-Class", "nope"), 400},
		{"path of another class", b.newRequest("checkin", "", "X-Class", "read"), 400},
		{"no id", noID, 400},
		{"method of another kind", get, 400},
		{"key on an unsafe class", b.newRequest("checkin", "", "Idempotency-Key", "1"), 400},
		{"no idempotency key", noKey, 400},
		{"a GET with a body", b.newRequest("read", "x"), 400},
	} {
		status, _ := b.do(t, c.r)
		assertEqual(t, c.name, status, c.status)
	}
	assertEqual(t, "requests at the upstream", len(s.arrivals), 0)
	// A deadline that can't be parsed counts as the class's, and is no reason to reject the request.
	for _, deadline := range []string{"", "-5", "soon", "99999999999"} {
		status, _ := b.do(t, b.newRequest("checkin", "", "X-Deadline-Ms", deadline))
		assertEqual(t, "deadline "+deadline, status, 200)
	}
}

// A client whose time is over gets its response at once, and nothing is forwarded for it. It used to be taken for one
// without a deadline, and got no response before the deadline of its class.
func TestDeadlineOfZeroIsAnsweredAtOnce(t *testing.T) {
	s := newTestUpstream(t, respondOK)
	b := newBalancer(t, activeMember("s-00000001", s))
	for _, class := range []string{"read", "pay", "checkin"} {
		status, _ := b.do(t, b.newRequest(class, "", "X-Deadline-Ms", "0"))
		assertEqual(t, "status", status, http.StatusServiceUnavailable)
	}
	assertEqual(t, "requests at the upstream", len(s.arrivals), 0)
}

// Where the end of a request is in doubt, one reader's body is another reader's next request. Such a request is rejected,
// and what stands behind its head never reaches an upstream as a request of its own.
func TestAmbiguousFramingIsRejected(t *testing.T) {
	const inner = "POST /checkin HTTP/1.1\r\nHost: x\r\nX-Request-Id: 00000000000000bb\r\nX-Class: checkin\r\n" +
		"X-Deadline-Ms: 500\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct{ name, line, framing, body string }{
		{"length and chunks", "POST /checkin HTTP/1.1", "Content-Length: 150\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"},
		{"chunks in HTTP/1.0", "POST /checkin HTTP/1.0", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n", ""},
		{"GET with a body", "GET /read HTTP/1.1", "X-Class: read\r\nContent-Length: " + strconv.Itoa(len(inner)) + "\r\n", ""},
		{"health with chunks", "GET /healthz HTTP/1.1", "Content-Length: 150\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestUpstream(t, respondOK)
			b := newBalancer(t, activeMember("s-00000001", s))
			peer, in := b.dial(t)
			head := c.line + "\r\nHost: x\r\n" + c.framing
			if !strings.Contains(c.line, "/healthz") {
				head += "X-Request-Id: 00000000000000aa\r\nX-Deadline-Ms: 500\r\n"
			}
			if strings.HasPrefix(c.line, "POST") {
				head += "X-Class: checkin\r\n"
			}
			peer.SetDeadline(time.Now().Add(10 * time.Second)) // only a failure takes that long
			if _, err := io.WriteString(peer, head+"\r\n"+c.body+inner); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, resp.Body)
			assertEqual(t, "status", resp.StatusCode, http.StatusBadRequest)
			if second, err := http.ReadResponse(in, nil); err == nil {
				t.Errorf("a second response: %s", second.Status)
			}
			assertEqual(t, "requests at the upstream", len(s.arrivals), 0)
		})
	}
}

// 100 Continue is sent before the body, trailers and chunk extensions are skipped, and a request may come byte by byte.
func TestHTTPForms(t *testing.T) {
	s := newTestUpstream(t, respondOK)
	b := newBalancer(t, activeMember("s-00000001", s))
	c, in := b.dial(t)
	io.WriteString(c, checkinHead+"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	assertEqual(t, "interim", resp.StatusCode, http.StatusContinue)
	io.WriteString(c, "body")
	for i, text := range []string{"", strings.Replace(checkinHead, "/checkin", "http://x/checkin", 1) +
		"Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n1;a=b\r\nb\r\n3\r\nody\r\n0\r\nX-T: 1\r\n\r\n",
		"GET /read/x HTTP/1.1\r\nHost: x\r\nX-Request-Id: ab\r\nX-Class: read\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"} {
		for j := range len(text) {
			if _, err := io.WriteString(c, text[j:j+1]); err != nil {
				t.Fatal(err)
			}
		}
		if resp, err = http.ReadResponse(in, nil); err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		assertEqual(t, "status", resp.StatusCode, 200)
		r := <-s.arrivals
		text, _ := io.ReadAll(r.Body)
		if i < 2 {
			assertEqual(t, "body", string(text), "body")
			assertEqual(t, "target", r.RequestURI, "/checkin/x")
		}
	}
}

// With a hung upstream, the client gets its one response by its deadline, and the request is not retried.
func TestHungUpstreamFailsAtTheDeadline(t *testing.T) {
	release := make(chan struct{})
	s := newTestUpstream(t, func(c net.Conn, r *http.Request) bool { <-release; return respondOK(c, r) })
	b := newBalancer(t, activeMember("s-00000001", s), activeMember("s-00000002", s))
	defer close(release)
	start := time.Now()
	status, _ := b.do(t, b.newRequest("checkin", "", "X-Deadline-Ms", "200"))
	assertEqual(t, "status", status, http.StatusGatewayTimeout)
	if d := time.Since(start); d < 150*time.Millisecond || d > 2*time.Second {
		t.Errorf("answered after %v, want about the deadline", d)
	}
	assertEqual(t, "requests at the upstream", len(s.arrivals), 1)
}

func TestHealthCheck(t *testing.T) {
	b := newBalancer(t)
	resp, err := b.client.Get(b.url + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	assertEqual(t, "status", resp.StatusCode, 200)
}

func TestOriginForm(t *testing.T) {
	for in, out := range map[string]string{"/read/x?u=http://y/z": "/read/x?u=http://y/z", "http://h:1/read/%2F?q": "/read/%2F?q",
		"http://h": "http://h", "*": "*"} {
		assertEqual(t, fmt.Sprintf("of %s", in), originForm(in), out)
	}
}
