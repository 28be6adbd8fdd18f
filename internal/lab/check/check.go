// Package check judges a history. Each request is followed from its client to its one answer, and through every
// upstream that saw it. It knows the rules and nothing of who was meant to keep them: a history of any balancer, from
// either engine, gets the same verdict.
package check

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"sprucehill/internal/lab/client"
	"sprucehill/internal/lab/day"
	"sprucehill/internal/lab/history"
)

// Rule is what was broken.
type Rule string

// The rules.
const (
	OneAnswer  Rule = "one-answer" // each request taken gets exactly one final answer, of its own, in time
	OneEffect  Rule = "one-effect" // what may have run is repeated only as its class permits, and nothing is made up
	Drained    Rule = "drained"    // nothing new to a draining or gone upstream once told
	ColdStart  Rule = "cold-start" // no cold upstream is pushed over by those who knew
	Limits     Rule = "limits"     // of memory and descriptors
	NoCrash    Rule = "no-crash"   // a process ends only when it is told to
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
	// slack is added to every limit, for clocks and sockets.
	slack = 50 * time.Millisecond
	// Grace is how long after its deadline an answer still counts as one, though it earns nothing.
	Grace = 500 * time.Millisecond
	// knew is the part of the work sent to an upstream that fell which has to come from balancers told of its start.
	knew = 2.0 / 3
)

// checker gathers what the rules need in one pass.
type checker struct {
	day        *day.Day
	fleet      *day.Fleet
	paths      *day.Paths
	byReq      map[uint64][]history.Event
	order      []uint64 // requests in order of their first event
	told       map[[2]int32][]history.Event
	process    map[int32][]history.Event // of a balancer
	upstream   map[int32][]history.Event
	faults     []history.Event
	violations []Violation
}

// Judge returns every violation in a history, in order of time. Events are in order of time.
func Judge(d *day.Day, f *day.Fleet, events []history.Event) []Violation {
	c := &checker{day: d, fleet: f, paths: d.NewPaths(f), byReq: map[uint64][]history.Event{},
		told: map[[2]int32][]history.Event{}, process: map[int32][]history.Event{}, upstream: map[int32][]history.Event{}}
	for _, e := range events {
		switch {
		case e.Kind == history.Stray:
			c.add(OneEffect, e.At, "an upstream got a request that no client sent: "+e.Text, []history.Event{e})
		case e.Kind < history.Stray:
			if _, ok := c.byReq[e.Req]; !ok {
				c.order = append(c.order, e.Req)
			}
			c.byReq[e.Req] = append(c.byReq[e.Req], e)
			if e.Kind == history.Arrived || e.Kind == history.Turned {
				c.upstream[e.Upstream] = append(c.upstream[e.Upstream], e)
			}
		case e.Kind == history.Told:
			key := [2]int32{e.Balancer, e.Upstream}
			c.told[key] = append(c.told[key], e)
		case e.Kind <= history.Died:
			c.upstream[e.Upstream] = append(c.upstream[e.Upstream], e)
		case e.Kind <= history.Orphan:
			c.process[e.Balancer] = append(c.process[e.Balancer], e)
		default:
			c.faults = append(c.faults, e)
		}
	}
	for _, id := range c.order {
		c.answers(c.byReq[id])
		c.effects(c.byReq[id])
		c.drains(c.byReq[id])
	}
	for u := range c.fleet.Upstreams {
		c.starts(c.upstream[int32(u)])
	}
	for b := range c.fleet.Balancers {
		c.processes(c.process[int32(b)])
	}
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.violations
}

func (c *checker) add(r Rule, at time.Duration, what string, trace []history.Event) {
	c.violations = append(c.violations, Violation{r, at, what, trace})
}

// answers holds the first rule against one request: what a running balancer has taken has exactly one answer.
func (c *checker) answers(trace []history.Event) {
	var asked *history.Event
	answers := 0
	for i := range trace {
		e := &trace[i]
		switch e.Kind {
		case history.Asked:
			asked = e
		case history.Answered:
			if answers++; answers > 1 {
				c.add(OneAnswer, e.At, "answered twice", trace)
			} else if e.Text != "" {
				c.add(OneAnswer, e.At, "served with what no upstream made for it: "+e.Text, trace)
			} else if asked != nil && e.At > asked.Limit+Grace+slack && !c.excused(*asked, e.At) {
				c.add(OneAnswer, e.At, fmt.Sprintf("answered %v after its client gave up", e.At-asked.Limit), trace)
			}
		case history.Broken, history.Silent:
			if asked != nil && answers == 0 && !c.excused(*asked, e.At) {
				what := "its connection was closed without an answer"
				if e.Kind == history.Silent {
					what = "no answer came"
				}
				c.add(OneAnswer, e.At, "lost: "+what, trace)
			}
		}
	}
}

