// Package client is the retry policy of the emulated clients: whether and when a client retries a request that was not
// served. It has no clock and no sockets, so that the live engine and the model engine share it.
package client

import (
	"time"

	"sprucehill/internal/lab/scenario"
)

// Result is the outcome of a request as its client sees it.
type Result uint8

// The results.
const (
	Served       Result = iota
	Rejected            // 429 or 503: a retry is harmless
	Failed              // another response, or none
	NotConnected        // no connection was established, so the balancer received nothing
	Disconnected        // the client closed the connection before the response
)

// resultNames are the names of the results in reports.
var resultNames = [...]string{"served", "refused", "failed", "unreached", "left"}

func (r Result) String() string { return resultNames[r] }

// maxBudget is the most retries that a retry budget accumulates.
const maxBudget = 10

// Zone is the clients of one zone. They share a retry budget, a token bucket that first requests fill and retries drain.
// It is not safe for concurrent use.
type Zone struct {
	scenario *scenario.Scenario
	tokens   float64 // retries that the budget permits now
}

// NewZone returns the clients of a zone, with a full budget.
func NewZone(sc *scenario.Scenario) *Zone { return &Zone{scenario: sc, tokens: maxBudget} }

// AddRequest counts an arrival's first request, which adds a fraction of a retry to the budget.
func (z *Zone) AddRequest() { z.tokens = min(maxBudget, z.tokens+z.scenario.Clients.Budget) }

// Retry reports whether a client retries, and how long it waits before. sent is the number of requests that it has sent so
// far, remaining the time until its deadline, retryAfter the response's Retry-After or 0, and draw a random number from 0
// to 1. A request that may have been executed is retried only if its class permits it. One that was rejected or not
// connected may always be retried.
func (z *Zone) Retry(class int, result Result, sent int, remaining, retryAfter time.Duration, draw float64) (wait time.Duration, retries bool) {
	if result == Served || result == Disconnected || !z.safeToRetry(class, result) {
		return 0, false
	}
	if sent > z.scenario.Clients.Retries || sent >= scenario.MaxRequestsPerArrival {
		return 0, false
	}
	wait = z.scenario.Clients.Wait.D()
	if retryAfter > 0 && draw < z.scenario.Clients.Honour {
		wait = retryAfter
	}
	if wait >= remaining || !z.takeToken() {
		return 0, false
	}
	return wait, true
}

// safeToRetry reports whether a retry after a result is harmless: the request was not executed, or its class permits that
// it is executed twice.
func (z *Zone) safeToRetry(class int, result Result) bool {
	c := z.scenario.Classes[class]
	return result == Rejected || result == NotConnected || c.Repeat == "safe" || (c.Repeat == "keyed" && c.Group == "all")
}

// takeToken takes one retry from the budget and reports whether the budget permits it. Without a budget it always does.
func (z *Zone) takeToken() bool {
	if z.scenario.Clients.Budget == 0 {
		return true
	}
	if z.tokens < 1 {
		return false
	}
	z.tokens--
	return true
}
