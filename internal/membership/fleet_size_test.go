package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// seenSize is a fleet size and the time until which it was seen.
type seenSize struct {
	until time.Duration
	size  int
}

// The divisor of budgets is never below a fleet size seen within the last 10 s, the divisor of routing falls gradually, and
// both converge to the size seen last.
func TestBudgetDivisorNeverBelowRecentFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Duration(0)
		size := 10
		sizer := NewFleetSizer(now, Placement{Serving: size}, 0)
		history := []seenSize{{0, size}}
		before := sizer.Current(now)
		for range rapid.IntRange(1, 40).Draw(t, "views") {
			elapsed := time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
			now += elapsed
			checkRoutingDivisorFall(t, before, sizer.Current(now), elapsed)
			history[len(history)-1].until = now
			size = rapid.IntRange(1, 40).Draw(t, "size")
			sizer.Observe(now, Placement{Serving: size})
			history = append(history, seenSize{now, size})
			before = sizer.Current(now)
			checkBudgetDivisor(t, now, before, history)
		}
		if end := sizer.Current(now + 10*time.Minute); end.RoutingDivisor != size || end.BudgetDivisor != size {
			t.Fatalf("after 10 min the fleet size is %+v, want both divisors to be %d", end, size)
		}
	})
}

// checkRoutingDivisorFall fails the test if the divisor of routing fell by more than a quarter or 1 per second, whichever is
// more, plus 2 for rounding.
func checkRoutingDivisorFall(t *rapid.T, before, after FleetSize, elapsed time.Duration) {
	t.Helper()
	limit := max(float64(before.RoutingDivisor)*0.25*elapsed.Seconds(), elapsed.Seconds()) + 2
	if float64(before.RoutingDivisor-after.RoutingDivisor) > limit {
		t.Fatalf("the divisor of routing fell from %d to %d in %v", before.RoutingDivisor, after.RoutingDivisor, elapsed)
	}
}

// checkBudgetDivisor fails the test if the divisor of budgets is below a size seen within recentWindow.
func checkBudgetDivisor(t *rapid.T, now time.Duration, got FleetSize, history []seenSize) {
	t.Helper()
	for _, seen := range history {
		if now-seen.until < recentWindow && got.BudgetDivisor < seen.size {
			t.Fatalf("at %v the divisor of budgets is %d, but a fleet size of %d was seen until %v", now, got.BudgetDivisor, seen.size, seen.until)
		}
	}
}
