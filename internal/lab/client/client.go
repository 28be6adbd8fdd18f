// Package client is how clients behave that get no good answer: whether they retry, and when. It has no clock and no
// sockets; both engines ask it.
package client

import (
	"time"

	"sprucehill/internal/lab/day"
)

// Result is how a request ended, as its client sees it.
type Result uint8

// The results.
const (
	Served       Result = iota
	Rejected            // 429 or 503: a retry is harmless
	Failed              // any other answer, or none
	NotConnected        // no connection, so nothing was taken
	Disconnected        // the client lost patience
)

// resultNames stand in reports.
var resultNames = [...]string{"served", "refused", "failed", "unreached", "left"}

func (r Result) String() string { return resultNames[r] }

// maxBudget bounds the retries that a budget can save up.
const maxBudget = 10

// Zone is the clients of one zone, which share a retry budget. It is not safe for concurrent use.
type Zone struct {
	day    *day.Day
	tokens float64 // retries that the budget allows now
}

// NewZone returns the clients of a zone, with a full budget.
func NewZone(d *day.Day) *Zone { return &Zone{day: d, tokens: maxBudget} }

// AddRequest counts a first request, which adds to the budget.
func (z *Zone) AddRequest() { z.tokens = min(maxBudget, z.tokens+z.day.Clients.Budget) }

// Retry reports whether a client retries, and after how long. sent counts its requests so far, remaining is what is left of
// its deadline, retryAfter is as advised, 0 for none, and draw a draw from 0 to 1. What may have run is retried only
// where its class permits; what was rejected or never taken always may be.
func (z *Zone) Retry(class int, result Result, sent int, remaining, retryAfter time.Duration, draw float64) (wait time.Duration, retries bool) {
	if result == Served || result == Disconnected || !z.harmless(class, result) {
		return 0, false
	}
	if sent > z.day.Clients.Retries || sent >= day.MaxRequestsPerArrival {
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
