package proxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"sprucehill/internal/framing"
	"sprucehill/internal/timelimit"
)

// partialRequest is a client connection on which one request has been answered and part of the next request's head has been
// sent.
type partialRequest struct {
	net.Conn
	in   *bufio.Reader
	rest string
}

// sendPartialRequest opens a connection with a partial request, and waits until the balancer has read it.
func (b *testBalancer) sendPartialRequest(t *testing.T) partialRequest {
	t.Helper()
	x := partialRequest{Conn: b.sendRaw(t, "checkin", "")}
	x.in = bufio.NewReader(x)
	x.answer(t)
	var text strings.Builder
	if err := b.newRequest("checkin", "").Write(&text); err != nil {
		t.Fatal(err)
	}
	half := text.Len() / 2
	if _, err := io.WriteString(x, text.String()[:half]); err != nil {
		t.Fatal(err)
	}
	x.rest = text.String()[half:]
	eventually(t, "part of the head has been read", b.proxy.frontend.anyPartialRequest)
	return x
}

// anyPartialRequest reports whether part of a request has been read on a connection that net/http considers idle.
func (f *frontend) anyPartialRequest() bool {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	for c, is := range f.conns.open {
		if is.state == http.StateIdle && !c.IsIdle() {
			return true
		}
	}
	return false
}

// answer reads a response and checks that it is successful.
func (x partialRequest) answer(t *testing.T) {
	t.Helper()
	resp, err := http.ReadResponse(x.in, nil)
	if err != nil {
		t.Fatalf("partial request got no response: %v", err)
	}
	io.Copy(io.Discard, resp.Body)
	assertEqual(t, "status", resp.StatusCode, http.StatusOK)
}

// sendRest sends the rest of the partial request.
func (x partialRequest) sendRest(t *testing.T) {
	t.Helper()
	if _, err := io.WriteString(x, x.rest); err != nil {
		t.Fatal(err)
	}
}

// After SIGTERM accepted requests are still answered, and connections that are being established are still served.
func TestShutdownLosesNoRequest(t *testing.T) {
	release := make(chan struct{})
	s := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Late") != "" {
			<-release
		}
		return respondOK(c, r)
	})
	b := newBalancer(t, activeMember("s-00000001", s))
	type got struct {
		status int
		err    error
	}
	late := make(chan got, 1)
	go func() {
		resp, err := b.client.Do(b.newRequest("checkin", "", "X-Late", "1"))
		if err != nil {
			late <- got{err: err}
			return
		}
		resp.Body.Close()
		late <- got{resp.StatusCode, nil}
	}()
	<-s.arrivals
	b.cancel()
	for { // send requests on new connections until a response shows that the shutdown has begun
		r := b.newRequest("checkin", "")
		resp, err := (&http.Client{Transport: &http.Transport{}}).Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		assertEqual(t, "status while stopping", resp.StatusCode, 200)
		if resp.Close {
			break
		}
	}
	close(release)
	if g := <-late; g.err != nil || g.status != 200 {
		t.Errorf("request in flight: status %v, error %v", g.status, g.err)
	}
	b.awaitEnd(t)
	if _, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://")); err == nil {
		t.Error("still listening")
	}
}

// A connection on which nothing was ever sent does not delay the shutdown, and closing it does not affect requests in
// flight.
func TestShutdownClosesUnusedConnections(t *testing.T) {
	release := make(chan struct{})
	s := newTestUpstream(t, func(c net.Conn, r *http.Request) bool { <-release; return respondOK(c, r) })
	b := newBalancer(t, activeMember("s-00000001", s))
	unused, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	status := make(chan int, 1)
	go func() {
		resp, err := b.client.Do(b.newRequest("checkin", ""))
		if err != nil {
			status <- 0
			return
		}
		resp.Body.Close()
		status <- resp.StatusCode
	}()
	<-s.arrivals
	b.cancel()
	if _, err := unused.Read(make([]byte, 1)); err == nil {
		t.Error("got bytes on an unused connection, want its end")
	}
	close(release)
	assertEqual(t, "status of the request in flight", <-status, 200)
}

