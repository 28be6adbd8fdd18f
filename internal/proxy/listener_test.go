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

// listeningSocket opens a listening socket like the one that the platform holds. Each call of inherit returns a duplicate
// descriptor, as a process inherits it.
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
		fd, err := syscall.Dup(int(f.Fd())) // closed by inheritListener
		if err != nil {
			t.Fatal(err)
		}
		return fd
	}
}

// In an upgrade, the successor takes over the accept queue of the inherited listener. Its predecessor closes the listener at
// once and answers what it has accepted, and no client is rejected in between.
func TestUpgradeLosesNoRequest(t *testing.T) {
	release := make(chan struct{})
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Late") != "" {
			<-release
		}
		return respondOK(c, r)
	})
	addr, inherit := listeningSocket(t)
	first := newBalancerAt(t, inherit(), activeMember("s-00000001", upstream))
	first.url = "http://" + addr
	lateStatus := make(chan int, 1)
	go func() {
		resp, err := first.client.Do(first.newRequest("checkin", "", "X-Late", "1"))
		if err != nil {
			lateStatus <- 0
			return
		}
		resp.Body.Close()
		lateStatus <- resp.StatusCode
	}()
	<-upstream.arrivals
	second := newBalancerAt(t, inherit(), activeMember("s-00000001", upstream))
	second.url = first.url
	first.cancel()
	for n := 0; ; n++ { // until the first has closed the listener, either may answer; after that only the second
		status, _ := second.doOnNewConn(t, second.newRequest("checkin", ""))
		assertEqual(t, "status meanwhile", status, 200)
		if second.metric(t, `svc_passed{category="checkin"}`) > 10 {
			break
		}
	}
	assertEqual(t, "responses of the first so far", len(lateStatus), 0)
	close(release)
	assertEqual(t, "status of the request in flight", <-lateStatus, 200)
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

// Two overlapping processes together stay within the limits of one.
func TestOverlappingProcessesShareLimits(t *testing.T) {
	c, err := loadConfig(t, configText, map[string]string{"RELAY_FD": "3"})
	if err != nil {
		t.Fatal(err)
	}
	alone := c
	alone.ListenFD = 0
	if two, one := 2*c.SoftMemoryLimit(), alone.SoftMemoryLimit(); two > one {
		t.Errorf("memory of two processes: got %d bytes, want at most %d", two, one)
	}
	const others = 32 // descriptors of each process for listeners, discovery, operators and standard streams
	if n := 2*(c.maxUpstreamConns()+others) + c.MaxSockets/3; n > c.MaxSockets {
		t.Errorf("descriptors of two processes: got %d, want at most %d", n, c.MaxSockets)
	}
	// Guards against attempts of the process that shuts down using almost all of the connections that clients may have, so that
	// requests for its successor are refused.
	if n := 2 * c.maxUpstreamConns(); n > c.MaxSockets/3 {
		t.Errorf("attempts of two processes: got %d, want at most the %d client connections", n, c.MaxSockets/3)
	}
}

// A process that shuts down closes idle upstream connections, because its successor needs their descriptors.
func TestShutdownReleasesIdleConnections(t *testing.T) {
	upstream := newTestUpstream(t, respondOK)
	l := newTestLoop(t, 10)
	p := addEndpoint(l, 1, upstream)
	addIdleConn(t, l, p, l.now())
	late := addIdleConn(t, l, p, l.now())
	p.idle = p.idle[:1] // the second connection is in use
	releaseIdle{}.apply(l)
	assertEqual(t, "idle", len(p.idle), 0)
	l.pool.put(p, late)
	assertEqual(t, "idle after use", len(p.idle), 0)
	assertEqual(t, "connections", l.pool.open, 0)
}
