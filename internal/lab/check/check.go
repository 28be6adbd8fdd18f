// Package check judges a history. Each request is followed from its client to its one answer, and through every upstream
// that received it. It knows the rules and not who had to keep them: a history of any balancer, from either engine, gets
// the same verdict.
package check

import (
	"cmp"
	"slices"
	"time"

	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/scenario"
)

// Rule is what was broken.
type Rule string

// The rules.
const (
	OneAnswer  Rule = "one-answer" // each request taken gets exactly one final answer, of its own, in time
	OneEffect  Rule = "one-effect" // what may have run is retried only as its class permits, and nothing is made up
	Drained    Rule = "drained"    // nothing new to a draining or removed upstream once notified
	ColdStart  Rule = "cold-start" // no upstream that warms up is overloaded by balancers that were notified of its start
	Limits     Rule = "limits"     // of memory and descriptors
	NoCrash    Rule = "no-crash"   // a process ends only after a signal
	NoLeftover Rule = "no-orphan"  // no process outlives the day
)

// Rules lists all rules, in the order of reports.
var Rules = []Rule{OneAnswer, OneEffect, Drained, ColdStart, Limits, NoCrash, NoLeftover}

// Violation is one breach with its evidence.
type Violation struct {
	Rule  Rule
	At    time.Duration
	What  string
	Trace []history.Event // all that happened to the request, or around the upstream or process
}

const (
	// tolerance is added to every limit, for clocks and sockets.
	tolerance = 50 * time.Millisecond
	// Grace is how long after its deadline an answer still counts as one. It is not served in time.
	Grace = 500 * time.Millisecond
	// informedShare is the least share of the work sent to a collapsed upstream that came from balancers which had been
	// notified of its start, for ColdStart to be broken.
	informedShare = 2.0 / 3
)

// endpointView is one balancer's view of one upstream.
type endpointView struct{ balancer, upstream int32 }

// checker gathers what the rules need in one pass.
type checker struct {
	day        *scenario.Scenario
	fleet      *scenario.Fleet
	paths      *scenario.Paths
	byRequest  map[uint64][]history.Event
	order      []uint64                         // requests in order of their first event
	phases     map[endpointView][]history.Event // notifications
	processes  map[int32][]history.Event        // by balancer
	upstreams  map[int32][]history.Event        // by upstream: its process, and what arrived
	faults     []history.Event
	violations []Violation
}

// Judge returns every violation in a history, in order of time. Events are in order of time.
func Judge(d *scenario.Scenario, f *scenario.Fleet, events []history.Event) []Violation {
	c := &checker{
		day:       d,
		fleet:     f,
		paths:     d.NewPaths(f),
		byRequest: map[uint64][]history.Event{},
		phases:    map[endpointView][]history.Event{},
		processes: map[int32][]history.Event{},
		upstreams: map[int32][]history.Event{},
	}
	for _, e := range events {
		c.sort(e)
	}
	for _, id := range c.order {
		trace := c.byRequest[id]
		c.checkAnswers(trace)
		c.checkEffects(trace)
		c.checkDraining(trace)
	}
	for u := range c.fleet.Upstreams {
		c.checkColdStarts(c.upstreams[int32(u)])
	}
	for b := range c.fleet.Balancers {
		c.checkProcess(c.processes[int32(b)])
	}
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.violations
}

// sort puts an event where the rules look for it.
func (c *checker) sort(e history.Event) {
	switch {
	case e.Kind == history.Stray:
		c.add(OneEffect, e.At, "an upstream got a request that no client sent: "+e.Text, []history.Event{e})
	case e.Kind < history.Stray:
		if _, known := c.byRequest[e.RequestID]; !known {
			c.order = append(c.order, e.RequestID)
		}
		c.byRequest[e.RequestID] = append(c.byRequest[e.RequestID], e)
		if isArrival(e) {
			c.upstreams[e.Upstream] = append(c.upstreams[e.Upstream], e)
		}
	case e.Kind == history.Notified:
		view := endpointView{e.Balancer, e.Upstream}
		c.phases[view] = append(c.phases[view], e)
	case e.Kind <= history.UpstreamStopped:
		c.upstreams[e.Upstream] = append(c.upstreams[e.Upstream], e)
	case e.Kind <= history.Orphan:
		c.processes[e.Balancer] = append(c.processes[e.Balancer], e)
	default:
		c.faults = append(c.faults, e)
	}
}

func (c *checker) add(rule Rule, at time.Duration, what string, trace []history.Event) {
	c.violations = append(c.violations, Violation{rule, at, what, trace})
}

// isArrival reports whether an event is an attempt that reached an upstream, accepted or not.
func isArrival(e history.Event) bool { return e.Kind == history.Arrived || e.Kind == history.Rejected }

// class is that of the request of an event.
func (c *checker) class(e history.Event) scenario.Class { return c.day.Classes[e.Class] }
