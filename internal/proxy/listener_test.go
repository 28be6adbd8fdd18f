package proxy

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// listeningSocket is a listening socket as held by the platform: each call of inherit returns a descriptor that a process
// inherits.
func listeningSocket(t *testing.T) (addr string, inherit func() int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String(), func() int {
		f, err := l.(*net.TCPListener).File()
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		fd, err := syscall.Dup(int(f.Fd())) // the listener takes it over
		if err != nil {
			t.Fatal(err)
		}
		return fd
	}
}

// A successor takes over the queue of a listener that the platform holds. Its predecessor closes the listener at once and
// keeps what it had accepted, and no client is rejected in between.
func TestUpgradeLosesNoRequest(t *testing.T) {
	release := make(chan struct{})
	s := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Late") != "" {
			<-release
		}
		return respondOK(c, r)
	})
	addr, inherit := listeningSocket(t)
	first := newBalancerAt(t, inherit(), activeMember("s-00000001", s))
	first.url = "http://" + addr
	late := make(chan int, 1)
	go func() {
		resp, err := first.client.Do(first.newRequest("checkin", "", "X-Late", "1"))
		if err != nil {
			late <- 0
			return
		}
		resp.Body.Close()
		late <- resp.StatusCode
	}()
	<-s.arrivals
	second := newBalancerAt(t, inherit(), activeMember("s-00000001", s))
	second.url = first.url
	first.cancel()
	for n := 0; ; n++ { // until the first has closed the listener, either may answer; from then on only the second
		status, _ := second.doOnNewConn(t, second.newRequest("checkin", ""))
		assertEqual(t, "status meanwhile", status, 200)
		if second.metric(t, `svc_passed{category="checkin"}`) > 10 {
			break
		}
	}
	assertEqual(t, "responses of the first so far", len(late), 0)
	close(release)
	assertEqual(t, "status of the request in flight", <-late, 200)
	first.awaitEnd(t)
	before := second.metric(t, `svc_passed{category="checkin"}`)
	for range 10 {
		status, _ := second.doOnNewConn(t, second.newRequest("checkin", ""))
		assertEqual(t, "status after", status, 200)
	}
	assertEqual(t, "served by the second", second.metric(t, `svc_passed{category="checkin"}`)-before, 10)
}

func TestBadListenerErrors(t *testing.T) {
	for _, text := range []string{"x", "-1", "0", "2", "3.5", "99999999999999999999"} {
		if _, err := loadConfig(t, configText, map[string]string{"RELAY_FD": text}); err == nil || !strings.Contains(err.Error(), "RELAY_FD") {
			t.Errorf("RELAY_FD=%s: got %v", text, err)
		}
	}
	file, err := os.Create(filepath.Join(t.TempDir(), "file"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	addr, _ := listeningSocket(t)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	connected, err := c.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	defer connected.Close()
	for name, fd := range map[string]int{"closed": 1 << 20, "a file": int(file.Fd()), "a connection": int(connected.Fd())} {
		fd, dupErr := syscall.Dup(fd)
		if dupErr != nil {
			fd = 1 << 20
		}
		c, err := loadConfig(t, configText, map[string]string{"RELAY_FD": fmt.Sprint(fd)})
		if err != nil {
			t.Fatal(err)
		}
		if l, err := c.OpenListener(); err == nil || !strings.Contains(err.Error(), "RELAY_FD") {
			t.Errorf("%s: got %v, %v", name, l, err)
		}
	}
}

// Two processes that overlap stay inside the limits of one.
func TestOverlappingProcessesShareLimits(t *testing.T) {
	c, err := loadConfig(t, configText, map[string]string{"RELAY_FD": "3"})
	if err != nil {
		t.Fatal(err)
	}
	alone := c
	alone.ListenFD = 0
	if two, one := 2*c.SoftMemory(), alone.SoftMemory(); two > one {
		t.Errorf("memory: %d for both, %d for one", two, one)
	}
	const others = 32 // listeners, discovery, operators, standard streams at each
	if n := 2*(c.maxUpstreamConns()+others) + c.Sockets/3; n > c.Sockets {
		t.Errorf("%d of %d descriptors", n, c.Sockets)
	}
	// Attempts of the process that shuts down used to take all but a few of the connections that clients have, so that
	// requests for its successor were refused.
	if n := 2 * c.maxUpstreamConns(); n > c.Sockets/3 {
		t.Errorf("%d attempts at both, %d connections of clients", n, c.Sockets/3)
	}
}

// A process that shuts down keeps no idle upstream connection: its successor needs their descriptors.
func TestShutdownReleasesIdleConnections(t *testing.T) {
	s := newTestUpstream(t, respondOK)
	l := newTestLoop(t, 10)
	p := addEndpoint(l, 1, s)
	addIdleConn(t, l, p, l.now())
	late := addIdleConn(t, l, p, l.now())
	p.idle = p.idle[:1] // the other is in use
	releaseIdle{}.apply(l)
	assertEqual(t, "idle", len(p.idle), 0)
	l.pool.put(p, late)
	assertEqual(t, "idle after use", len(p.idle), 0)
	assertEqual(t, "connections", l.pool.open, 0)
}
