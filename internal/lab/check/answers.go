package check

import (
	"fmt"
	"time"

	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/scenario"
)

// checkAnswers checks OneAnswer for one request: a request that a running balancer accepted gets exactly one response.
func (c *checker) checkAnswers(trace []history.Event) {
	var sent *history.Event
	answerCount := 0
	for i := range trace {
		e := &trace[i]
		switch e.Kind {
		case history.Sent:
			sent = e
		case history.Answered:
			answerCount++
			if problem := c.answerProblem(sent, e, answerCount); problem != "" {
				c.add(OneAnswer, e.At, problem, trace)
			}
		case history.Broken, history.TimedOut:
			if sent == nil || answerCount > 0 || c.excused(*sent, e.At) {
				continue
			}
			problem := "the connection was closed without a response"
			if e.Kind == history.TimedOut {
				problem = "no response before the time-out"
			}
			c.add(OneAnswer, e.At, "lost: "+problem, trace)
		}
	}
}

// answerProblem describes what is wrong with a response to a request, or returns "" if it is valid. count is how many
// responses the request has got, this one included. sent may be nil.
func (c *checker) answerProblem(sent, answer *history.Event, count int) string {
	switch {
	case count > 1:
		return fmt.Sprintf("got %d responses, want 1", count)
	case answer.Text != "":
		return "served with a response that no upstream produced for it: " + answer.Text
	case sent != nil && answer.At > sent.Deadline+DeadlineGrace+tolerance && !c.excused(*sent, answer.At):
		return fmt.Sprintf("answered %v after its deadline", answer.At-sent.Deadline)
	}
	return ""
}

// excused reports whether an injected fault explains the missing response: the balancer was killed or paused, or a fault
// hit its link to the client, between the last byte of the request and the time at which the response was missed.
func (c *checker) excused(sent history.Event, until time.Duration) bool {
	return c.processExcuses(sent, until) || c.linkExcuses(sent, until)
}

// processExcuses reports whether the balancer was killed or paused while the request was in progress.
func (c *checker) processExcuses(sent history.Event, until time.Duration) bool {
	paused := false
	for _, e := range c.processEvents[sent.Balancer] {
		switch {
		case e.At > until:
		case e.Kind == history.Paused:
			paused = true
			if e.At >= sent.At {
				return true
			}
		case e.Kind == history.Resumed:
			paused = false
			if e.At >= sent.At-tolerance { // a resumed process first handles the backlog
				return true
			}
		case e.Kind == history.Killed && e.At >= sent.At-tolerance:
			return true
		}
	}
	return paused
}

// linkExcuses reports whether a fault hit the link between the client and the balancer while the request was in progress.
func (c *checker) linkExcuses(sent history.Event, until time.Duration) bool {
	// The ingress sends clients only to balancers of their own zone.
	clients := scenario.Party{Kind: scenario.ClientsParty, Index: c.fleet.Balancers[sent.Balancer].Zone}
	balancer := scenario.Party{Kind: scenario.BalancerParty, Index: int(sent.Balancer)}
	active := map[int32]bool{}
	for _, e := range c.faultEvents {
		if e.At > until {
			break
		}
		i := int(e.Fault)
		if !c.paths.IsLinkFault(i) || (!c.paths.Affects(i, clients, balancer) && !c.paths.Affects(i, balancer, clients)) {
			continue
		}
		active[e.Fault] = e.Kind == history.FaultBegan
		if e.At >= sent.At-tolerance {
			return true
		}
	}
	for _, isActive := range active {
		if isActive {
			return true
		}
	}
	return false
}
