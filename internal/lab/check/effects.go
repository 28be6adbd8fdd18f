package check

import (
	"fmt"
	"time"

	"sprucehill/internal/lab/client"
	"sprucehill/internal/lab/history"
)

// checkEffects checks OneEffect of one request.
func (c *checker) checkEffects(trace []history.Event) {
	ends := map[int32]time.Duration{} // of attempts, by serial
	for _, e := range trace {
		if e.Kind == history.Replied || e.Kind == history.Abandoned {
			ends[e.Serial] = e.At
		}
	}
	var earlier []history.Event // attempts that an upstream took
	attempts := 0
	for _, e := range trace {
		switch {
		case e.Kind == history.Answered:
			if e.Result == client.Rejected && len(earlier) > 0 && !c.retryIsHarmless(e) {
				c.add(OneEffect, e.At, "its client was told that a retry is harmless, but it may have run", trace)
			}
		case isArrival(e):
			attempts++
			if attempts > c.day.Balancer.MaxAttempts {
				c.add(OneEffect, e.At, fmt.Sprintf("%d attempts; %d are allowed", attempts, c.day.Balancer.MaxAttempts), trace)
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

// retryIsHarmless reports whether a client may retry a request that may have run, because every upstream recognizes it.
func (c *checker) retryIsHarmless(e history.Event) bool {
	class := c.class(e)
	return class.Repeat != "unsafe" && (class.Repeat != "keyed" || class.Group == "all")
}

// retryProblem is why an attempt must not follow earlier ones that may have run. It is empty if it may.
func (c *checker) retryProblem(earlier []history.Event, e history.Event, ends map[int32]time.Duration) string {
	class := c.class(e)
	to := c.fleet.Upstreams[e.Upstream]
	for _, before := range earlier {
		from := c.fleet.Upstreams[before.Upstream]
		switch {
		case class.Repeat == "unsafe":
			return "sent again though it may have run, and must never run twice"
		case class.Repeat == "keyed" && class.Group == "zone" && to.Zone != from.Zone:
			return "sent again to another zone, which does not know its key"
		case class.Repeat == "keyed" && class.Group == "cell" && (to.Zone != from.Zone || to.Cell != from.Cell):
			return "sent again to another cell, which does not know its key"
		case class.Repeat == "keyed" && e.At-before.At > class.Memory.D()+tolerance:
			return "sent again after its key was forgotten"
		case !c.day.Balancer.SecondCopies && c.inFlightUntil(before, ends) > e.At+tolerance+c.maxDelay(before):
			return "two attempts are out at once"
		}
	}
	return ""
}

// inFlightUntil is when an attempt ended at its upstream. An attempt that did not end was in flight until the upstream
// stopped or collapsed, or until the end of the day.
func (c *checker) inFlightUntil(attempt history.Event, ends map[int32]time.Duration) time.Duration {
	if at, ok := ends[attempt.Serial]; ok {
		return at
	}
	for _, e := range c.upstreams[attempt.Upstream] {
		if e.At >= attempt.At && (e.Kind == history.UpstreamStopped || e.Kind == history.Collapsed) {
			return e.At
		}
	}
	return c.day.Length.D() + Grace
}
