package timelimit

import (
	"testing"
	"time"
)

// A request has time until its own deadline, the limit of a drain or SIGKILL, whichever comes first.
func TestRemaining(t *testing.T) {
	const at, timeout, second = time.Hour, 9 * time.Second, time.Second
	drain := Schedule{LongestDeadline: 4 * second, Drain: Phase{true, at}}
	shutdown := Schedule{LongestDeadline: 4 * second, Shutdown: Phase{true, at}}
	both := Schedule{LongestDeadline: 4 * second, Drain: Phase{true, at}, Shutdown: Phase{true, at + second}}
	short := Schedule{LongestDeadline: second, Drain: Phase{true, at}, Shutdown: Phase{true, at + second}}
	for _, test := range []struct {
		name        string
		schedule    Schedule
		since, want time.Duration
	}{
		{"nothing has begun", Schedule{}, 2 * second, timeout},
		{"drain, old enough at the limit", drain, 1649 * time.Millisecond, timeout},
		{"drain, recent at the limit", drain, 1650 * time.Millisecond, 2 * second},
		{"drain, too late", drain, 3700 * time.Millisecond, 0},
		{"drain, after the limit", drain, 4 * second, timeout},
		{"shutdown, early", shutdown, 350*time.Millisecond - 1, timeout},
		{"shutdown, late", shutdown, 350 * time.Millisecond, 3 * second},
		{"shutdown, too late", shutdown, 3350 * time.Millisecond, 0},
		{"the drain ends first", both, 2 * second, 1650 * time.Millisecond},
		{"SIGKILL comes first", short, 2 * second, 350 * time.Millisecond},
	} {
		if got := test.schedule.Remaining(at+test.since, timeout); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}
