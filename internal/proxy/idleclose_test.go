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

// heldReadListener accepts connections. It can delay the return of one read that has taken bytes from the network.
type heldReadListener struct {
	net.Listener
	armed atomic.Bool   // the next read that returns bytes is delayed
	taken chan struct{} // receives a value when the delayed read has taken its bytes
	back  chan struct{} // closed by the test to let the delayed read return
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

// allIdle reports whether there are client connections and all of them are between two requests.
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

// A request arrives while its idle connection is being closed. If the request is first, the connection stays open and the
// request is answered. If the close is first, the request is not forwarded, since its client sends it again. Guards against
// forwarding a request whose bytes had been taken from the network but not been scanned at the close.
func TestRequestCrossingACloseIsNotForwarded(t *testing.T) {
	for _, first := range []string{"close", "request"} {
		for _, fresh := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s first, new connection %v", first, fresh), func(t *testing.T) {
				upstream := newTestUpstream(t, respondOK)
				listener := &heldReadListener{taken: make(chan struct{}), back: make(chan struct{})}
				b := newBalancerOn(t, newTestDiscovery(t), func(l net.Listener) net.Listener { listener.Listener = l; return listener },
					func(*Config) {}, activeMember("s-00000001", upstream))
				c, in := b.dial(t)
				sendRequest := func() {
					if err := b.newRequest("checkin", "").Write(c); err != nil {
						t.Fatal(err)
					}
				}
				sent := 0
				if !fresh {
					sendRequest()
					partialRequest{Conn: c, in: in}.answer(t)
					sent++
				}
				f := b.proxy.frontend
				eventually(t, "the connection is idle", f.allIdle)
				listener.armed.Store(true)
				sendRequest()
				<-listener.taken
				if first == "close" {
					f.conns.closeIdle(0, closedByDrain)
				}
				close(listener.back)
				if first == "close" {
					if _, err := in.ReadByte(); err == nil {
						t.Error("got a response on a connection that was closed")
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
				assertEqual(t, "requests at the upstream", len(upstream.arrivals), sent)
			})
		}
	}
}

// If a drain ends between the end of a streamed response and the next request, the connection is closed. Guards against leaving
// it open although nothing is read from it any more.
func TestEndedConnectionClosesAfterDrain(t *testing.T) {
	b := newBalancer(t)
	client, conn := net.Pipe()
	defer client.Close()
	c := framing.NewConn(conn, b.proxy.frontend.now, timelimit.ClientReadTimeout)
	const head = "GET /read/x HTTP/1.1\r\nHost: x\r\n\r\n"
	go func() { _, _ = io.WriteString(client, head) }()
	if _, err := io.ReadFull(c, make([]byte, len(head))); err != nil {
		t.Fatal(err)
	}
	c.EndAfterResponse() // as during a drain, which has ended when the response is complete
	b.proxy.frontend.conns.track(c, http.StateActive)
	b.proxy.frontend.conns.track(c, http.StateIdle)
	client.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("reading from the connection: got %v, want %v", err, io.EOF)
	}
	b.proxy.frontend.conns.track(c, http.StateClosed)
}
