package proxy

import (
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/bodybudget"
	"sprucehill/internal/metrics"
)

// testDialer returns a dialer whose clock is stopped at one hour.
func testDialer() dialer {
	return dialer{openConn: recordingDial(nil), timeout: time.Second, attemptsWritten: &metrics.Counter{}, bodyBudget: bodybudget.New(1 << 20),
		now: func() time.Duration { return time.Hour }}
}

// directAttempt returns an attempt for a testDialer, of a request with a timeout of one second.
func directAttempt(m message, address string, c *upstreamConn) *attempt {
	if m.header == nil {
		m.header = http.Header{}
	}
	m.header.Set("X-Request-Id", "direct")
	clientDeadlines.add("direct", time.Second)
	const deadline = time.Hour + time.Second
	r := &request{client: waitingClient{}, deadline: deadline}
	return &attempt{request: r, message: m, endpoint: &endpoint{}, address: address, conn: c, deadline: deadline}
}

// runDirect runs an attempt whose response is not handed over while it is read.
func (d dialer) runDirect(t *testing.T, a *attempt) attemptResult {
	t.Helper()
	assertEqual(t, "handed over", d.runAttempt(a), false)
	return a.result
}

// An attempt is written at most once; only the decision module may retry it. http.Transport would resend a GET, or a
// request with an idempotency key, by itself when a persistent connection breaks.
func TestAttemptIsWrittenAtMostOnce(t *testing.T) {
	for _, class := range []string{"checkin", "pay"} {
		t.Run(class, func(t *testing.T) {
			n := 0
			s := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
				n++ // one connection at a time
				return n == 1 && respondOK(c, r)
			})
			p := &endpoint{address: s.addr}
			d := testDialer()
			send := func(c *upstreamConn) attemptResult {
				h := http.Header{"X-Request-Id": {"1"}}
				if class == "pay" {
					h.Set("Idempotency-Key", "1")
				}
				a := directAttempt(message{requestLine: "POST /x", host: "x", header: h}, s.addr, c)
				a.endpoint = p
				return d.runDirect(t, a)
			}
			first := send(nil)
			assertEqual(t, "first", first.status, balancer.OK)
			assertEqual(t, "second", send(first.conn).status, balancer.Reset)
			assertEqual(t, "requests written", len(s.arrivals), 2)
			assertEqual(t, "connections", s.opened(), 1)
		})
	}
}

// A connection that the upstream closed while it was idle is detected before anything is written to it.
func TestStaleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 2)
	s := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
		respondOK(c, r)
		c.Close()
		closed <- struct{}{}
		return false
	})
	d := testDialer()
	c, err := d.connect(nil, s.addr)
	if err != nil {
		t.Fatal(err)
	}
	run := func(c *upstreamConn) attemptResult {
		return d.runDirect(t, directAttempt(message{requestLine: "POST /x", host: "x"}, s.addr, c))
	}
	r := run(c)
	assertEqual(t, "first", r.status, balancer.OK)
	<-closed
	if _, err := r.conn.Read(make([]byte, 1)); err == nil { // waits for the upstream's close
		t.Fatal("got bytes on an idle connection, want its end")
	}
	assertEqual(t, "second", run(r.conn).status, balancer.OK)
	assertEqual(t, "connections", s.opened(), 2)
}