// A request on a persistent connection that has been received in part when the shutdown begins is answered. Guards against
// closing its connection as idle.
func TestShutdownAwaitsPartialRequest(t *testing.T) {
	s := newTestUpstream(t, respondOK)
	b := newBalancer(t, activeMember("s-00000001", s))
	x := b.sendPartialRequest(t)
	b.cancel()
	<-b.proxy.frontend.acceptor.ended // the listener is closed, and idle connections are being closed
	for range 3 {
		b.proxy.frontend.conns.closeIdle(0, closedByDrain)
	}
	x.sendRest(t)
	x.answer(t)
	b.awaitEnd(t)
	assertEqual(t, "open connections", b.proxy.frontend.conns.count(), 0)
}

// A connection with a partial request is not closed by a drain either, nor evicted at the connection limit.
func TestPartialRequestKeepsItsConnection(t *testing.T) {
	s := newTestUpstream(t, respondOK)
	b := newBalancer(t, activeMember("s-00000001", s))
	f := b.proxy.frontend
	x := b.sendPartialRequest(t)
	f.conns.closeIdle(0, closedByDrain)
	f.conns.mu.Lock()
	for c, status := range f.conns.open { // backdated, so that the connection could be evicted
		status.since -= 2 * timelimit.EvictionMinIdle
		f.conns.open[c] = status
	}
	f.conns.max = len(f.conns.open)
	f.conns.mu.Unlock()
	other, peer := net.Pipe()
	defer other.Close()
	defer peer.Close()
	f.conns.track(framing.NewConn(other, f.now, timelimit.ClientReadTimeout), http.StateNew) // over the limit, with no idle connection to evict: it is closed itself
	if _, err := peer.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the new connection: %v, want its end", err)
	}
	f.conns.mu.Lock()
	f.conns.max = 100
	f.conns.mu.Unlock()
	x.sendRest(t)
	x.answer(t)
}

// pausedListener is a listener that accepts nothing until the test closes resume. It closes ending when it is told to end.
type pausedListener struct {
	recordingListener
	resume  chan struct{}
	ending  chan struct{}
	endOnce sync.Once
}

// newPausedBalancer starts a balancer that accepts no connection until the test closes resume of the listener.
func newPausedBalancer(t *testing.T, upstream *testUpstream) (*testBalancer, *pausedListener) {
	t.Helper()
	l := &pausedListener{resume: make(chan struct{}), ending: make(chan struct{})}
	b := newBalancerOn(t, newTestDiscovery(t), func(inner net.Listener) net.Listener {
		l.recordingListener = inner.(recordingListener)
		return l
	}, func(*Config) {}, activeMember("s-00000001", upstream))
	return b, l
}

func (l *pausedListener) Accept() (net.Conn, error) {
	<-l.resume
	return l.recordingListener.Accept()
}

func (l *pausedListener) SetDeadline(t time.Time) error {
	l.endOnce.Do(func() { close(l.ending) })
	return l.TCPListener.SetDeadline(t)
}

func (l *pausedListener) Close() error {
	l.endOnce.Do(func() { close(l.ending) })
	return l.TCPListener.Close()
}

// A balancer that has not yet accepted the connections in its listener's queue when the shutdown begins accepts them and
// answers their requests. Guards against connections that are reset when the listener closes.
func TestShutdownAcceptsQueuedConnections(t *testing.T) {
	s := newTestUpstream(t, respondOK)
	b, l := newPausedBalancer(t, s)
	var waiting []net.Conn
	for range 5 {
		waiting = append(waiting, b.sendRaw(t, "checkin", ""))
	}
	b.cancel()
	<-l.ending
	close(l.resume)
	for _, c := range waiting {
		partialRequest{Conn: c, in: bufio.NewReader(c)}.answer(t)
	}
	b.awaitEnd(t)
	if c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://")); err == nil {
		c.Close()
		t.Error("it still accepts connections")
	}
}
