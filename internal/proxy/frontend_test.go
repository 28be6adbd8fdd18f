package proxy

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"sprucehill/internal/framing"
	"sprucehill/internal/timelimit"
)

// A client that is silent, or stops in the middle of a request, has to get an error or a close within 3 s of connecting. It
// used to have 5 s for the head and 10 s for the rest, and each such client held a descriptor for as long.
func TestSlowClientsAreDisconnected(t *testing.T) {
	if timelimit.ClientRead >= 3*time.Second {
		t.Errorf("clients have %v", timelimit.ClientRead)
	}
	s := newTestUpstream(t, respondOK)
	b := newBalancer(t, activeMember("s-00000001", s))
	const head = "POST /checkin HTTP/1.1\r\nHost: x\r\nX-Request-Id: 00000000000000aa\r\nX-Class: checkin\r\n"
	ends := map[string]chan error{}
	const complete = head + "Content-Length: 0\r\n\r\n"
	for _, sent := range []string{"", "PO", head, head + "Content-Length: 9\r\n\r\nbody", complete + "P", complete + "POST"} {
		c := b.dialConn(t)
		c.SetDeadline(time.Now().Add(2 * timelimit.ClientRead)) // only a failure takes that long
		if _, err := io.WriteString(c, sent); err != nil {
			t.Fatal(err)
		}
		end := make(chan error, 1)
		ends[sent] = end
		go func() {
			_, err := io.Copy(io.Discard, c)
			end <- err
		}()
	}
	for sent, end := range ends {
		if err := <-end; err != nil {
			t.Errorf("after %q: %v, want a close", sent, err)
		}
	}
	assertEqual(t, "requests at the upstream", len(s.arrivals), 2) // the complete ones
}

// Connections over the limit make room by closing the idle ones, the longest idle first, and are closed themselves only
// where none has been idle for long. Clients that sent nothing used to hold descriptors without a limit.
func TestClientConnectionsAreBounded(t *testing.T) {
	now := time.Hour
	f := newFrontend(&Config{Sockets: 6}, nil, newTestLoop(t, 0))
	f.now = func() time.Duration { return now }
	f.conns.now = f.now
	open := func(s http.ConnState) net.Conn {
		c, peer := net.Pipe()
		t.Cleanup(func() { c.Close(); peer.Close() })
		framed := framing.NewConn(c, f.now, timelimit.ClientRead)
		f.conns.track(framed, http.StateNew)
		if s == http.StateNew {
			return c
		}
		go io.WriteString(peer, "GET / HTTP/1.1\r\n\r\n")
		if _, err := io.ReadFull(framed, make([]byte, 18)); err != nil {
			return c // it was over the limit, and closed itself
		}
		if f.conns.track(framed, http.StateActive); s == http.StateIdle {
			f.conns.track(framed, s)
		}
		return c
	}
	closed := func(c net.Conn) bool { return c.SetDeadline(time.Time{}) != nil }
	busy := open(http.StateActive)
	now += time.Second
	idle := open(http.StateIdle)
	now += time.Second
	silent := open(http.StateNew)
	now += timelimit.EvictionMinIdle
	first := open(http.StateActive) // over the limit: idle has been so for longest
	second := open(http.StateActive)
	third := open(http.StateActive) // none is left to make room
	for name, c := range map[string]struct {
		net.Conn
		closed bool
	}{"busy": {busy, false}, "idle": {idle, true}, "silent": {silent, true}, "first": {first, false},
		"second": {second, false}, "third": {third, true}} {
		assertEqual(t, name+" closed", closed(c.Conn), c.closed)
	}
}
