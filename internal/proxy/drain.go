package proxy

import (
	"context"
	"log/slog"
	"time"
)

const (
	// drainIdleGrace is how long idle connections stay open after a drain has begun: health checks come every 0.1 s, and
	// new connections for 0.2 s more, so a connection closed sooner would come back here.
	drainIdleGrace = 500 * time.Millisecond
	// drainSweepInterval is the time between two looks for idle connections during a drain.
	drainSweepInterval = 100 * time.Millisecond
	// drainLimit is when, after a drain's beginning, no connection may be idle, nor have a request in progress that came
	// within the last drainRecentAge. Connections that are open then are reported.
	drainLimit     = 4 * time.Second
	drainRecentAge = 2 * time.Second
	// drainMargin is how much sooner than drainLimit such a request is answered. The process may be held up for 150 ms before
	// it gets to the operators' call, from which they count, and again before it writes the answer.
	drainMargin = 350 * time.Millisecond
)

// setDraining sends clients away, or welcomes them again. While draining, health checks fail, responses close their
// connections, and idle connections are closed once no more clients are expected. The listener stays open for those that
// come anyway.
func (f *frontend) setDraining(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if on == (f.cancelDrain != nil) {
		return
	}
	if !on {
		f.draining.Store(false)
		slog.Info("drain ended", "connections", len(f.conns))
		f.cancelDrain()
		f.cancelDrain = nil
		return
	}
	slog.Info("drain begun", "connections", len(f.conns))
	f.drainAt.Store(int64(f.now()))
	f.draining.Store(true)
	ctx, cancel := context.WithCancel(f.ctx)
	f.cancelDrain = cancel
	go f.closeIdleWhileDraining(ctx)
}

// closeIdleWhileDraining closes idle connections, after drainIdleGrace, until ctx ends. It reports which connections are
// open after drainLimit.
func (f *frontend) closeIdleWhileDraining(ctx context.Context) {
	grace := time.After(drainIdleGrace)
	report := time.After(drainLimit)
	sweep := time.NewTicker(drainSweepInterval)
	defer sweep.Stop()
	select {
	case <-grace:
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		f.closeIdleConns(drainIdleGrace, closedByDrain)
		select {
		case <-sweep.C:
		case <-report:
			slog.Info("drain goes on", "connections", f.openConns())
			f.logOpenConns()
		case <-ctx.Done():
		}
	}
}

// timeBeforeDrainLimit is how much of timeout is left, before the limit of a drain, to a request that came at the given time
// on the loop's clock. It is all of timeout unless the request came after a drain's beginning so late that it would count as a
// recent one at the limit: its client was slow with it, and the connection has to be free by then. Who comes after the limit
// comes all the same, and is served.
func (f *frontend) timeBeforeDrainLimit(at, timeout time.Duration) time.Duration {
	if !f.draining.Load() {
		return timeout
	}
	since := at - time.Duration(f.drainAt.Load())
	if since < drainLimit-drainRecentAge-drainMargin || since >= drainLimit {
		return timeout
	}
	return min(timeout, max(0, drainLimit-drainMargin-since))
}
