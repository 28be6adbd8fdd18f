package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"sprucehill/internal/framing"
	"sprucehill/internal/timelimit"
)

// heldReadListener accepts connections of which one read can be held back after its bytes have been taken from the network.
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

// heldReadConn is a connection of a heldReadListener.
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

// allIdle reports whether there is a client connection, and all of them are between two requests.
func (f *frontend) allIdle() bool {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	for c := range f.conns.open {
		if !c.IsIdle() {
			return false
		}
	}
	return len(f.conns.open) > 0
}

// A request comes at the very moment at which its idle connection is closed. Either the request was first, and the
// connection stays open and the request is answered; or the close was, and the request, which its client sends again, is
// not forwarded. It used to be, where its bytes had been taken from the network but not been scanned.
func TestRequestCrossingACloseIsNotForwarded(t *testing.T) {
	for _, first := range []string{"close", "request"} {
		for _, fresh := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s first, new connection %v", first, fresh), func(t *testing.T) {
				s := newTestUpstream(t, respondOK)
				r := &heldReadListener{taken: make(chan struct{}), back: make(chan struct{})}
				b := newBalancerOn(t, newTestDiscovery(t), func(l net.Listener) net.Listener { r.Listener = l; return r },
					func(*Config) {}, activeMember("s-00000001", s))
				c, in := b.dial(t)
				ask := func() {
					if err := b.newRequest("checkin", "").Write(c); err != nil {
						t.Fatal(err)
					}
				}
				sent := 0
				if !fresh {
					ask()
					partialRequest{Conn: c, in: in}.answer(t)
					sent++
				}
				f := b.proxy.front
				eventually(t, "the connection is idle", f.allIdle)
				r.armed.Store(true)
				ask()
				<-r.taken
				if first == "close" {
					f.conns.closeIdle(0, closedByDrain)
				}
				close(r.back)
				if first == "close" {
					if _, err := in.ReadByte(); err == nil {
						t.Error("an answer on a connection that was closed")
					}
				} else {
					partialRequest{Conn: c, in: in}.answer(t)
					sent++
				}
				eventually(t, "the connection is closed", func() bool {
					f.conns.closeIdle(0, closedByDrain)
					return f.conns.count() == 0
				})
				b.awaitSettled(t)
				assertEqual(t, "requests at the upstream", len(s.arrivals), sent)
			})
		}
	}
}

// A drain that ends between the end of a streamed response and its connection's next request does not leave a connection on
// which nothing is read.
func TestEndedConnectionClosesAfterDrain(t *testing.T) {
	b := newBalancer(t)
	client, conn := net.Pipe()
	defer client.Close()
	c := framing.NewConn(conn, b.proxy.front.now, timelimit.ClientRead)
	const head = "GET /read/x HTTP/1.1\r\nHost: x\r\n\r\n"
	go func() { _, _ = io.WriteString(client, head) }()
	if _, err := io.ReadFull(c, make([]byte, len(head))); err != nil {
		t.Fatal(err)
	}
	c.EndAfterResponse() // in a drain, which is over when the response is
	b.proxy.front.conns.track(c, http.StateActive)
	b.proxy.front.conns.track(c, http.StateIdle)
	client.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the connection is open: %v", err)
	}
	b.proxy.front.conns.track(c, http.StateClosed)
}
