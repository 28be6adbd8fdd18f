package proxy

import "time"

// clock is Unix time at its start, and goes on by the monotonic clock. Times that discovery gives need no conversion, also
// those from before this process, and setting the system's clock does not move it.
type clock struct {
	origin time.Time     // when the clock was made
	epoch  time.Duration // origin as Unix time
}

func newClock() clock {
	origin := time.Now()
	return clock{origin: origin, epoch: time.Duration(origin.UnixNano())}
}

// now returns the time since 1970. It may be called from any goroutine.
func (c clock) now() time.Duration { return c.epoch + time.Since(c.origin) }