// excused tells whether the timetable took the answer away: it killed or froze the balancer, or hit the way to it,
// between the last byte of the request and the time at which the answer was missed.
func (c *checker) excused(asked history.Event, until time.Duration) bool {
	frozen := false
	for _, e := range c.process[asked.Balancer] {
		switch {
		case e.At > until:
		case e.Kind == history.Frozen:
			frozen = true
			if e.At >= asked.At {
				return true
			}
		case e.Kind == history.Thawed:
			frozen = false
			if e.At >= asked.At-slack { // it has to catch up with what came meanwhile
				return true
			}
		case e.Kind == history.Killed && e.At >= asked.At-slack:
			return true
		}
	}
	if frozen {
		return true
	}
	zone := day.Party{Kind: day.ClientsParty, Index: c.zoneOf(asked)}
	b := day.Party{Kind: day.BalancerParty, Index: int(asked.Balancer)}
	on := map[int32]bool{}
	for _, e := range c.faults {
		if e.At > until {
			break
		}
		i := int(e.Fault)
		if !c.paths.OnLinks(i) || (!c.paths.Hits(i, zone, b) && !c.paths.Hits(i, b, zone)) {
			continue
		}
		on[e.Fault] = e.Kind == history.FaultOn
		if e.At >= asked.At-slack {
			return true
		}
	}
	for _, still := range on {
		if still {
			return true
		}
	}
	return false
}

// zoneOf is where the client of a try is: fronts lead to balancers of their own zone.
func (c *checker) zoneOf(e history.Event) int { return c.fleet.Balancers[e.Balancer].Zone }

// class is that of the request of an event.
func (c *checker) class(e history.Event) day.Class { return c.day.Classes[e.Class] }

// effects holds the second rule against one request.
func (c *checker) effects(trace []history.Event) {
	var earlier []history.Event // attempts that an upstream took
	ends := map[int32]time.Duration{}
	for _, e := range trace {
		if e.Kind == history.Replied || e.Kind == history.Abandoned {
			ends[e.Serial] = e.At
		}
	}
	attempts := 0
	for _, e := range trace {
		switch e.Kind {
		case history.Answered:
			class := c.class(e)
			if e.Result == client.Refused && len(earlier) > 0 && (class.Repeat == "unsafe" || (class.Repeat == "keyed" && class.Group != "all")) {
				c.add(OneEffect, e.At, "its client was told that a retry is harmless, but it may have run", trace)
			}
		case history.Arrived, history.Turned:
			if attempts++; attempts > c.day.Balancer.MaxAttempts {
				c.add(OneEffect, e.At, fmt.Sprintf("%d attempts; %d are allowed", attempts, c.day.Balancer.MaxAttempts), trace)
			}
			if why := c.repeats(earlier, e, ends); why != "" {
				c.add(OneEffect, e.At, why, trace)
			}
			if e.Kind == history.Arrived {
				earlier = append(earlier, e)
			}
		}
	}
}

// repeats tells why e must not follow earlier attempts that may have run; "": it may.
func (c *checker) repeats(earlier []history.Event, e history.Event, ends map[int32]time.Duration) string {
	class, u := c.class(e), c.fleet.Upstreams[e.Upstream]
	for _, a := range earlier {
		v := c.fleet.Upstreams[a.Upstream]
		switch {
		case class.Repeat == "unsafe":
			return "sent again though it may have run, and must never run twice"
		case class.Repeat == "keyed" && class.Group == "zone" && u.Zone != v.Zone:
			return "sent again to another zone, which does not know its key"
		case class.Repeat == "keyed" && class.Group == "cell" && (u.Zone != v.Zone || u.Cell != v.Cell):
			return "sent again to another cell, which does not know its key"
		case class.Repeat == "keyed" && e.At-a.At > class.Memory.D()+slack:
			return "sent again after its key was forgotten"
		case !c.day.Balancer.SecondCopies && c.out(a, ends) > e.At+slack+c.delay(a):
			return "two attempts are out at once"
		}
	}
	return ""
}

