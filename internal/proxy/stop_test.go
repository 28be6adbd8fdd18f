package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// begun is a client's connection on which one request has been answered and the next one's head has come in part.
type partialRequest struct {
	net.Conn
	in   *bufio.Reader
	rest string
}

func (b *testBalancer) sendPartialRequest(t *testing.T) partialRequest {
	t.Helper()
	x := partialRequest{Conn: b.raw(t, "checkin", "", "")}
	x.in = bufio.NewReader(x)
	x.answer(t, 200)
	var text strings.Builder
	if err := b.ask("checkin", "").Write(&text); err != nil {
		t.Fatal(err)
	}
	half := text.Len() / 2
	if _, err := io.WriteString(x, text.String()[:half]); err != nil {
		t.Fatal(err)
	}
	x.rest = text.String()[half:]
	eventually(t, "the head has been read in part", b.proxy.front.anyPartialRequest)
	return x
}

// midway tells whether a request has come in part on some connection.
func (f *frontend) anyPartialRequest() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, is := range f.conns {
		if is.state == http.StateIdle && !c.isIdle() {
			return true
		}
	}
	return false
}

func (x partialRequest) answer(t *testing.T, status int) {
	t.Helper()
	resp, err := http.ReadResponse(x.in, nil)
	if err != nil {
		t.Fatalf("a request that had begun got no answer: %v", err)
	}
	io.Copy(io.Discard, resp.Body)
	want(t, "status", resp.StatusCode, status)
}

// end sends the rest of the request.
func (x partialRequest) end(t *testing.T) {
	t.Helper()
	if _, err := io.WriteString(x, x.rest); err != nil {
		t.Fatal(err)
	}
}

// A request that comes in pieces on a kept connection, and has begun when the balancer is told to end, is answered. The
// connection was closed under it, as one between requests.
func TestStopWaitsForARequestThatHasBegun(t *testing.T) {
	s := newServer(t, okAll)
	b := newBalancer(t, up("s-00000001", s))
	x := b.sendPartialRequest(t)
	b.cancel()
	<-b.proxy.front.acceptEnded // the listener is closed, and what idles goes
	for range 3 {
		b.proxy.front.closeIdleConns(0)
	}
	x.end(t)
	x.answer(t, 200)
	if err := <-b.ended; err != nil {
		t.Error(err)
	}
	b.ended <- nil
	want(t, "open connections", b.proxy.front.openConns(), 0)
}

// The same while clients are sent away, and where a connection has to make room.
func TestRequestThatHasBegunKeepsItsConnection(t *testing.T) {
	s := newServer(t, okAll)
	b := newBalancer(t, up("s-00000001", s))
	f := b.proxy.front
	x := b.sendPartialRequest(t)
	f.closeIdleConns(0)
	f.mu.Lock()
	for c, is := range f.conns { // it has long been so
		is.since -= 2 * evictionMinIdle
		f.conns[c] = is
	}
	f.maxConns = len(f.conns)
	f.mu.Unlock()
	other, peer := net.Pipe()
	defer other.Close()
	defer peer.Close()
	f.trackConn(&framingConn{Conn: other, now: f.now}, http.StateNew) // one too many: it is closed itself
	if _, err := peer.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the new connection: %v, want its end", err)
	}
	f.mu.Lock()
	f.maxConns = 100
	f.mu.Unlock()
	x.end(t)
	x.answer(t, 200)
}

