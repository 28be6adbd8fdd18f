package proxy

import (
	"log/slog"
	"time"
)

const (
	// shutdownAcceptPeriod is how long connections are still accepted after SIGTERM: they keep coming for up to 0.4 s.
	shutdownAcceptPeriod = 450 * time.Millisecond
	// shutdownFirstByteTimeout is how long the last connection accepted then has for beginning its request.
	shutdownFirstByteTimeout = 50 * time.Millisecond
	// shutdownSweepInterval is the time between two looks for idle connections during a shutdown.
	shutdownSweepInterval = 10 * time.Millisecond

	// The platform sends SIGKILL after SIGTERM no sooner than the longest deadline, which counts as killDeadlineCap where
	// it is longer, plus killDelay. A request that comes later than killDelay after SIGTERM has to be answered by then; it
	// is answered killMargin sooner: the process may be held up for 150 ms before it gets to the signal, from which the platform
	// counts, and again before it writes the answer.
	killDelay       = 700 * time.Millisecond
	killDeadlineCap = 3 * time.Second
	killMargin      = 350 * time.Millisecond
)

// shutDown shuts the frontend down without losing a request: it accepts the connections that are still on their way, closes
// the listener and idle connections, and returns once every accepted request has been answered. An inherited listener is
// closed at once: the connections in its queue, and those still to come, belong to the successor process.
func (f *frontend) shutDown() {
	f.shutdownAt.Store(int64(f.now()))
	f.shuttingDown.Store(true)
	slog.Info("shutting down", "connections", f.openConns())
	if f.inherited {
		f.listener.Close()
		f.post(releaseIdle{})
	}
	time.Sleep(shutdownAcceptPeriod)
	if !f.inherited {
		f.listener.CloseWhenDrained()
	}
	<-f.acceptEnded // from here on the last accepted connection counts among the open ones
	f.awaitClients()
}

// awaitClients closes idle connections until none is open, or until the time limit closes the rest.
func (f *frontend) awaitClients() {
	// http.Server.Shutdown is no substitute: it also closes a kept connection whose next request has come in part.
	limit := time.After(f.longestDeadline + clientWriteTimeout)
	sweep := time.NewTicker(shutdownSweepInterval)
	defer sweep.Stop()
	for f.openConns() > 0 {
		f.closeIdleConns(shutdownFirstByteTimeout, closedByShutdown)
		select {
		case <-sweep.C:
		case <-limit:
			slog.Warn("closing client connections at the time limit", "open", f.openConns())
			f.logOpenConns()
			f.server.Close()
			return
		}
	}
}

// timeLeft is how much of timeout is left to a request that came at the given time on the loop's clock, before whatever ends
// its connection first: the limit of a drain, or SIGKILL.
func (f *frontend) timeLeft(at, timeout time.Duration) time.Duration {
	return min(f.timeBeforeDrainLimit(at, timeout), f.timeBeforeKill(at, timeout))
}

// timeBeforeKill is how much of timeout is left, before SIGKILL, to a request that came at the given time on the loop's
// clock. It is all of timeout unless a shutdown has begun and the request came too long after that.
func (f *frontend) timeBeforeKill(at, timeout time.Duration) time.Duration {
	shutdownAt := time.Duration(f.shutdownAt.Load())
	if !f.shuttingDown.Load() || at < shutdownAt+killDelay-killMargin {
		return timeout
	}
	killAt := shutdownAt + min(f.longestDeadline, killDeadlineCap) + killDelay
	return max(0, killAt-killMargin-at)
}