// out is until when an attempt was out: its end as its upstream saw it, or the end of that, or of the day.
func (c *checker) out(a history.Event, ends map[int32]time.Duration) time.Duration {
	if at, ok := ends[a.Serial]; ok {
		return at
	}
	for _, e := range c.upstream[a.Upstream] {
		if e.At >= a.At && (e.Kind == history.Died || e.Kind == history.Toppled) {
			return e.At
		}
	}
	return c.day.Length.D() + Grace
}

// drains holds the third rule against the attempts of one request.
func (c *checker) drains(trace []history.Event) {
	for _, e := range trace {
		if e.Kind != history.Arrived && e.Kind != history.Turned {
			continue
		}
		since, draining := time.Duration(0), false
		born := c.born(e) // a process that has begun anew knows only what it was told since
		for _, t := range c.told[[2]int32{e.Balancer, e.Upstream}] {
			if t.At > e.First {
				break
			} else if t.At < born {
				continue
			}
			if away := t.Text != "up"; away && !draining {
				since, draining = t.At, true
			} else if !away {
				draining = false
			}
		}
		if limit := since + c.day.Balancer.DrainGrace.D() + slack + c.delay(e); draining && e.First > limit {
			c.add(Drained, e.At, fmt.Sprintf("sent %v after its balancer was told", e.First-since), trace)
		}
	}
}

// born is when the process that made an attempt took over: the end of the one before.
func (c *checker) born(e history.Event) (at time.Duration) {
	for _, p := range c.process[e.Balancer] {
		if p.Kind == history.Exited && p.At <= e.At {
			at = p.At
		}
	}
	return at
}

// delay is the longest that an attempt may have been under way.
func (c *checker) delay(e history.Event) time.Duration {
	b, u := day.Party{Kind: day.BalancerParty, Index: int(e.Balancer)}, day.Party{Kind: day.UpstreamParty, Index: int(e.Upstream)}
	d := c.paths.Now(b, u).Delay
	for i, fault := range c.day.Faults {
		if fault.At.D() > e.At || !c.paths.OnLinks(i) || !c.paths.Hits(i, b, u) {
			continue
		}
		switch fault.Kind {
		case "delay":
			d += fault.Delay.D()
		case "cut", "slow", "lossy": // what was written before may come when the way is whole again
			d += max(fault.For.D(), c.day.Length.D()-fault.At.D())
		}
	}
	return d
}

// starts holds the fourth rule against what happened to one upstream.
func (c *checker) starts(trace []history.Event) {
	var began *history.Event
	for i, e := range trace {
		if e.Kind == history.Began {
			began = &trace[i]
		}
		if e.Kind != history.Toppled {
			continue
		}
		var all, told float64
		from := i
		for from > 0 && trace[from-1].At > e.At-c.day.Balancer.TipAfter.D() {
			from--
		}
		for _, a := range trace[from:i] {
			if a.Kind != history.Arrived && a.Kind != history.Turned {
				continue
			}
			if all += float64(a.Work); c.knew(a, began) {
				told += float64(a.Work)
			}
		}
		if all > 0 && told >= knew*all {
			c.add(ColdStart, e.At, fmt.Sprintf("%s was pushed over while cold by %.2f s of work within %v, %.0f%% of it from balancers that knew",
				c.fleet.Upstreams[e.Upstream].Name, all, c.day.Balancer.TipAfter.D(), 100*told/all), trace[from:i+1])
		}
	}
}

// knew tells whether the balancer of an attempt had been told of the upstream's start.
func (c *checker) knew(a history.Event, began *history.Event) bool {
	if began == nil {
		return false
	}
	return slices.ContainsFunc(c.told[[2]int32{a.Balancer, a.Upstream}], func(t history.Event) bool {
		return t.At >= began.At && t.At <= a.At && t.Text == "up"
	})
}

// processes holds the other rules against one balancer's process.
func (c *checker) processes(trace []history.Event) {
	over := map[string]bool{}
	asked := false // to end
	for _, e := range trace {
		switch e.Kind {
		case history.Started:
			asked = false
		case history.Signalled, history.Killed:
			asked = true
		case history.Exited:
			if !asked || e.Text != "" {
				c.add(NoCrash, e.At, fmt.Sprintf("%s ended with code %d %s", c.fleet.Balancers[e.Balancer].Name, e.Status, e.Text), trace)
			}
		case history.Over:
			if !over[e.Text] {
				c.add(Limits, e.At, c.fleet.Balancers[e.Balancer].Name+": "+e.Text, []history.Event{e})
			}
			over[e.Text] = true
		case history.Orphan:
			c.add(NoLeftover, e.At, c.fleet.Balancers[e.Balancer].Name+" is still there: "+e.Text, []history.Event{e})
		}
	}
}
