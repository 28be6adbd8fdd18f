package proxy

import (
	"fmt"
	"testing"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/discovery"
)

// An agent on the same machine may answer every watch call immediately, with or without changes. The balancer pauses between
// calls, so that polling does not keep a CPU core busy.
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

// An upstream gets no requests once its drain has been announced, and an older list does not revert that.
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
	assertEqual(t, "requests at the other upstream", len(two.arrivals), 10)
}

// When a reloaded configuration changes the address of discovery, the balancer fetches the complete list from the new
// service, whose revisions need not continue those of the old one, and then follows the new service only.
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
	assertEqual(t, "requests at the upstream of the new service", len(two.arrivals), 1)
}

// Lists of the old discovery service are applied until the new one has answered. Guards against ignoring a list that was in
// transit when the configuration was reloaded: a draining upstream then got requests until the new service answered.
func TestOldDiscoveryCountsUntilTheNewOneAnswers(t *testing.T) {
	one, two := newTestUpstream(t, respondOK), newTestUpstream(t, respondOK)
	m1, m2 := activeMember("s-00000001", one), activeMember("s-00000002", two)
	b := newBalancer(t, m1, m2)
	<-b.discovery.calls
	next := newTestDiscovery(t)
	b.moves <- next.addr
	assertEqual(t, "first call", <-next.calls, watchQuery(0)) // not answered yet
	b.discovery.answers <- discovery.List{Revision: 12, Members: []discovery.Entry{drainingMember(m1)}}
	state := func(is balancer.EndpointState) func(l *loop) bool {
		return func(l *loop) bool { return l.endpoints[1].state == is }
	}
	b.await(t, "the drain announced by the old service is applied", state(balancer.Draining))
	<-b.discovery.calls // the old service is still being watched
	next.answers <- discovery.List{Revision: 3, Complete: true, Members: []discovery.Entry{m1, m2}}
	assertEqual(t, "next call", <-next.calls, watchQuery(3))
	b.await(t, "the list of the new service is applied", state(balancer.Active))
	select { // the watch of the old service has ended, or its list is ignored
	case b.discovery.answers <- discovery.List{Revision: 13, Members: []discovery.Entry{drainingMember(m1)}}:
	case <-time.After(10 * discovery.WatchInterval):
	}
	b.runInLoop(t, func(l *loop) { assertEqual(t, "state at the end", l.endpoints[1].state, balancer.Active) })
}

// The revisions of an agent that has restarted at the same address start again from a low number. Guards against ignoring
// all its lists as older than the previous ones. A single outdated list still changes nothing.
func TestRestartedAgentIsFollowed(t *testing.T) {
	for _, complete := range []bool{true, false} {
		t.Run(fmt.Sprintf("complete list %v", complete), func(t *testing.T) {
			one, two := newTestUpstream(t, respondOK), newTestUpstream(t, respondOK)
			m1, m2 := activeMember("s-00000001", one), activeMember("s-00000002", two)
			b := newBalancer(t, m1, m2)
			<-b.discovery.calls
			b.discovery.answers <- discovery.List{Revision: 12, Complete: true, Members: []discovery.Entry{m1, m2}}
			assertEqual(t, "second call", <-b.discovery.calls, watchQuery(12))
			afterRestart := discovery.List{Revision: 3, Complete: complete, Members: []discovery.Entry{drainingMember(m1), m2}}
			b.discovery.answers <- afterRestart
			assertEqual(t, "third call", <-b.discovery.calls, watchQuery(12))
			b.discovery.answers <- afterRestart
			since := 0 // after changes without a complete list, the complete list is fetched
			if complete {
				since = 3
			}
			assertEqual(t, "fourth call", <-b.discovery.calls, watchQuery(since))
			b.runInLoop(t, func(l *loop) { assertEqual(t, "state", l.endpoints[1].state, balancer.Draining) })
		})
	}
}

// A change counts as announced 2 s after the timeout of a watch call, even if the agent is unresponsive, so the balancer must
// call again before that. Guards against detecting an unresponsive agent a second later: until then a draining upstream
// would have got requests.
func TestUnresponsiveDiscoveryIsPolledAgain(t *testing.T) {
	if discovery.ResponseTimeout >= 2*time.Second {
		t.Errorf("AnswerTimeout is %v, want less than 2 s", discovery.ResponseTimeout)
	}
	b := newBalancer(t)
	<-b.discovery.calls
	<-b.discovery.calls
}

// The decision module is notified of a failed call and schedules the next one.
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
