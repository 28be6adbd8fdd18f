package proxy

import (
	"context"
	"log/slog"
	"time"

	"sprucehill/internal/timelimit"
)

// drainSweepInterval is the time between two looks for idle connections during a drain.
const drainSweepInterval = 100 * time.Millisecond

// startDrain sends clients away, unless a drain has begun already. While draining, health checks fail, responses close their
// connections, and idle connections are closed once no more clients are expected. The listener stays open for those that
// come anyway.
func (f *frontend) startDrain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelDrain != nil {
		return
	}
	slog.Info("drain started", "connections", len(f.conns))
	f.lifecycle.drain.begin(f.now())
	ctx, cancel := context.WithCancel(f.ctx)
	f.cancelDrain = cancel
	go f.closeIdleWhileDraining(ctx)
}

// endDrain accepts clients again, if a drain has begun.
func (f *frontend) endDrain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cancelDrain == nil {
		return
	}
	f.lifecycle.drain.end()
	slog.Info("drain ended", "connections", len(f.conns))
	f.cancelDrain()
	f.cancelDrain = nil
}

// closeIdleWhileDraining closes idle connections, after timelimit.DrainIdleGrace, until ctx ends. It reports which connections are
// open after timelimit.Drain.
func (f *frontend) closeIdleWhileDraining(ctx context.Context) {
	grace := time.After(timelimit.DrainIdleGrace)
	report := time.After(timelimit.Drain)
	sweep := time.NewTicker(drainSweepInterval)
	defer sweep.Stop()
	select {
	case <-grace:
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		f.closeIdleConns(timelimit.DrainIdleGrace, closedByDrain)
		select {
		case <-sweep.C:
		case <-report:
			slog.Info("drain limit passed", "connections", f.openConns())
			f.logOpenConns()
		case <-ctx.Done():
		}
	}
}
