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

// failingListener fails its first accept calls, or all of them once it is broken.
type failingListener struct {
	recordingListener
	mu       sync.Mutex // guards the fields below
	failures []error    // of the next calls
	broken   error      // of all calls; nil: it is not broken
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

// newBalancerOnFailing starts a balancer whose clients come through a listener that fails.
func newBalancerOnFailing(t *testing.T, l *failingListener, members ...discovery.Entry) *testBalancer {
	t.Helper()
	return newBalancerOn(t, newTestDiscovery(t), func(x net.Listener) net.Listener {
		l.recordingListener = x.(recordingListener)
		return l
	}, func(*Config) {}, members...)
}

// An accept call may fail for lack of memory or for an error of the connection that it should have returned. The balancer goes
// on: it used to end with all requests in flight at the first such error that net/http does not know as temporary.
func TestServesAfterFailedAccept(t *testing.T) {
	s := newTestUpstream(t, respondOK)
	l := &failingListener{failures: []error{syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN,
		syscall.EHOSTUNREACH, syscall.EMFILE, syscall.ECONNABORTED}}
	b := newBalancerOnFailing(t, l, activeMember("s-00000001", s))
	status, _ := b.do(t, b.newRequest("checkin", ""))
	assertEqual(t, "status", status, 200)
}

// Where the listener itself is unusable the balancer ends with an error, but not before the requests that it has are answered.
func TestBrokenListenerLosesNoRequest(t *testing.T) {
	release := make(chan struct{})
	s := newTestUpstream(t, func(c net.Conn, r *http.Request) bool { <-release; return respondOK(c, r) })
	l := &failingListener{}
	b := newBalancerOnFailing(t, l, activeMember("s-00000001", s))
	first := b.doInBackground(b.newRequest("checkin", ""))
	<-s.arrivals
	l.setBroken(syscall.EBADF)
	b.sendRaw(t, "checkin", "") // the accept call that waits returns with it; the next one fails
	<-s.arrivals
	eventually(t, "the shutdown has begun", b.proxy.front.lifecycle.shutdown.isActive)
	close(release)
	assertEqual(t, "status", <-first, 200)
	err := <-b.ended
	b.ended <- nil // for the cleanup
	if !errors.Is(err, syscall.EBADF) {
		t.Errorf("ended with %v", err)
	}
}
