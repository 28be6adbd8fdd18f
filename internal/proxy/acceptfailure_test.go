package proxy

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"

	"sprucehill/internal/discovery"
)

// failingListener is a listener whose first accept calls fail, or all of them once it is broken.
type failingListener struct {
	recordingListener
	mu       sync.Mutex // guards the fields below
	failures []error    // the errors that the next calls return
	broken   error      // the error that all calls return; nil if the listener is not broken
}

func (l *failingListener) Accept() (net.Conn, error) {
	if err := l.nextFailure(); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return l.recordingListener.Accept()
}

func (l *failingListener) nextFailure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.broken != nil || len(l.failures) == 0 {
		return l.broken
	}
	err := l.failures[0]
	l.failures = l.failures[1:]
	return err
}

func (l *failingListener) setBroken(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = err
}

// newBalancerOnFailing starts a balancer that accepts clients from a failing listener.
func newBalancerOnFailing(t *testing.T, l *failingListener, members ...discovery.Entry) *testBalancer {
	t.Helper()
	return newBalancerOn(t, newTestDiscovery(t), func(inner net.Listener) net.Listener {
		l.recordingListener = inner.(recordingListener)
		return l
	}, func(*Config) {}, members...)
}

// An accept call can fail for lack of memory or because of an error of the connection that it should return. The balancer must
// continue to serve. Guards against ending, with all requests in flight, at an error that net/http does not treat as temporary.
func TestServesAfterFailedAccept(t *testing.T) {
	upstream := newTestUpstream(t, respondOK)
	listener := &failingListener{failures: []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN,
		syscall.EHOSTUNREACH, syscall.EMFILE, syscall.ECONNABORTED}}
	b := newBalancerOnFailing(t, listener, activeMember("s-00000001", upstream))
	status, _ := b.do(t, b.newRequest("checkin", ""))
	assertEqual(t, "status", status, 200)
}

// If the listener itself is unusable, the balancer answers the accepted requests and then ends with an error.
func TestBrokenListenerLosesNoRequest(t *testing.T) {
	release := make(chan struct{})
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool { <-release; return respondOK(c, r) })
	listener := &failingListener{}
	b := newBalancerOnFailing(t, listener, activeMember("s-00000001", upstream))
	first := b.doInBackground(b.newRequest("checkin", ""))
	<-upstream.arrivals
	listener.setBroken(syscall.EBADF)
	b.sendRaw(t, "checkin", "") // ends the pending accept call; the next call fails
	<-upstream.arrivals
	eventually(t, "the shutdown has begun", b.proxy.frontend.lifecycle.shutdown.isActive)
	close(release)
	assertEqual(t, "status", <-first, 200)
	err := <-b.ended
	b.ended <- nil // the cleanup waits for the end too
	if !errors.Is(err, syscall.EBADF) {
		t.Errorf("ended with %v", err)
	}
}
