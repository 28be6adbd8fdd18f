package check

import (
	"fmt"
	"time"

	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/scenario"
)

// checkAnswers checks OneAnswer of one request: what a running balancer has taken has exactly one answer.
func (c *checker) checkAnswers(trace []history.Event) {
	var sent *history.Event
	answers := 0
	for i := range trace {
		e := &trace[i]
		switch e.Kind {
		case history.Sent:
			sent = e
		case history.Answered:
			answers++
			if problem := c.answerProblem(sent, e, answers); problem != "" {
				c.add(OneAnswer, e.At, problem, trace)
			}
		case history.Broken, history.TimedOut:
			if sent == nil || answers > 0 || c.excused(*sent, e.At) {
				continue
			}
			what := "its connection was closed without an answer"
			if e.Kind == history.TimedOut {
				what = "no answer came"
			}
			c.add(OneAnswer, e.At, "lost: "+what, trace)
		}
	}
}

// answerProblem is what is wrong with a request's answer, counted from 1. It is empty if nothing is. sent may be nil.
func (c *checker) answerProblem(sent, answer *history.Event, count int) string {
	switch {
	case count > 1:
		return "answered twice"
	case answer.Text != "":
		return "served with what no upstream made for it: " + answer.Text
	case sent != nil && answer.At > sent.Deadline+Grace+tolerance && !c.excused(*sent, answer.At):
		return fmt.Sprintf("answered %v after its client gave up", answer.At-sent.Deadline)
	}
	return ""
}

// excused reports whether the timetable took the answer away: it killed or paused the balancer, or hit the link to it,
// between the last byte of the request and the time at which the answer was missed.
func (c *checker) excused(sent history.Event, until time.Duration) bool {
	return c.processExcuses(sent, until) || c.linkExcuses(sent, until)
}

// processExcuses reports whether the balancer was killed or paused.
func (c *checker) processExcuses(sent history.Event, until time.Duration) bool {
	paused := false
	for _, e := range c.processes[sent.Balancer] {
		switch {
		case e.At > until:
		case e.Kind == history.Paused:
			paused = true
			if e.At >= sent.At {
				return true
			}
		case e.Kind == history.Resumed:
			paused = false
			if e.At >= sent.At-tolerance { // it has to catch up with what came meanwhile
				return true
			}
		case e.Kind == history.Killed && e.At >= sent.At-tolerance:
			return true
		}
	}
	return paused
}

// linkExcuses reports whether a fault hit the link between the client and the balancer.
func (c *checker) linkExcuses(sent history.Event, until time.Duration) bool {
	// Fronts lead to balancers of their own zone.
	clients := scenario.Party{Kind: scenario.ClientsParty, Index: c.fleet.Balancers[sent.Balancer].Zone}
	b := scenario.Party{Kind: scenario.BalancerParty, Index: int(sent.Balancer)}
	active := map[int32]bool{}
	for _, e := range c.faults {
		if e.At > until {
			break
		}
		i := int(e.Fault)
		if !c.paths.OnLinks(i) || (!c.paths.Hits(i, clients, b) && !c.paths.Hits(i, b, clients)) {
			continue
		}
		active[e.Fault] = e.Kind == history.FaultBegan
		if e.At >= sent.At-tolerance {
			return true
		}
	}
	for _, still := range active {
		if still {
			return true
		}
	}
	return false
}
