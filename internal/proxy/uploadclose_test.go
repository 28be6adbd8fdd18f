package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"sprucehill/internal/discovery"
)

// disconnectGrace is how long after its client has closed the connection a request may still be forwarded, by the operators'
// rules.
const disconnectGrace = 100 * time.Millisecond

// uploadForm is a form in which a client sends an upload.
type uploadForm struct {
	name           string
	size           int  // bytes of the body, few enough for its unread part to fit into the receive buffer
	chunked        bool // sent without a Content-Length
	expectContinue bool // the client awaits 100 Continue before it sends the body
	noBudget       bool // the body budget is used up, so that only bodybudget.MinBuffered bytes are buffered
}

// uploadForms are the forms of an upload. The smallest one has been read from the network completely, up to the buffer of
// net/http, while its body is still incomplete for the proxy.
var uploadForms = []uploadForm{
	{name: "length", size: 100 << 10},
	{name: "chunked", size: 100 << 10, chunked: true},
	{name: "100-continue", size: 100 << 10, expectContinue: true},
	{name: "no budget", size: 20 << 10, noBudget: true},
	{name: "no budget, chunked", size: 20 << 10, noBudget: true, chunked: true},
	{name: "no budget, read ahead by net/http", size: 6 << 10, noBudget: true},
}

// newRequest returns an upload. Headers are pairs of a name and a value.
func (form uploadForm) newRequest(b *testBalancer, headers ...string) *http.Request {
	r := b.newRequest("checkin", "", headers...)
	r.Body, r.ContentLength = io.NopCloser(patternReader(int64(form.size))), int64(form.size)
	if form.chunked {
		r.ContentLength = -1
	}
	if form.expectContinue {
		r.Header.Set("Expect", "100-continue")
	}
	return r
}

// send sends an upload on a new connection, and returns once its last byte has arrived at the balancer's machine.
func (form uploadForm) send(t *testing.T, b *testBalancer, headers ...string) net.Conn {
	t.Helper()
	c := b.dialConn(t)
	var text bytes.Buffer
	if err := form.newRequest(b, headers...).Write(&text); err != nil {
		t.Fatal(err)
	}
	headLength := bytes.Index(text.Bytes(), []byte("\r\n\r\n")) + 4
	if _, err := c.Write(text.Next(headLength)); err != nil {
		t.Fatal(err)
	}
	if form.expectContinue {
		const interim = "HTTP/1.1 100 Continue\r\n\r\n"
		got := make([]byte, len(interim))
		if _, err := io.ReadFull(c, got); err != nil || string(got) != interim {
			t.Fatalf("got %q, %v, want %q", got, err, interim)
		}
	}
	if _, err := c.Write(text.Bytes()); err != nil {
		t.Fatal(err)
	}
	awaitAcknowledged(t, c)
	return c
}

// useUpBudget uses up the body budget for the rest of the test if the form demands it, and returns a function that restores
// it.
func (form uploadForm) useUpBudget(b *testBalancer) (restore func()) {
	if !form.noBudget {
		return func() {}
	}
	budget := b.proxy.loop.dialer.bodyBudget
	all := int(budget.Available())
	budget.Release(-all)
	return func() { budget.Release(all) }
}

// awaitAcknowledged waits until the peer's machine has acknowledged all that was written to a connection.
func awaitAcknowledged(t *testing.T, c net.Conn) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "all bytes are acknowledged", func() bool {
		var unacknowledged int
		controlErr := raw.Control(func(fd uintptr) { unacknowledged, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		return controlErr == nil && err == nil && unacknowledged == 0
	})
}

// uploadWait is what an upload waits for while the rest of its body is unread.
type uploadWait string

const (
	waitsForEndpoint   uploadWait = "queue"
	waitsForConnection uploadWait = "connection"
	waitsForRetry      uploadWait = "connection of a retry"
)

