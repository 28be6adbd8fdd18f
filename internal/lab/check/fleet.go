package check

import (
	"fmt"
	"slices"
	"time"

	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/scenario"
)

// checkDraining checks Drained for the attempts of one request.
func (c *checker) checkDraining(trace []history.Event) {
	for _, e := range trace {
		if !isArrival(e) {
			continue
		}
		since, draining := c.drainingSince(e)
		limit := since + c.scenario.Balancer.DrainGrace.D() + tolerance + c.maxDelay(e)
		if draining && e.FirstByteAt > limit {
			c.add(Drained, e.At, fmt.Sprintf("sent %v after its balancer was notified that the upstream is draining or removed", e.FirstByteAt-since), trace)
		}
	}
}

// drainingSince returns when the process that made an attempt was notified that its upstream is draining or removed.
func (c *checker) drainingSince(attempt history.Event) (since time.Duration, draining bool) {
	started := c.processStart(attempt) // a restarted process knows only the notifications since its start
	for _, notification := range c.notifications[endpointView{attempt.Balancer, attempt.Upstream}] {
		if notification.At > attempt.FirstByteAt {
			break
		}
		if notification.At < started {
			continue
		}
		active := notification.Text == "up"
		if !active && !draining {
			since = notification.At
		}
		draining = !active
	}
	return since, draining
}

// processStart returns the start of the process that made an attempt: the exit of the process before it, or 0 if it is the
// first.
func (c *checker) processStart(attempt history.Event) time.Duration {
	var start time.Duration
	for _, e := range c.processEvents[attempt.Balancer] {
		if e.Kind == history.Exited && e.At <= attempt.At {
			start = e.At
		}
	}
	return start
}

// maxDelay returns the longest time that an attempt may have been in transit.
func (c *checker) maxDelay(attempt history.Event) time.Duration {
	b := scenario.Party{Kind: scenario.BalancerParty, Index: int(attempt.Balancer)}
	u := scenario.Party{Kind: scenario.UpstreamParty, Index: int(attempt.Upstream)}
	d := c.paths.Condition(b, u).Delay
	for i, fault := range c.scenario.Faults {
		if fault.At.D() > attempt.At || !c.paths.IsLinkFault(i) || !c.paths.Affects(i, b, u) {
			continue
		}
		switch fault.Kind {
		case scenario.LinkDelay:
			d += fault.Delay.D()
		case scenario.LinkCut, scenario.LinkSlow, scenario.LinkLossy: // bytes written before may arrive once the fault has ended
			d += max(fault.For.D(), c.scenario.Length.D()-fault.At.D())
		}
	}
	return d
}

// checkColdStarts checks ColdStart for the events of one upstream.
func (c *checker) checkColdStarts(trace []history.Event) {
	var started *history.Event
	for i, e := range trace {
		switch e.Kind {
		case history.UpstreamStarted:
			started = &trace[i]
		case history.Collapsed:
			c.checkCollapse(trace[:i+1], started)
		}
	}
}

// checkCollapse checks the work that reached an upstream before it collapsed. The last event of the trace is the collapse.
// started is the upstream's start, or nil if that was before the run.
func (c *checker) checkCollapse(trace []history.Event, started *history.Event) {
	last := len(trace) - 1
	collapse := trace[last]
	span := c.scenario.Balancer.TipAfter.D()
	from := last
	for from > 0 && trace[from-1].At > collapse.At-span {
		from--
	}
	var work, fromInformed float64
	for _, e := range trace[from:last] {
		if !isArrival(e) {
			continue
		}
		work += float64(e.Work)
		if c.wasNotifiedOfStart(e, started) {
			fromInformed += float64(e.Work)
		}
	}
	if work == 0 || fromInformed < informedShare*work {
		return
	}
	c.add(ColdStart, collapse.At, fmt.Sprintf("%s collapsed while warming up after %.2f s of work within %v, %.0f%% of it from balancers notified of its start",
		c.fleet.Upstreams[collapse.Upstream].Name, work, span, 100*fromInformed/work), trace[from:])
}

// wasNotifiedOfStart reports whether the balancer of an attempt had been notified of the upstream's start.
func (c *checker) wasNotifiedOfStart(attempt history.Event, started *history.Event) bool {
	if started == nil {
		return false
	}
	return slices.ContainsFunc(c.notifications[endpointView{attempt.Balancer, attempt.Upstream}], func(notification history.Event) bool {
		return notification.At >= started.At && notification.At <= attempt.At && notification.Text == "up"
	})
}

// checkProcess checks Limits, NoCrash and NoLeftover for one balancer's processes.
func (c *checker) checkProcess(trace []history.Event) {
	reported := map[string]bool{} // limits already reported
	exitExpected := false
	for _, e := range trace {
		name := c.fleet.Balancers[e.Balancer].Name
		switch e.Kind {
		case history.Started:
			exitExpected = false
		case history.Signalled, history.Killed:
			exitExpected = true
		case history.Exited:
			if !exitExpected || e.Text != "" {
				c.add(NoCrash, e.At, fmt.Sprintf("%s exited unexpectedly with code %d %s", name, e.Status, e.Text), trace)
			}
		case history.OverLimit:
			if !reported[e.Text] {
				c.add(Limits, e.At, name+": "+e.Text, []history.Event{e})
			}
			reported[e.Text] = true
		case history.Orphan:
			c.add(NoOrphan, e.At, name+" left a process running after the run: "+e.Text, []history.Event{e})
		}
	}
}
