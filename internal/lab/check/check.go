// Package check verifies that the history of a run breaks no rule. It follows each request from its client to its response,
// and through every upstream that received it. The result depends on the history alone, not on which balancer or engine
// produced it.
package check

import (
	"cmp"
	"slices"
	"time"

	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/scenario"
)

// Rule is a correctness property that every history must satisfy.
type Rule string

// The rules.
const (
	OneAnswer Rule = "one-answer" // each accepted request gets exactly one final response, its own, in time
	OneEffect Rule = "one-effect" // a request that may have run is retried only as its class permits, and no request is invented
	Drained   Rule = "drained"    // no new request to an upstream after the notification that it is draining or removed
	ColdStart Rule = "cold-start" // no warming-up upstream is overloaded by balancers that were notified of its start
	Limits    Rule = "limits"     // memory and file descriptors stay within their limits
	NoCrash   Rule = "no-crash"   // a process exits only after a signal
	NoOrphan  Rule = "no-orphan"  // no process outlives the run
)

// Rules lists all rules, in the order of reports.
var Rules = []Rule{OneAnswer, OneEffect, Drained, ColdStart, Limits, NoCrash, NoOrphan}

// Violation is one violation of a rule with its evidence.
type Violation struct {
	Rule        Rule
	At          time.Duration
	Description string
	Trace       []history.Event // all events of the request, or those around the violation at the upstream or process
}

const (
	// tolerance is added to every time limit, for clock error and socket latency.
	tolerance = 50 * time.Millisecond
	// DeadlineGrace is how long after its deadline a response is still accepted. It does not count as served in time.
	DeadlineGrace = 500 * time.Millisecond
	// informedShare is the minimum share of the work sent to a collapsed upstream that must come from balancers notified of
	// its start for the collapse to violate ColdStart.
	informedShare = 2.0 / 3
)

// endpointView is one balancer's view of one upstream.
type endpointView struct{ balancer, upstream int32 }

// checker indexes the events that the rules need, in one pass.
type checker struct {
	scenario        *scenario.Scenario
	fleet           *scenario.Fleet
	paths           *scenario.Paths
	eventsByRequest map[uint64][]history.Event
	requestOrder    []uint64                         // request IDs in order of their first event
	notifications   map[endpointView][]history.Event // notifications of an upstream's state
	processEvents   map[int32][]history.Event        // by balancer
	upstreamEvents  map[int32][]history.Event        // by upstream: events of its process, and attempts that reached it
	faultEvents     []history.Event
	violations      []Violation
}

// Check returns every violation in a history, in order of time. Events must be in order of time.
func Check(sc *scenario.Scenario, f *scenario.Fleet, events []history.Event) []Violation {
	c := &checker{
		scenario:        sc,
		fleet:           f,
		paths:           sc.NewPaths(f),
		eventsByRequest: map[uint64][]history.Event{},
		notifications:   map[endpointView][]history.Event{},
		processEvents:   map[int32][]history.Event{},
		upstreamEvents:  map[int32][]history.Event{},
	}
	for _, e := range events {
		c.indexEvent(e)
	}
	for _, id := range c.requestOrder {
		trace := c.eventsByRequest[id]
		c.checkAnswers(trace)
		c.checkEffects(trace)
		c.checkDraining(trace)
	}
	for u := range c.fleet.Upstreams {
		c.checkColdStarts(c.upstreamEvents[int32(u)])
	}
	for b := range c.fleet.Balancers {
		c.checkProcess(c.processEvents[int32(b)])
	}
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.violations
}

// indexEvent adds an event to the indexes that the rules use, and reports a stray request as a violation.
func (c *checker) indexEvent(e history.Event) {
	switch {
	case e.Kind == history.Stray:
		c.add(OneEffect, e.At, "an upstream received a request that no client sent: "+e.Text, []history.Event{e})
	case e.Kind < history.Stray:
		if _, known := c.eventsByRequest[e.RequestID]; !known {
			c.requestOrder = append(c.requestOrder, e.RequestID)
		}
		c.eventsByRequest[e.RequestID] = append(c.eventsByRequest[e.RequestID], e)
		if isArrival(e) {
			c.upstreamEvents[e.Upstream] = append(c.upstreamEvents[e.Upstream], e)
		}
	case e.Kind == history.Notified:
		view := endpointView{e.Balancer, e.Upstream}
		c.notifications[view] = append(c.notifications[view], e)
	case e.Kind <= history.UpstreamStopped:
		c.upstreamEvents[e.Upstream] = append(c.upstreamEvents[e.Upstream], e)
	case e.Kind <= history.Orphan:
		c.processEvents[e.Balancer] = append(c.processEvents[e.Balancer], e)
	default:
		c.faultEvents = append(c.faultEvents, e)
	}
}

func (c *checker) add(rule Rule, at time.Duration, what string, trace []history.Event) {
	c.violations = append(c.violations, Violation{rule, at, what, trace})
}

// isArrival reports whether an event is an attempt that reached an upstream, accepted or not.
func isArrival(e history.Event) bool { return e.Kind == history.Arrived || e.Kind == history.Rejected }

// class returns the class of the request of an event.
func (c *checker) class(e history.Event) scenario.Class { return c.scenario.Classes[e.Class] }