// start starts a balancer at which the next upload waits. When the returned function await returns, it waits; release ends
// the wait.
func (w uploadWait) start(t *testing.T, upstream *testUpstream) (b *testBalancer, await, release func()) {
	t.Helper()
	gate := newDialGate(t)
	open, dials := gate.open, 1
	if w == waitsForRetry { // the first attempt fails
		dials = 2
		open = func(network, address string, timeout time.Duration) (net.Conn, error) {
			c, err := gate.open(network, address, timeout)
			if dials--; dials > 0 {
				c.Close()
				return nil, syscall.ECONNREFUSED
			}
			return c, err
		}
	}
	members := []discovery.Entry{activeMember("s-00000001", upstream), activeMember("s-00000002", upstream)}
	g := newTestDiscovery(t)
	config := func(c *Config) { c.openConn = open }
	if w == waitsForEndpoint {
		b = newBalancerWith(t, g, config)
		await = func() {
			b.await(t, "a request is queued", func(l *loop) bool { return len(l.requests) == 1 })
		}
		return b, await, func() {
			gate.openAllNow()
			g.answers <- discovery.List{Revision: 11, Complete: true, Members: members}
		}
	}
	b = newBalancerWith(t, g, config, members...)
	await = func() {
		if w == waitsForRetry {
			close(gate.next(t).connect)
		}
		gate.next(t)
	}
	return b, await, gate.openAllNow
}

// processState is a state of the balancer's process in which requests are still served.
type processState string

const (
	serving      processState = "serving"
	draining     processState = "draining"
	shuttingDown processState = "shutting down"
)

// enter brings a balancer into the state.
func (s processState) enter(b *testBalancer) {
	switch f := b.proxy.frontend; s {
	case draining:
		f.startDrain()
	case shuttingDown:
		f.lifecycle.shutdown.begin(f.now())
	}
}

// An upload whose client closes or resets its connection while a part of the body is unread is not forwarded, whatever it waits
// for, in every form, and while the process drains or shuts down. Guards against a close that nobody looks for until the last
// byte of the body has been read: the upload was forwarded completely when its wait ended.
func TestDisconnectBehindUnreadBodyIsNotForwarded(t *testing.T) {
	for _, wait := range []uploadWait{waitsForEndpoint, waitsForConnection, waitsForRetry} {
		for _, form := range uploadForms {
			disconnectCase{wait, form, serving, false}.run(t)
		}
		disconnectCase{wait, uploadForms[0], draining, false}.run(t)
		disconnectCase{wait, uploadForms[1], shuttingDown, true}.run(t)
	}
}

// disconnectCase is a case of TestDisconnectBehindUnreadBodyIsNotForwarded.
type disconnectCase struct {
	wait   uploadWait
	form   uploadForm
	state  processState
	resets bool // the client resets its connection
}

func (x disconnectCase) run(t *testing.T) {
	t.Helper()
	t.Run(fmt.Sprintf("%s, %s, %s, resets %v", x.wait, x.form.name, x.state, x.resets), func(t *testing.T) {
		upstream := newTestUpstream(t, respondOK)
		b, await, release := x.wait.start(t, upstream)
		restoreBudget := x.form.useUpBudget(b)
		c := x.form.send(t, b)
		await()
		x.state.enter(b)
		if x.resets {
			c.(*net.TCPConn).SetLinger(0)
		}
		c.Close()
		time.Sleep(disconnectGrace)
		release()
		b.awaitRequestsClosed(t)
		b.awaitSettledWith(t, restoreBudget)
		assertEqual(t, "requests at the upstream", len(upstream.arrivals), 0)
		assertEqual(t, "attempts written", b.metric(t, "svc_upstream_tries"), 0)
		assertEqual(t, "abandoned", b.metric(t, `svc_abandoned{category="checkin"}`), 1)
	})
}

// A disconnect that has arrived is noticed when an upload's connection opens, not only at the next periodic check, and nothing
// is written. Guards against forwarding what the event loop does not know yet.
func TestDisconnectIsNoticedWhenAnUploadIsWritten(t *testing.T) {
	for _, form := range uploadForms {
		t.Run(form.name, func(t *testing.T) {
			upstream := newTestUpstream(t, respondOK)
			b, await, release := waitsForConnection.start(t, upstream)
			restoreBudget := form.useUpBudget(b)
			c := form.send(t, b)
			await()
			c.Close()
			release()
			b.awaitSettledWith(t, restoreBudget)
			assertEqual(t, "requests at the upstream", len(upstream.arrivals), 0)
			assertEqual(t, "attempts written", b.metric(t, "svc_upstream_tries"), 0)
		})
	}
}

