package membership

import (
	"math"
	"slices"
	"time"
)

const (
	// recentWindow is how long a fleet size that was seen remains a lower bound of the divisor of budgets.
	recentWindow = 10 * time.Second
	// budgetDecayRate is the maximum fraction by which the divisor of budgets falls per second after recentWindow.
	budgetDecayRate = 0.1
	// routingChangeRate is the maximum fraction by which the divisor of routing changes per second.
	routingChangeRate = 0.25
	// minChangeRate is the lower limit of both maximum rates, in balancers per second, so that small fleets converge too.
	minChangeRate = 1
)

// Placement is a balancer's rank among the serving balancers, and their number.
type Placement struct {
	Serving int // number of serving balancers, including this one
	Rank    int // 0-based
}

// FleetSize is the size of the fleet for two uses that tolerate errors differently.
type FleetSize struct {
	// RoutingDivisor is the number of serving balancers for decisions that may be temporarily wrong, such as how many
	// upstreams to use. It is at least 1.
	RoutingDivisor int `json:"Balancers"`
	// Rank is this balancer's 0-based rank among the serving balancers.
	Rank int
	// BudgetDivisor is the number of balancers that share limits which all of them together must not exceed, such as tenants'
	// quotas and slow-start budgets. It is never below RoutingDivisor, and falls slowly after balancers are lost.
	BudgetDivisor int `json:"Most"`
}

// FleetSizer smooths the fleet sizes of successive views, which may change abruptly and differ between balancers.
//
// The divisor of budgets is the largest size seen recently and then decays slowly: during a partition, when each side sees a
// small fleet, neither side uses the other's part of a budget. The divisor of routing follows the view gradually, so that no
// upstream gets the migrated traffic of all balancers at once.
//
// It is not safe for concurrent use.
type FleetSizer struct {
	current        Placement // in the last view
	floors         []floor   // lower bounds of budgetDivisor, by descending size and ascending expiry
	routingDivisor float64
	budgetDivisor  float64
	updatedAt      time.Duration // time that both divisors are computed for
}

// floor is a fleet size that is no longer seen but is still a lower bound of the divisor of budgets.
type floor struct {
	size    int
	expires time.Duration
}

// NewFleetSizer returns a FleetSizer that starts from the configured placement. previousSize is the fleet size persisted
// before a restart, or 0. If it is larger than the configured size, it is treated as seen now.
func NewFleetSizer(now time.Duration, configured Placement, previousSize int) *FleetSizer {
	s := &FleetSizer{
		current:        configured,
		routingDivisor: float64(configured.Serving),
		budgetDivisor:  float64(max(configured.Serving, previousSize)),
		updatedAt:      now,
	}
	if previousSize > configured.Serving {
		s.floors = []floor{{size: previousSize, expires: now + recentWindow}}
	}
	return s
}

// Observe records this balancer's placement in a new view.
func (s *FleetSizer) Observe(now time.Duration, seen Placement) {
	s.advance(now)
	seen.Serving = max(seen.Serving, 1)
	if seen.Serving < s.current.Serving {
		s.addFloor(floor{size: s.current.Serving, expires: now + recentWindow})
	}
	s.current = seen
	s.budgetDivisor = max(s.budgetDivisor, float64(seen.Serving))
}

// addFloor adds the floor with the latest expiry. It removes floors that are not larger, which expire earlier and so have no
// effect.
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

// advance updates both divisors to the current time.
func (s *FleetSizer) advance(now time.Duration) {
	if now <= s.updatedAt {
		return
	}
	s.routingDivisor = moveToward(s.routingDivisor, float64(s.current.Serving), routingChangeRate, now-s.updatedAt)
	for len(s.floors) > 0 && s.floors[0].expires <= now {
		s.decayBudgetDivisor(s.floors[0].expires)
		s.floors = s.floors[1:]
	}
	s.decayBudgetDivisor(now)
}

// decayBudgetDivisor decreases the divisor of budgets for the time until a given one, but not below the current fleet size or
// the largest floor.
func (s *FleetSizer) decayBudgetDivisor(until time.Duration) {
	lowerBound := s.current.Serving
	if len(s.floors) > 0 {
		lowerBound = max(lowerBound, s.floors[0].size)
	}
	if s.budgetDivisor > float64(lowerBound) {
		s.budgetDivisor = moveToward(s.budgetDivisor, float64(lowerBound), budgetDecayRate, until-s.updatedAt)
	}
	s.updatedAt = max(s.updatedAt, until)
}

// moveToward moves a number towards a target for the elapsed time. Its rate per second is a fraction of the number, but at
// least minChangeRate.
func moveToward(from, target, ratePerSecond float64, elapsed time.Duration) float64 {
	step := max(from*ratePerSecond, minChangeRate) * elapsed.Seconds()
	return from + max(-step, min(target-from, step))
}
