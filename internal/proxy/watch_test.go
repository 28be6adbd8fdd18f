package proxy

import (
	"fmt"
	"testing"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/discovery"
)

// An agent on the balancer's own machine answers a watch call at once, with or without changes. That must not keep the core
// busy.
func TestPausesBetweenWatchCalls(t *testing.T) {
	b := newBalancer(t)
	<-b.discovery.calls
	start := time.Now()
	for range 4 {
		b.discovery.answers <- discovery.List{Revision: 10}
		<-b.discovery.calls
	}
	if d := time.Since(start); d < 2*discovery.WatchInterval {
		t.Errorf("4 calls in %v", d)
	}
}

// After a drain has been announced nothing more goes to the upstream; an older list does not undo that.
func TestOlderListDoesNotUndoADrain(t *testing.T) {
	one, two := newTestUpstream(t, respondOK), newTestUpstream(t, respondOK)
	m1, m2 := activeMember("s-00000001", one), activeMember("s-00000002", two)
	b := newBalancer(t, m1, m2)
	assertEqual(t, "first call", <-b.discovery.calls, watchQuery(10))
	b.discovery.answers <- discovery.List{Revision: 12, Members: []discovery.Entry{drainingMember(m1)}}
	assertEqual(t, "next call", <-b.discovery.calls, watchQuery(12))
	b.discovery.answers <- discovery.List{Revision: 11, Complete: true, Members: []discovery.Entry{m1, m2}}
	assertEqual(t, "call after an older answer", <-b.discovery.calls, watchQuery(12))
	for range 10 {
		status, _ := b.do(t, b.newRequest("checkin", ""))
		assertEqual(t, "status", status, 200)
	}
	assertEqual(t, "requests at the draining upstream", len(one.arrivals), 0)
	assertEqual(t, "requests at the other", len(two.arrivals), 10)
}

// Discovery moves when the configuration is read again. The new one is followed from its beginning, as its revisions need
// not continue the old one's, and the old one's later lists no longer count.
func TestFollowsDiscoveryToANewAddress(t *testing.T) {
	one, two := newTestUpstream(t, respondOK), newTestUpstream(t, respondOK)
	b := newBalancer(t, activeMember("s-00000001", one))
	assertEqual(t, "old call", <-b.discovery.calls, watchQuery(10))
	next := newTestDiscovery(t)
	b.moves <- next.addr
	assertEqual(t, "first call", <-next.calls, watchQuery(0))
	next.answers <- discovery.List{Revision: 3, Complete: true, Members: []discovery.Entry{activeMember("s-00000002", two)}}
	assertEqual(t, "next call", <-next.calls, watchQuery(3))
	status, _ := b.do(t, b.newRequest("checkin", ""))
	assertEqual(t, "status", status, 200)
	assertEqual(t, "requests at the new one's upstream", len(two.arrivals), 1)
}

// Lists of the old discovery count until the new one has answered: a list that was on its way when the configuration was
// read again used to be ignored, and a draining upstream got requests until the new one answered.
func TestOldDiscoveryCountsUntilTheNewOneAnswers(t *testing.T) {
	one, two := newTestUpstream(t, respondOK), newTestUpstream(t, respondOK)
	m1, m2 := activeMember("s-00000001", one), activeMember("s-00000002", two)
	b := newBalancer(t, m1, m2)
	<-b.discovery.calls
	next := newTestDiscovery(t)
	b.moves <- next.addr
	assertEqual(t, "first call", <-next.calls, watchQuery(0)) // it waits
	b.discovery.answers <- discovery.List{Revision: 12, Members: []discovery.Entry{drainingMember(m1)}}
	state := func(is balancer.EndpointState) func(l *loop) bool {
		return func(l *loop) bool { return l.endpoints[1].state == is }
	}
	b.await(t, "the old one's drain is taken", state(balancer.Draining))
	<-b.discovery.calls // it goes on
	next.answers <- discovery.List{Revision: 3, Complete: true, Members: []discovery.Entry{m1, m2}}
	assertEqual(t, "next call", <-next.calls, watchQuery(3))
	b.await(t, "the new one's list is taken", state(balancer.Active))
	select { // its watch has ended, or else its list is ignored
	case b.discovery.answers <- discovery.List{Revision: 13, Members: []discovery.Entry{drainingMember(m1)}}:
	case <-time.After(10 * discovery.WatchInterval):
	}
	b.runInLoop(t, func(l *loop) { assertEqual(t, "state at the end", l.endpoints[1].state, balancer.Active) })
}

// The revisions of an agent that has restarted at its address begin again. Its lists used to be ignored for ever, as older
// than those before; a single list that is out of date still changes nothing.
func TestRestartedAgentIsFollowed(t *testing.T) {
	for _, complete := range []bool{true, false} {
		t.Run(fmt.Sprintf("complete list %v", complete), func(t *testing.T) {
			one, two := newTestUpstream(t, respondOK), newTestUpstream(t, respondOK)
			m1, m2 := activeMember("s-00000001", one), activeMember("s-00000002", two)
			b := newBalancer(t, m1, m2)
			<-b.discovery.calls
			b.discovery.answers <- discovery.List{Revision: 12, Complete: true, Members: []discovery.Entry{m1, m2}}
			assertEqual(t, "second call", <-b.discovery.calls, watchQuery(12))
			anew := discovery.List{Revision: 3, Complete: complete, Members: []discovery.Entry{drainingMember(m1), m2}}
			b.discovery.answers <- anew
			assertEqual(t, "third call", <-b.discovery.calls, watchQuery(12))
			b.discovery.answers <- anew
			since := 0 // a delta says nothing of the rest
			if complete {
				since = 3
			}
			assertEqual(t, "fourth call", <-b.discovery.calls, watchQuery(since))
			b.runInLoop(t, func(l *loop) { assertEqual(t, "state", l.endpoints[1].state, balancer.Draining) })
		})
	}
}

// What an agent has to announce counts as announced 2 s after the wait of a call, even if the agent is unresponsive. That
// used to be noticed a second later: until then a draining upstream would have got requests.
func TestUnresponsiveDiscoveryIsPolledAgain(t *testing.T) {
	if discovery.AnswerTimeout >= 2*time.Second {
		t.Errorf("an answer may come %v after its wait", discovery.AnswerTimeout)
	}
	b := newBalancer(t)
	<-b.discovery.calls
	<-b.discovery.calls
}

// The decision module is notified of a failed call, and polls again in its own time.
func TestDiscoveryIsPolledAgainAfterAFailure(t *testing.T) {
	s := newTestUpstream(t, respondOK)
	b := newBalancer(t)
	<-b.discovery.calls
	b.discovery.answers <- discovery.List{} // 503
	<-b.discovery.calls
	b.discovery.answers <- discovery.List{Revision: 20, Complete: true, Members: []discovery.Entry{activeMember("s-00000001", s)}}
	<-b.discovery.calls // the list has been posted
	status, _ := b.do(t, b.newRequest("checkin", ""))
	assertEqual(t, "status", status, 200)
}
