package timelimit

import "time"

// Window is an interval that begins at Start, on the caller's monotonic clock, and lasts Length.
type Window struct{ Start, Length time.Duration }

// IsOver reports whether the window has ended at the time now. The end does not belong to the window.
func (w Window) IsOver(now time.Duration) bool { return now-w.Start >= w.Length }

// Remaining returns the time from now to the end of the window. It is negative after the end.
func (w Window) Remaining(now time.Duration) time.Duration { return w.Length - (now - w.Start) }

// Phase is the state of a drain or a shutdown. Its zero value stands for one that has not begun.
type Phase struct {
	Begun bool
	At    time.Duration // when it began, on the caller's monotonic clock
}

// Schedule holds what limits the time of a request in addition to its own deadline.
type Schedule struct {
	LongestDeadline time.Duration // of all classes
	Drain           Phase
	Shutdown        Phase
}

// Remaining returns the time that a request with the given timeout has from its arrival: timeout, or less if the limit of a
// drain or SIGKILL comes first. It is never negative unless timeout is.
func (s Schedule) Remaining(arrivedAt, timeout time.Duration) time.Duration {
	return min(s.BeforeDrainLimit(arrivedAt, timeout), s.BeforeKill(arrivedAt, timeout))
}

// BeforeDrainLimit returns the time that a request with the given timeout has from its arrival to the limit of a drain. It
// is timeout for a request that is not recent at the limit, and for one that arrives after it.
func (s Schedule) BeforeDrainLimit(arrivedAt, timeout time.Duration) time.Duration {
	if !s.Drain.Begun {
		return timeout
	}
	exempt := Window{s.Drain.At, DrainLimit - DrainRecentRequest - ResponseMargin}
	limit := Window{s.Drain.At, DrainLimit}
	if !exempt.IsOver(arrivedAt) || limit.IsOver(arrivedAt) {
		return timeout
	}
	return min(timeout, max(0, limit.Remaining(arrivedAt)-ResponseMargin))
}

// BeforeKill returns the time that a request has from its arrival to SIGKILL. It is timeout unless a shutdown has begun and
// the request arrived too late to be sure of its own timeout. Then the result may exceed timeout; Remaining returns the
// smaller of the two.
func (s Schedule) BeforeKill(arrivedAt, timeout time.Duration) time.Duration {
	unaffected := Window{s.Shutdown.At, KillDelay - ResponseMargin}
	if !s.Shutdown.Begun || !unaffected.IsOver(arrivedAt) {
		return timeout
	}
	kill := Window{s.Shutdown.At, min(s.LongestDeadline, KillDeadlineCap) + KillDelay}
	return max(0, kill.Remaining(arrivedAt)-ResponseMargin)
}