func TestAttemptOutcomes(t *testing.T) {
	raw := func(text string, keep bool) func(net.Conn, *http.Request) bool {
		return func(c net.Conn, _ *http.Request) bool { io.WriteString(c, text); return keep }
	}
	for _, c := range []struct {
		name     string
		answer   func(net.Conn, *http.Request) bool
		status   any
		reusable bool
	}{
		{"served", raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Load: util=0.5\r\n\r\nab", true), balancer.OK, true},
		{"served in chunks", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", true), balancer.OK, true},
		{"served, then closed", raw("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nab", false), balancer.OK, false},
		{"served after a 1xx", raw("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", true), balancer.OK, true},
		{"error", raw("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", true), balancer.Error, true},
		{"503 that may have run", raw("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", true), balancer.Error, true},
		{"503 not run", raw("HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true), balancer.Rejected, true},
		{"504 not run", raw("HTTP/1.1 504 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true), balancer.Rejected, true},
		{"502 not run does not count as rejected", raw("HTTP/1.1 502 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true), balancer.Error, true},
		{"closed without a response", raw("", false), balancer.Reset, false},
		{"cut short", raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", false), balancer.Reset, false},
		{"cut short in chunks", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", false), balancer.Reset, false},
		{"a head of 2 MB", raw("HTTP/1.1 200 OK\r\n"+strings.Repeat("X-Pad: "+strings.Repeat("x", 1000)+"\r\n", 2000)+"Content-Length: 2\r\n\r\nab", false), balancer.Reset, false},
		{"80000 responses with 1xx", raw(strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 80000)+"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", false), balancer.Reset, false},
		{"no HTTP", raw("what?\r\n\r\n", false), balancer.Reset, false},
		{"a large error", raw("HTTP/1.1 500 X\r\nContent-Length: 65537\r\n\r\n"+strings.Repeat("x", bodybudget.MaxBuffered+1), true), balancer.Error, false},
		{"503 not run, large", raw("HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nConnection: close\r\n\r\n"+strings.Repeat("x", bodybudget.MaxBuffered+1), false), balancer.Rejected, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTestUpstream(t, c.answer)
			r := testDialer().runDirect(t, directAttempt(message{requestLine: "POST /x", host: "x", body: []byte("b")}, s.addr, nil))
			assertEqual(t, "status", any(r.status), c.status)
			assertEqual(t, "kept", r.conn != nil, c.reusable)
			if c.status == balancer.OK {
				assertEqual(t, "body", string(r.body), "ab")
			}
		})
	}
}

func TestRefusedOrDroppedAttemptWritesNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	d := testDialer()
	assertEqual(t, "refused", d.runDirect(t, &attempt{address: l.Addr().String()}).status, balancer.ConnectFailed)

	// An attempt that is waiting for its connection when its request ends or its upstream is removed is not sent.
	s := newTestUpstream(t, respondOK)
	a := directAttempt(message{requestLine: "POST /x", host: "x"}, s.addr, nil)
	assertEqual(t, "dropped", a.drop(), true)
	r := d.runDirect(t, a)
	assertEqual(t, "status", r.status, balancer.NotSent)
	assertEqual(t, "connection is reusable", r.conn != nil && r.conn.CheckIdle() == nil, true)
	assertEqual(t, "requests written", len(s.arrivals), 0)
}

// A refused connection shows that the request was not executed, so it is retried at another upstream.
func TestRefusedConnectionIsRetriedElsewhere(t *testing.T) {
	dead, alive := newTestUpstream(t, respondOK), newTestUpstream(t, respondOK)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.addr = l.Addr().String()
	l.Close()
	b := newBalancer(t, activeMember("s-00000001", dead), activeMember("s-00000002", alive))
	for range 4 {
		status, _ := b.do(t, b.newRequest("checkin", ""))
		assertEqual(t, "status", status, 200)
	}
}

// If a connection is not established within the connect timeout of the settings, the request is retried at another
// upstream. That is safe even if it must not be executed twice, since nothing has been sent.
func TestConnectTimeoutIsRetriedElsewhere(t *testing.T) {
	dead, alive := newTestUpstream(t, respondOK), newTestUpstream(t, respondOK)
	b := newBalancerWith(t, newTestDiscovery(t), func(c *Config) {
		connectTimeout := c.ConnectionTimeouts.ConnectTimeout
		c.openConn = func(network, address string, timeout time.Duration) (net.Conn, error) {
			if timeout != connectTimeout {
				t.Errorf("connect timeout %v, want %v from the settings", timeout, connectTimeout)
			}
			if address == dead.addr {
				time.Sleep(timeout)
				return nil, os.ErrDeadlineExceeded
			}
			return net.DialTimeout(network, address, timeout)
		}
	}, activeMember("s-00000001", dead), activeMember("s-00000002", alive))
	for range 4 {
		status, _ := b.do(t, b.newRequest("checkin", ""))
		assertEqual(t, "status", status, 200)
	}
	assertEqual(t, "requests at the reachable upstream", len(alive.arrivals), 4)
}
