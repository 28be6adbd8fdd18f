package proxy

import (
	"fmt"
	"testing"
	"time"

	"sprucehill/balancer"
)

// Idle connections to other upstreams once took all the capacity there was: attempts failed unsent, and the module took
// their upstreams for unreachable. Where none is idle an attempt is not sent, which is no upstream's fault.
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
		t.Error("bytes on a closed connection")
	}
}

// An idle connection was once used for up to a second after its idle timeout, until the next eviction: its upstream may
// close it just then, and a class that must not run twice can't be retried. Attempts and health checks open another.
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
				l.pool.nextEviction = l.now() + time.Hour // not yet
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
						t.Error("bytes on a closed connection")
					}
				}
			})
		}
	}
}