// awaitSettledWith restores the body budget and waits until the balancer is settled.
func (b *testBalancer) awaitSettledWith(t *testing.T, restoreBudget func()) {
	t.Helper()
	restoreBudget()
	b.awaitSettled(t)
}

// stalledUpstream accepts connections and reads nothing from them until it is released.
type stalledUpstream struct {
	testUpstream
	release  chan struct{} // closed by the test
	requests chan error    // the result of reading each request after the release; nil if it was complete
	silent   bool          // it never answers
}

// stalledBuffer is the size, in bytes, of the buffers of the connections to a stalledUpstream.
const stalledBuffer = 4 << 10

func newStalledUpstream(t *testing.T) *stalledUpstream {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, stalledBuffer)
		})
		return errors.Join(controlErr, err)
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &stalledUpstream{testUpstream: testUpstream{addr: l.Addr().String()}, release: make(chan struct{}), requests: make(chan error, 10)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

// serve reads one request of a connection, once the upstream has been released, and answers it.
func (s *stalledUpstream) serve(c net.Conn) {
	defer c.Close()
	<-s.release
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	s.requests <- err
	if err == nil && s.silent {
		_, _ = c.Read(make([]byte, 1)) // until the balancer closes the connection
	} else if err == nil {
		writeOK(c, "done")
	}
}

// openWithSmallBuffer is a dialFunc whose connections hold few bytes that the upstream has not read.
func openWithSmallBuffer(network, address string, timeout time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout(network, address, timeout)
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(stalledBuffer)
	}
	return c, err
}

// awaitBlockedWrite waits until an attempt has been claimed for writing.
func (b *testBalancer) awaitBlockedWrite(t *testing.T) {
	t.Helper()
	b.await(t, "an attempt is being written", func(l *loop) bool {
		for _, e := range l.endpoints {
			for a := range e.inFlight {
				return a.stage.Load() == attemptClaimed
			}
		}
		return false
	})
}

// A client that disconnects while its upload waits for an upstream that takes no more is noticed, and the upstream never
// receives the complete request, whether or not the settings allow cancelling. Guards against completing the request from the
// receive buffer once the upstream goes on.
func TestDisconnectDuringBlockedUploadIsNotCompleted(t *testing.T) {
	for name, cancel := range cancelSettings {
		for _, form := range uploadForms {
			if form.size < 16*stalledBuffer {
				form.size = 16 * stalledBuffer // more than the connection to the upstream takes
			}
			t.Run(name+", "+form.name, func(t *testing.T) {
				upstream := newStalledUpstream(t)
				b := newBalancerWith(t, newTestDiscovery(t), func(c *Config) {
					withSettings(t, `"cancel":true`, cancel)(c)
					c.openConn = openWithSmallBuffer
				}, activeMember("s-00000001", &upstream.testUpstream))
				restoreBudget := form.useUpBudget(b)
				c := form.send(t, b)
				b.awaitBlockedWrite(t)
				c.Close()
				time.Sleep(disconnectGrace)
				close(upstream.release)
				if err := <-upstream.requests; err == nil {
					t.Error("the upstream received a complete request")
				}
				b.awaitSettledWith(t, restoreBudget)
			})
		}
	}
}

// The close of a client may follow body bytes that wait in the client's machine for room. It is noticed before the last byte is
// written, so that the upstream never receives the complete request. Guards against an upload that is completed because its
// client's close arrives with the last bytes.
func TestDisconnectWithTheLastBytesIsNotCompleted(t *testing.T) {
	for _, form := range []uploadForm{{name: "length", size: 1 << 20}, {name: "chunked", size: 1 << 20, chunked: true}} {
		t.Run(form.name, func(t *testing.T) {
			upstream := newTestUpstream(t, respondOK)
			b, await, release := waitsForConnection.start(t, upstream)
			c := b.dialConn(t)
			if err := form.newRequest(b).Write(c); err != nil {
				t.Fatal(err)
			}
			await()
			c.Close()
			release()
			b.awaitRequestsClosed(t)
			b.awaitSettled(t)
			assertEqual(t, "requests at the upstream", len(upstream.arrivals), 0)
			assertEqual(t, "attempts written", b.metric(t, "svc_upstream_tries"), 0)
		})
	}
}
