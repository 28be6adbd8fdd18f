package timelimit

import "time"

// Window is a span that begins at Start and lasts Length. Start is on the caller's monotonic clock.
type Window struct{ Start, Length time.Duration }

// IsOver reports whether the window has ended at the time now. It has at its last moment.
func (w Window) IsOver(now time.Duration) bool { return now-w.Start >= w.Length }

// Remaining returns how much of the window is left at the time now. It is negative after the window's end.
func (w Window) Remaining(now time.Duration) time.Duration { return w.Length - (now - w.Start) }

// Phase is a drain or a shutdown. Its zero value has not begun.
type Phase struct {
	Begun bool
	At    time.Duration // when it began, on the caller's monotonic clock
}

// Schedule has what bounds the time of a request beside its own deadline.
type Schedule struct {
	LongestDeadline time.Duration // of all classes
	Drain           Phase
	Shutdown        Phase
}

// Remaining returns how much of timeout is left to a request that arrived at the given time: until the limit of a drain or
// SIGKILL, whichever is first. It is never negative unless timeout is.
func (s Schedule) Remaining(arrivedAt, timeout time.Duration) time.Duration {
	return min(s.BeforeDrainLimit(arrivedAt, timeout), s.BeforeKill(arrivedAt, timeout))
}

// BeforeDrainLimit returns how much of timeout is left, before the limit of a drain, to a request that arrived at the given
// time. It is all of timeout for a request that is not recent at the limit, and for one that arrives after it.
func (s Schedule) BeforeDrainLimit(arrivedAt, timeout time.Duration) time.Duration {
	if !s.Drain.Begun {
		return timeout
	}
	oldEnough := Window{s.Drain.At, Drain - DrainRecentRequest - AnswerMargin}
	limit := Window{s.Drain.At, Drain}
	if !oldEnough.IsOver(arrivedAt) || limit.IsOver(arrivedAt) {
		return timeout
	}
	return min(timeout, max(0, limit.Remaining(arrivedAt)-AnswerMargin))
}

// BeforeKill returns how much time is left, before SIGKILL, to a request that arrived at the given time. It is timeout unless a
// shutdown has begun and the request arrived too late to have its own time. Then it can exceed timeout: Remaining takes the less.
func (s Schedule) BeforeKill(arrivedAt, timeout time.Duration) time.Duration {
	early := Window{s.Shutdown.At, KillDelay - AnswerMargin}
	if !s.Shutdown.Begun || !early.IsOver(arrivedAt) {
		return timeout
	}
	kill := Window{s.Shutdown.At, min(s.LongestDeadline, KillDeadlineCap) + KillDelay}
	return max(0, kill.Remaining(arrivedAt)-AnswerMargin)
}
