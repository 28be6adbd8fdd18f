package proxy

import (
	"fmt"
	"testing"
	"time"

	"sprucehill/balancer"
)

// At the connection limit an idle connection to another upstream is closed. Guards against idle connections that use up the
// whole limit: attempts then failed unsent, and the decision module considered their upstreams unreachable. If no
// connection is idle, the attempt ends as not sent, which does not count against the upstream.
func TestIdleConnectionIsClosedAtTheLimit(t *testing.T) {
	one := newTestUpstream(t, respondOK)
	two := newTestUpstream(t, respondOK)
	three := newTestUpstream(t, respondOK)
	l := newTestLoop(t, 2)
	older := addEndpoint(l, 1, one)
	newer := addEndpoint(l, 2, two)
	addEndpoint(l, 3, three)
	oldest := addIdleConn(t, l, older, l.now()-2*time.Second)
	addIdleConn(t, l, newer, l.now()-time.Second)
	for id := range balancer.RequestID(3) {
		l.addRequest(id)
		l.Send(id, 3, 0)
		if id < 2 {
			<-three.arrivals
		}
	}
	assertEqual(t, "attempts unsent", len(l.pendingOutcomes), 1) // the third found neither capacity nor an idle connection
	assertEqual(t, "its outcome", l.pendingOutcomes[0].status, balancer.NotSent)
	assertEqual(t, "idle", len(older.idle)+len(newer.idle), 0)
	assertEqual(t, "connections", l.pool.open, 2)
	oldest.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := oldest.Read(make([]byte, 1)); err == nil {
		t.Error("read from a connection that should be closed succeeded")
	}
}

// Attempts and health checks open a new connection instead of using one past its idle timeout. Guards against using it
// until the next eviction, up to a second later: the upstream may be closing it, and a request of a class that must not be
// executed twice can't be retried then.
func TestIdleConnectionIsNotUsedPastTheIdleTimeout(t *testing.T) {
	tests := []struct {
		name string
		age  func(l *loop) time.Duration
		used bool
	}{
		{"before the timeout", func(l *loop) time.Duration { return l.pool.idleTimeout / 2 }, true},
		{"at the timeout", func(l *loop) time.Duration { return l.pool.idleTimeout }, false},
	}
	for _, test := range tests {
		for _, healthCheck := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, health check %v", test.name, healthCheck), func(t *testing.T) {
				s := newTestUpstream(t, respondOK)
				l := newTestLoop(t, 10)
				p := addEndpoint(l, 1, s)
				older := addIdleConn(t, l, p, l.now()-2*l.pool.idleTimeout)
				addIdleConn(t, l, p, l.now()-test.age(l))
				l.pool.nextEviction = l.now() + time.Hour // no eviction during the test
				if healthCheck {
					l.HealthCheck(1)
				} else {
					l.addRequest(1)
					l.Send(1, 1, 0)
				}
				e := <-l.events
				e.apply(l)
				<-s.arrivals
				opened := 3
				if test.used {
					opened = 2
				}
				assertEqual(t, "connections opened", s.opened(), opened)
				assertEqual(t, "connections counted", l.pool.open, len(p.idle))
				if !test.used {
					older.SetReadDeadline(time.Now().Add(10 * time.Second))
					if _, err := older.Read(make([]byte, 1)); err == nil {
						t.Error("read from a connection that should be closed succeeded")
					}
				}
			})
		}
	}
}
