package proxy

import "time"

// clock gives the Unix time, read once when the clock is created and advanced by the monotonic clock from then on. Times
// received from discovery need no conversion, even those before the start of this process, and changes to the system clock
// do not affect it.
type clock struct {
	origin     time.Time     // when the clock was created
	originUnix time.Duration // origin as Unix time
}

func newClock() clock {
	origin := time.Now()
	return clock{origin: origin, originUnix: time.Duration(origin.UnixNano())}
}

// now returns the time since the Unix epoch. It may be called from any goroutine.
func (c clock) now() time.Duration { return c.originUnix + time.Since(c.origin) }