// SIGKILL comes some time after SIGTERM, and what came late by then and is not answered is lost. A request that comes as
// late has until just before that, however long its client would wait; one that came sooner has its own time.
func TestLateRequestIsAnsweredBeforeTheKill(t *testing.T) {
	b := newBalancer(t)
	f := b.proxy.front
	const told, most = time.Hour, 9 * time.Second
	f.shutdownAt.Store(int64(told))
	want(t, "while it serves", f.timeBeforeKill(told+2*time.Second, most), most)
	f.leaving.Store(true)
	for _, x := range []struct{ longest, since, want time.Duration }{
		{4 * time.Second, killDelay - killMargin - 1, most},
		{4 * time.Second, killDelay - killMargin, killDeadlineCap},
		{4 * time.Second, 2 * time.Second, 1600 * time.Millisecond},
		{time.Second, 2 * time.Second, 0},
		{time.Second, time.Second, 600 * time.Millisecond},
	} {
		f.longestDeadline = x.longest
		want(t, x.since.String()+" after SIGTERM", f.timeBeforeKill(told+x.since, most), x.want)
	}
	f.shutdownAt.Store(int64(f.now() - 4*time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(b.raw(t, "checkin", "", "")), nil)
	if err != nil {
		t.Fatal(err)
	}
	want(t, "too late to be sent", resp.StatusCode, http.StatusServiceUnavailable)
}

// The time of an upload begins with its last byte, and what is left until the kill is reckoned from then, however early the
// upload began. One that began before SIGTERM had its whole time after it, beyond the kill.
func TestUploadIsAnsweredBeforeTheKill(t *testing.T) {
	release := make(chan struct{})
	s := newServer(t, func(c net.Conn, r *http.Request) bool { <-release; return okAll(c, r) })
	b := newBalancer(t, up("s-00000001", s))
	f := b.proxy.front
	body, client := io.Pipe()
	r := b.ask("checkin", "")
	r.Body, r.ContentLength = body, 2*maxBody
	status := make(chan int, 1)
	go func() {
		got, _ := b.do(t, r)
		status <- got
	}()
	if _, err := client.Write(make([]byte, 2*maxBody-1)); err != nil {
		t.Fatal(err)
	}
	var q *request
	b.await(t, "the upload is passed on", func(l *loop) bool {
		for _, q = range l.requests {
			return len(q.attempts) > 0
		}
		return false
	})
	f.shutdownAt.Store(int64(f.now() - time.Second)) // it has been told to end meanwhile
	f.leaving.Store(true)
	if _, err := client.Write([]byte{0}); err != nil {
		t.Fatal(err)
	}
	client.Close()
	<-s.arrivals
	b.await(t, "its time has begun", func(l *loop) bool { return q.deadline != noDeadline })
	b.inLoop(t, func(*loop) {
		kill := time.Duration(f.shutdownAt.Load()) + min(f.longestDeadline, killDeadlineCap) + killDelay
		if q.deadline >= kill {
			t.Errorf("it has until %v after the kill", q.deadline-kill)
		}
	})
	close(release)
	want(t, "status", <-status, 200)
}

// reads is a listener of whose connections one read can be held back after its bytes have been taken from the network.
type heldReadListener struct {
	net.Listener
	armed atomic.Bool
	taken chan struct{} // the bytes have been taken
	back  chan struct{} // closed: the reader gets them
}

func (r *heldReadListener) Accept() (net.Conn, error) {
	c, err := r.Listener.Accept()
	return &heldReadConn{c, r}, err
}

type heldReadConn struct {
	net.Conn
	*heldReadListener
}

func (c *heldReadConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.armed.CompareAndSwap(true, false) {
		c.taken <- struct{}{}
		<-c.back
	}
	return n, err
}

// allRest tells whether there is a connection, and every one is between requests.
func (f *frontend) allIdle() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if !c.isIdle() {
			return false
		}
	}
	return len(f.conns) > 0
}

// A request comes in the very moment in which its resting connection is closed. Either it was there first, and the
// connection stays and it is answered; or the connection was, and the request, which its client sends again, is not sent
// on. It was, where its bytes had been taken from the network but not been looked at.
func TestRequestThatCrossesACloseIsNotSent(t *testing.T) {
	for _, first := range []string{"close", "request"} {
		for _, fresh := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s first, new connection %v", first, fresh), func(t *testing.T) {
				s := newServer(t, okAll)
				r := &heldReadListener{taken: make(chan struct{}), back: make(chan struct{})}
				b := newBalancerOn(t, newRegistry(t), func(l net.Listener) net.Listener { r.Listener = l; return r },
					func(*Config) {}, up("s-00000001", s))
				c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				c.SetDeadline(time.Now().Add(30 * time.Second)) // only a failure takes as long
				in := bufio.NewReader(c)
				ask := func() {
					if err := b.ask("checkin", "").Write(c); err != nil {
						t.Fatal(err)
					}
				}
				sent := 0
				if !fresh {
					ask()
					partialRequest{Conn: c, in: in}.answer(t, 200)
					sent++
				}
				f := b.proxy.front
				eventually(t, "the connection rests", f.allIdle)
				r.armed.Store(true)
				ask()
				<-r.taken
				if first == "close" {
					f.closeIdleConns(0)
				}
				close(r.back)
				if first == "close" {
					if _, err := in.ReadByte(); err == nil {
						t.Error("an answer on a connection that was closed")
					}
				} else {
					partialRequest{Conn: c, in: in}.answer(t, 200)
					sent++
				}
				eventually(t, "the connection is closed", func() bool {
					f.closeIdleConns(0)
					return f.openConns() == 0
				})
				b.settled(t)
				want(t, "requests at the upstream", len(s.arrivals), sent)
			})
		}
	}
}

// slowAccept is a listener whose accepting stops until the test lets it go on. It tells that it has been told to end.
type pausedListener struct {
	recordingListener
	resume  chan struct{}
	ending  chan struct{}
	endOnce sync.Once
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

// A balancer that is told to end and is late to take connections takes those that wait in its listener's queue, and answers
// what they bring. They were reset as the listener closed.
func TestStopTakesWhatWaitsToBeAccepted(t *testing.T) {
	s := newServer(t, okAll)
	l := &pausedListener{resume: make(chan struct{}), ending: make(chan struct{})}
	b := newBalancerOn(t, newRegistry(t), func(x net.Listener) net.Listener { l.recordingListener = x.(recordingListener); return l },
		func(*Config) {}, up("s-00000001", s))
	var waiting []net.Conn
	for range 5 {
		waiting = append(waiting, b.raw(t, "checkin", "", ""))
	}
	b.cancel()
	<-l.ending
	close(l.resume)
	for _, c := range waiting {
		partialRequest{Conn: c, in: bufio.NewReader(c)}.answer(t, 200)
	}
	if err := <-b.ended; err != nil {
		t.Error(err)
	}
	b.ended <- nil
	if c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://")); err == nil {
		c.Close()
		t.Error("it still takes connections")
	}
}
