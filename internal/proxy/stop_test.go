package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// begun is a client's connection on which one request has been answered and the next one's head has come in part.
type begun struct {
	net.Conn
	in   *bufio.Reader
	rest string
}

func (b *balancer) begin(t *testing.T) begun {
	t.Helper()
	x := begun{Conn: b.raw(t, "checkin", "", "")}
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
	for limit := time.Now().Add(30 * time.Second); !b.proxy.front.midway(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("the head was never read")
		}
	}
	return x
}

// midway tells whether a request has come in part on some connection.
func (f *frontend) midway() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, is := range f.conns {
		if is.state == http.StateIdle && !is.rests(c) {
			return true
		}
	}
	return false
}

func (x begun) answer(t *testing.T, status int) {
	t.Helper()
	resp, err := http.ReadResponse(x.in, nil)
	if err != nil {
		t.Fatalf("a request that had begun got no answer: %v", err)
	}
	io.Copy(io.Discard, resp.Body)
	want(t, "status", resp.StatusCode, status)
}

// end sends the rest of the request.
func (x begun) end(t *testing.T) {
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
	x := b.begin(t)
	b.cancel()
	<-b.proxy.front.ended // the listener is closed, and what idles goes
	for range 3 {
		b.proxy.front.closeIdle(0)
	}
	x.end(t)
	x.answer(t, 200)
	if err := <-b.ended; err != nil {
		t.Error(err)
	}
	b.ended <- nil
	want(t, "open connections", b.proxy.front.open(), 0)
}

// The same while clients are sent away, and where a connection has to make room.
func TestRequestThatHasBegunKeepsItsConnection(t *testing.T) {
	s := newServer(t, okAll)
	b := newBalancer(t, up("s-00000001", s))
	f := b.proxy.front
	x := b.begin(t)
	f.closeIdle(0)
	f.mu.Lock()
	for c, is := range f.conns { // it has long been so
		is.since -= 2 * restful
		f.conns[c] = is
	}
	f.maxOpen = len(f.conns)
	f.mu.Unlock()
	other, peer := net.Pipe()
	defer other.Close()
	defer peer.Close()
	f.count(other, http.StateNew) // one too many: it is closed itself
	if _, err := peer.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the new connection: %v, want its end", err)
	}
	f.mu.Lock()
	f.maxOpen = 100
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
	f.toldAt.Store(int64(told))
	want(t, "while it serves", f.beforeKill(told+2*time.Second, most), most)
	f.leaving.Store(true)
	for _, x := range []struct{ longest, since, want time.Duration }{
		{4 * time.Second, killed - killMargin - 1, most},
		{4 * time.Second, killed - killMargin, killCounts},
		{4 * time.Second, 2 * time.Second, 1600 * time.Millisecond},
		{time.Second, 2 * time.Second, 0},
		{time.Second, time.Second, 600 * time.Millisecond},
	} {
		f.longest = x.longest
		want(t, x.since.String()+" after SIGTERM", f.beforeKill(told+x.since, most), x.want)
	}
	f.toldAt.Store(int64(f.now() - 4*time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(b.raw(t, "checkin", "", "")), nil)
	if err != nil {
		t.Fatal(err)
	}
	want(t, "too late to be sent", resp.StatusCode, http.StatusServiceUnavailable)
}
