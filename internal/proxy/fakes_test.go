package proxy

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"sprucehill/internal/discovery"
)

// testUpstream is an upstream whose responses a test writes byte by byte.
type testUpstream struct {
	addr     string
	arrivals chan *http.Request // complete requests, each with its body
	mu       sync.Mutex
	conns    int
	ended    int // connections that have ended
}

// newTestUpstream starts an upstream. answer writes any response; it returns false to close the connection.
func newTestUpstream(tb testing.TB, answer func(c net.Conn, r *http.Request) bool) *testUpstream {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { l.Close() })
	s := &testUpstream{addr: l.Addr().String(), arrivals: make(chan *http.Request, 1000)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns++
			s.mu.Unlock()
			go s.serveConn(tb, c, answer)
		}
	}()
	return s
}

// serveConn reads the requests of a connection, checks their deadlines, and has them answered.
func (s *testUpstream) serveConn(tb testing.TB, c net.Conn, answer func(net.Conn, *http.Request) bool) {
	tb.Helper()
	defer func() {
		c.Close()
		s.mu.Lock()
		s.ended++
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		clientLedger.check(tb, r)
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		s.arrivals <- r
		if !answer(c, r) {
			return
		}
	}
}

// awaitConnsEnded waits until that many connections have come and ended: all that was written to them has been read.
func (s *testUpstream) awaitConnsEnded(t *testing.T, conns int) {
	t.Helper()
	eventually(t, fmt.Sprintf("%d connections have come and ended", conns), func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.conns == conns && s.ended == conns
	})
}

func (s *testUpstream) opened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

// writeOK writes a response, and reports whether the connection may be used again.
func writeOK(c net.Conn, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// respondOK answers every request.
func respondOK(c net.Conn, _ *http.Request) bool { return writeOK(c, "done") }

// testDiscovery is a discovery service. A call is answered with what the test puts into answers.
type testDiscovery struct {
	addr    string
	calls   chan string // the query of each call
	answers chan discovery.List
}

func newTestDiscovery(tb testing.TB) *testDiscovery {
	tb.Helper()
	g := &testDiscovery{calls: make(chan string, 1000), answers: make(chan discovery.List)}
	stop := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.calls <- r.URL.RawQuery
		select {
		case l := <-g.answers:
			if l.Revision == 0 {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_ = json.NewEncoder(w).Encode(l) // the call may have been cancelled meanwhile
		case <-r.Context().Done():
		case <-stop:
		}
	}))
	tb.Cleanup(func() { close(stop); s.Close() })
	g.addr = s.Listener.Addr().String()
	return g
}

// watchQuery is the query of a watch call from a revision on.
func watchQuery(since int) string {
	return fmt.Sprintf("since=%d&timeout_ms=%d", since, discovery.WatchTimeout.Milliseconds())
}

// activeMember is an endpoint that takes requests.
func activeMember(id string, s *testUpstream) discovery.Entry {
	return discovery.Entry{ID: id, HostPort: s.addr, Locality: "z1", Phase: "up", Size: 1}
}

// drainingMember is m while it drains.
func drainingMember(m discovery.Entry) discovery.Entry { m.Phase = "draining"; return m }

// dialGate holds connections to upstreams back until the test lets each of them open.
type dialGate struct {
	dials   chan *pendingDial // each connection that is asked for
	openAll chan struct{}     // closed: all connections open
	once    sync.Once
}

// pendingDial is a connection that is held back.
type pendingDial struct {
	address string
	connect chan struct{} // closed by the test: the connection opens
}

func newDialGate(t *testing.T) *dialGate {
	t.Helper()
	g := &dialGate{dials: make(chan *pendingDial, 1000), openAll: make(chan struct{})}
	t.Cleanup(g.openAllNow)
	return g
}

// next returns the next connection that is asked for.
func (g *dialGate) next(t *testing.T) *pendingDial {
	t.Helper()
	select {
	case d := <-g.dials:
		return d
	case <-time.After(failureTimeout):
		t.Fatal("no connection was asked for")
		return nil
	}
}

// openUntil opens each connection that is asked for until a condition holds, and returns how many there were.
func (g *dialGate) openUntil(t *testing.T, is func() bool) (opened int) {
	t.Helper()
	eventually(t, "the connections that are asked for are open", func() bool {
		select {
		case d := <-g.dials:
			close(d.connect)
			opened++
		default:
		}
		return is()
	})
	return opened
}

// openAllNow lets all connections open, present and future ones.
func (g *dialGate) openAllNow() { g.once.Do(func() { close(g.openAll) }) }

func (g *dialGate) open(network, address string, timeout time.Duration) (net.Conn, error) {
	d := &pendingDial{address, make(chan struct{})}
	g.dials <- d
	select {
	case <-d.connect:
	case <-g.openAll:
	}
	return net.DialTimeout(network, address, timeout)
}

// patternReader is a reader of n bytes that don't repeat.
func patternReader(n int64) io.Reader { return io.LimitReader(&patternSource{}, n) }

// patternSource is an endless reader of bytes that don't repeat.
type patternSource struct{ n byte }

func (c *patternSource) Read(p []byte) (int, error) {
	for i := range p {
		c.n = c.n*31 + 7
		p[i] = c.n
	}
	return len(p), nil
}
