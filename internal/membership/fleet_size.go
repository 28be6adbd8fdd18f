package membership

import (
	"math"
	"slices"
	"time"
)

const (
	// recentWindow is for how long the largest fleet size seen bounds the divisor of budgets from below.
	recentWindow = 10 * time.Second
	// budgetDecayRate is the fraction by which the divisor of budgets may fall per second after recentWindow.
	budgetDecayRate = 0.1
	// routingChangeRate is the fraction by which the divisor of routing may change per second.
	routingChangeRate = 0.25
	// minChangeRate is the least change per second, in balancers, so that small fleets converge too.
	minChangeRate = 1
)

// Placement is a balancer's place among the serving ones.
type Placement struct {
	Serving int // number of serving balancers, this one counted in
	Rank    int // of this one, from 0
}

// FleetSize is the size of the fleet for two uses with different tolerance of error.
type FleetSize struct {
	// RoutingDivisor is the number of serving balancers for decisions that may be wrong for a while, such as how many
	// upstreams to use. At least 1.
	RoutingDivisor int `json:"Balancers"`
	// Rank is this balancer's place among them, from 0.
	Rank int
	// BudgetDivisor is the number for limits that all balancers together must not exceed, such as tenants' quotas and
	// slow-start budgets. Never below RoutingDivisor; it stays high for a while after balancers are lost.
	BudgetDivisor int `json:"Most"`
}

// FleetSizer smooths the fleet sizes of successive views, which may change at once and differ between balancers.
//
// The divisor of budgets is the largest size seen recently and then decays slowly: while a partition shows each side a
// small fleet, neither side takes the other's part of a budget. The divisor of routing follows the view gradually, so that
// no upstream gets the migrated traffic of all balancers at once.
//
// It is not safe for concurrent use.
type FleetSizer struct {
	current        Placement // of the last view
	floors         []floor   // lower bounds of budgetDivisor, by falling size and rising expiry
	routingDivisor float64
	budgetDivisor  float64
	advancedTo     time.Duration
}

// floor is a fleet size that is no longer seen but still bounds the divisor of budgets.
type floor struct {
	size    int
	expires time.Duration
}

// NewFleetSizer starts from the configured placement. previousSize is the size known from before a restart, or 0; a larger
// one than configured is taken as seen now.
func NewFleetSizer(now time.Duration, configured Placement, previousSize int) *FleetSizer {
	s := &FleetSizer{
		current:        configured,
		routingDivisor: float64(configured.Serving),
		budgetDivisor:  float64(max(configured.Serving, previousSize)),
		advancedTo:     now,
	}
	if previousSize > configured.Serving {
		s.floors = []floor{{size: previousSize, expires: now + recentWindow}}
	}
	return s
}

// Observe records the placement in a new view.
func (s *FleetSizer) Observe(now time.Duration, seen Placement) {
	s.advance(now)
	seen.Serving = max(seen.Serving, 1)
	if seen.Serving < s.current.Serving {
		s.addFloor(floor{size: s.current.Serving, expires: now + recentWindow})
	}
	s.current = seen
	s.budgetDivisor = max(s.budgetDivisor, float64(seen.Serving))
}

// addFloor adds the floor with the latest expiry. Smaller ones expire earlier and no longer matter.
func (s *FleetSizer) addFloor(latest floor) {
	s.floors = slices.DeleteFunc(s.floors, func(f floor) bool { return f.size <= latest.size })
	s.floors = append(s.floors, latest)
}

// Current returns the fleet size to use now.
func (s *FleetSizer) Current(now time.Duration) FleetSize {
	s.advance(now)
	return FleetSize{
		RoutingDivisor: max(int(math.Round(s.routingDivisor)), 1),
		Rank:           s.current.Rank,
		BudgetDivisor:  int(math.Ceil(s.budgetDivisor)),
	}
}

// advance moves both divisors on to now.
func (s *FleetSizer) advance(now time.Duration) {
	if now <= s.advancedTo {
		return
	}
	s.routingDivisor = approach(s.routingDivisor, float64(s.current.Serving), routingChangeRate, now-s.advancedTo)
	for len(s.floors) > 0 && s.floors[0].expires <= now {
		s.decayBudgetDivisor(s.floors[0].expires)
		s.floors = s.floors[1:]
	}
	s.decayBudgetDivisor(now)
}

// decayBudgetDivisor lets the divisor of budgets fall until a time, but not below the current fleet size or a floor.
func (s *FleetSizer) decayBudgetDivisor(until time.Duration) {
	lowerBound := s.current.Serving
	if len(s.floors) > 0 {
		lowerBound = max(lowerBound, s.floors[0].size)
	}
	if s.budgetDivisor > float64(lowerBound) {
		s.budgetDivisor = approach(s.budgetDivisor, float64(lowerBound), budgetDecayRate, until-s.advancedTo)
	}
	s.advancedTo = max(s.advancedTo, until)
}

// approach moves a number towards a target for a time: per second by a fraction of the number, at least by minChangeRate.
func approach(from, target, ratePerSecond float64, elapsed time.Duration) float64 {
	step := max(from*ratePerSecond, minChangeRate) * elapsed.Seconds()
	return from + max(-step, min(target-from, step))
}
