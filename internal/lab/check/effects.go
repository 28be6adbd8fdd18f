package check

import (
	"fmt"
	"time"

	"sprucehill/internal/lab/client"
	"sprucehill/internal/lab/history"
)

// checkEffects checks OneEffect for one request.
func (c *checker) checkEffects(trace []history.Event) {
	ends := map[int32]time.Duration{} // of attempts, by serial
	for _, e := range trace {
		if e.Kind == history.Replied || e.Kind == history.Abandoned {
			ends[e.Serial] = e.At
		}
	}
	var earlier []history.Event // attempts that an upstream accepted
	attempts := 0
	for _, e := range trace {
		switch {
		case e.Kind == history.Answered:
			if e.Result == client.Rejected && len(earlier) > 0 && !c.retryIsHarmless(e) {
				c.add(OneEffect, e.At, "rejected as safe to retry although it may have run", trace)
			}
		case isArrival(e):
			attempts++
			if attempts > c.scenario.Balancer.MaxAttempts {
				c.add(OneEffect, e.At, fmt.Sprintf("%d attempts, at most %d are allowed", attempts, c.scenario.Balancer.MaxAttempts), trace)
			}
			if problem := c.retryProblem(earlier, e, ends); problem != "" {
				c.add(OneEffect, e.At, problem, trace)
			}
			if e.Kind == history.Arrived {
				earlier = append(earlier, e)
			}
		}
	}
}

// retryIsHarmless reports whether a client may retry a request that may have run: its class is idempotent, or every upstream
// knows its idempotency key.
func (c *checker) retryIsHarmless(e history.Event) bool {
	class := c.class(e)
	return class.Repeat != "unsafe" && (class.Repeat != "keyed" || class.Group == "all")
}

// retryProblem describes why an attempt must not follow earlier ones that may have run, or returns "" if it may. ends holds
// the ends of attempts by serial.
func (c *checker) retryProblem(earlier []history.Event, e history.Event, ends map[int32]time.Duration) string {
	class := c.class(e)
	to := c.fleet.Upstreams[e.Upstream]
	for _, previous := range earlier {
		from := c.fleet.Upstreams[previous.Upstream]
		switch {
		case class.Repeat == "unsafe":
			return "retried although it may have run and is not idempotent"
		case class.Repeat == "keyed" && class.Group == "zone" && to.Zone != from.Zone:
			return "retried in another zone, which does not know its idempotency key"
		case class.Repeat == "keyed" && class.Group == "cell" && (to.Zone != from.Zone || to.Cell != from.Cell):
			return "retried in another cell, which does not know its idempotency key"
		case class.Repeat == "keyed" && e.At-previous.At > class.Memory.D()+tolerance:
			return "retried after its idempotency window"
		case !c.scenario.Balancer.SecondCopies && c.inFlightUntil(previous, ends) > e.At+tolerance+c.maxDelay(previous):
			return "two attempts in flight at once, but hedged requests are off"
		}
	}
	return ""
}

// inFlightUntil returns when an attempt ended at its upstream. An attempt without an end was in flight until the upstream
// stopped or collapsed, or until the end of the run.
func (c *checker) inFlightUntil(attempt history.Event, ends map[int32]time.Duration) time.Duration {
	if at, ok := ends[attempt.Serial]; ok {
		return at
	}
	for _, e := range c.upstreamEvents[attempt.Upstream] {
		if e.At >= attempt.At && (e.Kind == history.UpstreamStopped || e.Kind == history.Collapsed) {
			return e.At
		}
	}
	return c.scenario.Length.D() + DeadlineGrace
}
