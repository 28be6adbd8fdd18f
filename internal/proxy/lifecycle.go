package proxy

import (
	"sync/atomic"
	"time"

	"sprucehill/internal/timelimit"
)

// phase records whether a drain or shutdown is in progress and when it began. Its methods may be called from any goroutine.
type phase struct {
	begun     atomic.Bool
	startedAt atomic.Int64 // when it last began, a time.Duration on the loop's clock
}

// begin starts the phase at the time now, on the loop's clock.
func (p *phase) begin(now time.Duration) {
	p.startedAt.Store(int64(now))
	p.begun.Store(true)
}

// end ends the phase.
func (p *phase) end() { p.begun.Store(false) }

// isActive reports whether the phase has begun and not ended.
func (p *phase) isActive() bool { return p.begun.Load() }

// snapshot returns the current state of the phase.
func (p *phase) snapshot() timelimit.Phase {
	return timelimit.Phase{Begun: p.begun.Load(), At: time.Duration(p.startedAt.Load())}
}

// lifecycle records whether the balancer is draining or shutting down. Its methods may be called from any goroutine.
type lifecycle struct {
	longestDeadline time.Duration // of all classes
	drain           phase         // ordered by an operator
	shutdown        phase         // the process is terminating
}

// schedule returns the limits that currently apply to the time of requests.
func (l *lifecycle) schedule() timelimit.Schedule {
	return timelimit.Schedule{
		LongestDeadline: l.longestDeadline,
		Drain:           l.drain.snapshot(),
		Shutdown:        l.shutdown.snapshot(),
	}
}

// timeLeft returns how much of timeout remains for a request that arrived at the given time on the loop's clock. The limit
// of a drain and the SIGKILL that ends a shutdown may shorten it.
func (l *lifecycle) timeLeft(arrivedAt, timeout time.Duration) time.Duration {
	return l.schedule().Remaining(arrivedAt, timeout)
}

// closeCause returns why client connections are currently being closed. closes is false if neither a drain nor a shutdown
// has begun.
func (l *lifecycle) closeCause() (cause closeCause, closes bool) {
	switch {
	case l.shutdown.isActive():
		return closedByShutdown, true
	case l.drain.isActive():
		return closedByDrain, true
	}
	return "", false
}

// isEnding reports whether a drain or a shutdown has begun.
func (l *lifecycle) isEnding() bool {
	_, closes := l.closeCause()
	return closes
}
