// Package client is how clients behave that get no good answer: whether they come again, and when. It has no clock
// and no sockets; both engines ask it.
package client

import (
	"time"

	"sprucehill/internal/lab/day"
)

// Result is how a try ended, as its client sees it.
type Result uint8

// The results.
const (
	Served    Result = iota
	Refused          // 429 or 503: another try is harmless
	Failed           // any other answer, or none
	Unreached        // no connection, so nothing was taken
	Left             // the client lost patience
)

var names = [...]string{"served", "refused", "failed", "unreached", "left"}

func (r Result) String() string { return names[r] }

// budgetMost bounds the tries that a budget can save up: what was not used a while ago is not owed now.
const budgetMost = 10

// Zone is the clients of one zone, which share a retry budget.
type Zone struct {
	day   *day.Day
	saved float64
}

// NewZone returns the clients of a zone, with a budget saved up.
func NewZone(d *day.Day) *Zone { return &Zone{day: d, saved: budgetMost} }

// First counts a first try, which earns the budget.
func (z *Zone) First() { z.saved = min(budgetMost, z.saved+z.day.Clients.Budget) }

// Again tells whether a client tries once more, and after how long. tries counts those made, left is what remains of
// its deadline, advice a Retry-After, 0 for none, and coin a draw from 0 to 1. What may have run is tried again only
// where its class permits; what was refused or never taken always may be.
func (z *Zone) Again(class int, r Result, tries int, left, advice time.Duration, coin float64) (wait time.Duration, again bool) {
	c := z.day.Classes[class]
	harmless := r == Refused || r == Unreached || c.Repeat == "safe" || (c.Repeat == "keyed" && c.Group == "all")
	if r == Served || r == Left || !harmless || tries > z.day.Clients.Retries || tries >= day.MaxTries {
		return 0, false
	}
	wait = z.day.Clients.Wait.D()
	if advice > 0 && coin < z.day.Clients.Honour {
		wait = advice
	}
	if wait >= left {
		return 0, false
	}
	if z.day.Clients.Budget > 0 {
		if z.saved < 1 {
			return 0, false
		}
		z.saved--
	}
	return wait, true
}
