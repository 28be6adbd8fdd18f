package proxy

import (
	"fmt"
	"testing"
	"time"

	"sprucehill/balancer"
)

// An agent on the balancer's own machine answers a watch call at once, with or without changes. That must not keep the core
// busy.
func TestPausesBetweenWatchCalls(t *testing.T) {
	b := newBalancer(t)
	<-b.registry.calls
	start := time.Now()
	for range 4 {
		b.registry.answers <- listing{Revision: 10}
		<-b.registry.calls
	}
	if d := time.Since(start); d < 2*watchPause {
		t.Errorf("4 calls in %v", d)
	}
}

// After a drain has been announced nothing more goes to the upstream; an older list does not undo that.
func TestOlderListDoesNotUndoADrain(t *testing.T) {
	one, two := newServer(t, okAll), newServer(t, okAll)
	m1, m2 := up("s-00000001", one), up("s-00000002", two)
	b := newBalancer(t, m1, m2)
	want(t, "first call", <-b.registry.calls, watchQuery(10))
	b.registry.answers <- listing{Revision: 12, Members: []member{draining(m1)}}
	want(t, "next call", <-b.registry.calls, watchQuery(12))
	b.registry.answers <- listing{Revision: 11, Complete: true, Members: []member{m1, m2}}
	want(t, "call after an older answer", <-b.registry.calls, watchQuery(12))
	for range 10 {
		status, _ := b.do(t, b.ask("checkin", ""))
		want(t, "status", status, 200)
	}
	want(t, "requests at the draining upstream", len(one.arrivals), 0)
	want(t, "requests at the other", len(two.arrivals), 10)
}

// Discovery moves when the configuration is read again. The new one is followed from its beginning, as its revisions need
// not continue the old one's, and the old one's later lists no longer count.
func TestFollowsDiscoveryToANewAddress(t *testing.T) {
	one, two := newServer(t, okAll), newServer(t, okAll)
	b := newBalancer(t, up("s-00000001", one))
	want(t, "old call", <-b.registry.calls, watchQuery(10))
	next := newRegistry(t)
	b.moves <- next.addr
	want(t, "first call", <-next.calls, watchQuery(0))
	next.answers <- listing{Revision: 3, Complete: true, Members: []member{up("s-00000002", two)}}
	want(t, "next call", <-next.calls, watchQuery(3))
	status, _ := b.do(t, b.ask("checkin", ""))
	want(t, "status", status, 200)
	want(t, "requests at the new one's upstream", len(two.arrivals), 1)
}

// Lists of the old discovery count until the new one has answered: a list that was on its way when the configuration was
// read again used to be ignored, and a draining upstream got requests until the new one answered.
func TestOldDiscoveryCountsUntilTheNewOneAnswers(t *testing.T) {
	one, two := newServer(t, okAll), newServer(t, okAll)
	m1, m2 := up("s-00000001", one), up("s-00000002", two)
	b := newBalancer(t, m1, m2)
	<-b.registry.calls
	next := newRegistry(t)
	b.moves <- next.addr
	want(t, "first call", <-next.calls, watchQuery(0)) // it waits
	b.registry.answers <- listing{Revision: 12, Members: []member{draining(m1)}}
	state := func(is balancer.EndpointState) func(l *loop) bool {
		return func(l *loop) bool { return l.peers[1].state == is }
	}
	b.await(t, "the old one's drain is taken", state(balancer.Draining))
	<-b.registry.calls // it goes on
	next.answers <- listing{Revision: 3, Complete: true, Members: []member{m1, m2}}
	want(t, "next call", <-next.calls, watchQuery(3))
	b.await(t, "the new one's list is taken", state(balancer.Active))
	select { // its watch has ended, or else its list is ignored
	case b.registry.answers <- listing{Revision: 13, Members: []member{draining(m1)}}:
	case <-time.After(10 * watchPause):
	}
	b.inLoop(t, func(l *loop) { want(t, "state at the end", l.peers[1].state, balancer.Active) })
}

// The revisions of an agent that has restarted at its address begin again. Its lists used to be ignored for ever, as older
// than those before; a single list that is out of date still changes nothing.
func TestRestartedAgentIsFollowed(t *testing.T) {
	for _, complete := range []bool{true, false} {
		t.Run(fmt.Sprintf("complete list %v", complete), func(t *testing.T) {
			one, two := newServer(t, okAll), newServer(t, okAll)
			m1, m2 := up("s-00000001", one), up("s-00000002", two)
			b := newBalancer(t, m1, m2)
			<-b.registry.calls
			b.registry.answers <- listing{Revision: 12, Complete: true, Members: []member{m1, m2}}
			want(t, "second call", <-b.registry.calls, watchQuery(12))
			anew := listing{Revision: 3, Complete: complete, Members: []member{draining(m1), m2}}
			b.registry.answers <- anew
			want(t, "third call", <-b.registry.calls, watchQuery(12))
			b.registry.answers <- anew
			since := 0 // a delta says nothing of the rest
			if complete {
				since = 3
			}
			want(t, "fourth call", <-b.registry.calls, watchQuery(since))
			b.inLoop(t, func(l *loop) { want(t, "state", l.peers[1].state, balancer.Draining) })
		})
	}
}

// What an agent has to announce counts as announced 2 s after the wait of a call, even if the agent is unresponsive. That
// used to be noticed a second later: until then a draining upstream would have got requests.
func TestUnresponsiveDiscoveryIsPolledAgain(t *testing.T) {
	if callPatience >= 2*time.Second {
		t.Errorf("an answer may come %v after its wait", callPatience)
	}
	b := newBalancer(t)
	<-b.registry.calls
	<-b.registry.calls
}

// The decision module is notified of a failed call, and polls again in its own time.
func TestDiscoveryIsPolledAgainAfterAFailure(t *testing.T) {
	s := newServer(t, okAll)
	b := newBalancer(t)
	<-b.registry.calls
	b.registry.answers <- listing{} // 503
	<-b.registry.calls
	b.registry.answers <- listing{Revision: 20, Complete: true, Members: []member{up("s-00000001", s)}}
	<-b.registry.calls // the list has been posted
	status, _ := b.do(t, b.ask("checkin", ""))
	want(t, "status", status, 200)
}
