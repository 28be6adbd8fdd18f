package proxy

import (
	"sync/atomic"
	"time"
)

// logLimit bounds how often a log line is written. The first line is permitted once interval has passed on the caller's clock. It is safe
// for concurrent use.
type logLimit struct {
	interval time.Duration // the least time between two lines
	loggedAt atomic.Int64  // when the last line was permitted, a time.Duration on the caller's clock
}

// allows reports whether a line may be written at the time now, and counts it if so.
func (l *logLimit) allows(now time.Duration) bool {
	last := l.loggedAt.Load()
	return now-time.Duration(last) >= l.interval && l.loggedAt.CompareAndSwap(last, int64(now))
}
