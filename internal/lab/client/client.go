// Package client decides whether and when a client retries a request that was not served. It has no clock and no sockets.
// Both engines use it.
package client

import (
	"time"

	"sprucehill/internal/lab/scenario"
)

// Result is how a request ended, as its client sees it.
type Result uint8

// The results.
const (
	Served       Result = iota
	Rejected            // 429 or 503: a retry is harmless
	Failed              // another answer, or none
	NotConnected        // no connection, so that nothing was received
	Disconnected        // the client left
)

// resultNames stand in reports.
var resultNames = [...]string{"served", "refused", "failed", "unreached", "left"}

func (r Result) String() string { return resultNames[r] }

// maxBudget bounds the retries that a budget can save up.
const maxBudget = 10

// Zone is the clients of one zone, which share a retry budget. It is not safe for concurrent use.
type Zone struct {
	day    *scenario.Scenario
	tokens float64 // retries that the budget allows now
}

// NewZone returns the clients of a zone, with a full budget.
func NewZone(d *scenario.Scenario) *Zone { return &Zone{day: d, tokens: maxBudget} }

// AddRequest counts a first request, which adds to the budget.
func (z *Zone) AddRequest() { z.tokens = min(maxBudget, z.tokens+z.day.Clients.Budget) }

// Retry reports whether a client retries, and after which wait. sent counts its requests so far. remaining is the rest of
// its deadline. retryAfter is the Retry-After of the answer, or 0. draw is a random number from 0 to 1. A request that may
// have run is retried only if its class permits it. One that was rejected or not connected may always be retried.
func (z *Zone) Retry(class int, result Result, sent int, remaining, retryAfter time.Duration, draw float64) (wait time.Duration, retries bool) {
	if result == Served || result == Disconnected || !z.harmless(class, result) {
		return 0, false
	}
	if sent > z.day.Clients.Retries || sent >= scenario.MaxRequestsPerArrival {
		return 0, false
	}
	wait = z.day.Clients.Wait.D()
	if retryAfter > 0 && draw < z.day.Clients.Honour {
		wait = retryAfter
	}
	if wait >= remaining || !z.spend() {
		return 0, false
	}
	return wait, true
}

// harmless reports whether a retry is harmless after a result.
func (z *Zone) harmless(class int, result Result) bool {
	c := z.day.Classes[class]
	return result == Rejected || result == NotConnected || c.Repeat == "safe" || (c.Repeat == "keyed" && c.Group == "all")
}

// spend takes a retry off the budget, if clients have one and it allows it.
func (z *Zone) spend() bool {
	if z.day.Clients.Budget == 0 {
		return true
	}
	if z.tokens < 1 {
		return false
	}
	z.tokens--
	return true
}
