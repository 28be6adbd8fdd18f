package management

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// fakeBalancer is a Balancer that records the calls to StartDrain (true) and EndDrain (false).
type fakeBalancer struct {
	mu     sync.Mutex
	ready  bool
	drains []bool
}

func (f *fakeBalancer) Ready() (bool, string) {
	if f.ready {
		return true, "serving"
	}
	return false, "starting"
}

func (f *fakeBalancer) StartDrain() (bool, string) { return f.recordDrain(true) }

func (f *fakeBalancer) EndDrain() (bool, string) { return f.recordDrain(false) }

func (f *fakeBalancer) recordDrain(on bool) (bool, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drains = append(f.drains, on)
	return true, "noted"
}

func (f *fakeBalancer) WriteMetrics(w io.Writer) error {
	_, err := io.WriteString(w, "svc_a 1\nsvc_b 2\n")
	return err
}

func (f *fakeBalancer) DrainZone(name string) (bool, string) { return zoneResult(name, "left") }

func (f *fakeBalancer) ReinstateZone(name string) (bool, string) {
	return zoneResult(name, "returning")
}

// zoneResult returns a state for the zone dc-a, and an error text for all others.
func zoneResult(name, state string) (bool, string) {
	if name != "dc-a" {
		return false, "it is not known"
	}
	return true, state
}

func (f *fakeBalancer) WriteZones(w io.Writer) error {
	_, err := io.WriteString(w, "zone \"dc-a\" well\n")
	return err
}

func (f *fakeBalancer) WriteMembers(io.Writer) error { return errors.New("there is no membership") }

// serve runs Serve for a balancer until the test ends, and returns its address.
func serve(t *testing.T, b Balancer) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, l, b) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return l.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(30 * time.Second)) // only a failing test waits that long
	return c
}

// call sends text and returns the complete response, up to the end of the connection.
func call(t *testing.T, addr, text string) string {
	t.Helper()
	c := dial(t, addr)
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	response, err := io.ReadAll(c)
	if err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	return string(response)
}

func TestResponses(t *testing.T) {
	b := &fakeBalancer{ready: true}
	addr := serve(t, b)
	for _, c := range []struct{ sent, response string }{
		{"check\n", "YES serving\n"},
		{"check\r\n", "YES serving\n"},
		{"drain-on\n", "YES noted\n"},
		{"drain-on\n", "YES noted\n"},
		{"drain-off\n", "YES noted\n"},
		{"check\ncheck\n" + strings.Repeat("more\n", 1000), "YES serving\n"}, // all lines after the first are ignored
		{"zone-leave dc-a\n", "YES left\n"},
		{"zone-return dc-a\r\n", "YES returning\n"},
		{"zone-leave dc-x\n", "NO it is not known\n"},
		{"zone-leave\n", "NO zone-leave wants the name of a zone\n"},
		{"zone-leave \n", "NO zone-leave wants the name of a zone\n"},
		{"zone-status dc-a\n", "NO the calls are "},
		{"\n", "NO "},
		{"CHECK\n", "NO "},
		{"check now\n", "NO "},
		{"drain-on", "NO "}, // without a line feed the command may be incomplete
		{"\x00\xff\x16\x03\x01\n", "NO "},
		{strings.Repeat("x", 100_000), "NO "},
		{strings.Repeat("check", maxCommandSize) + "\n", "NO "},
	} {
		t.Run(fmt.Sprintf("%.40q", c.sent), func(t *testing.T) {
			got := call(t, addr, c.sent)
			if !strings.HasPrefix(got, c.response) || strings.Count(got, "\n") != 1 {
				t.Errorf("got %q, want one line %q", got, c.response)
			}
		})
	}
	if got, want := call(t, addr, "vars\n"), "svc_a 1\nsvc_b 2\nEND\n"; got != want {
		t.Errorf("vars: got %q, want %q", got, want)
	}
	if got, want := call(t, addr, "members\n"), "NO there is no membership\n"; got != want {
		t.Errorf("members: got %q, want %q", got, want)
	}
	if got, want := call(t, addr, "zone-status\n"), "zone \"dc-a\" well\nEND\n"; got != want {
		t.Errorf("zone-status: got %q, want %q", got, want)
	}
	if got := b.drains; len(got) != 3 || !got[0] || !got[1] || got[2] {
		t.Errorf("got calls %v of StartDrain (true) and EndDrain (false), want true, true, false", got)
	}
}

func TestCheckIsNoIfNotReady(t *testing.T) {
	if got := call(t, serve(t, &fakeBalancer{}), "check\n"); got != "NO starting\n" {
		t.Errorf("got %q", got)
	}
}

// Clients that hold connections open without sending a complete command neither delay a response nor accumulate: the
// oldest connection is closed for a new one.
func TestOldestConnectionIsClosedForANewOne(t *testing.T) {
	addr := serve(t, &fakeBalancer{ready: true})
	first := dial(t, addr)
	if _, err := io.WriteString(first, "che"); err != nil {
		t.Fatal(err)
	}
	for range 4 * maxConnections {
		dial(t, addr)
	}
	if got := call(t, addr, "check\n"); got != "YES serving\n" {
		t.Errorf("got %q", got)
	}
	// It was closed for a new one, so it gets no response: a connection that times out would get a NO.
	if text, err := io.ReadAll(first); len(text) > 0 {
		t.Errorf("the oldest connection got %q, %v", text, err)
	}
}

// A connection on which nothing is sent gets a response and is closed after a timeout.
func TestSilentClientTimesOut(t *testing.T) {
	c := dial(t, serve(t, &fakeBalancer{ready: true}))
	if text, err := io.ReadAll(c); err != nil || !strings.HasPrefix(string(text), "NO ") {
		t.Errorf("got %q, %v", text, err)
	}
}

// When its context ends, Serve closes its connections and its listener.
func TestServeClosesConnectionsWhenContextEnds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, l, &fakeBalancer{}) }()
	call(t, l.Addr().String(), "check\n")
	open := dial(t, l.Addr().String())
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if _, err := io.ReadAll(open); err != nil && !strings.Contains(err.Error(), "reset") {
		t.Error(err)
	}
	if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
		c.Close()
		t.Error("still listening")
	}
}
