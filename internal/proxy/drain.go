package proxy

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"sprucehill/internal/timelimit"
)

// drainSweepInterval is the time between two looks for idle connections during a drain.
const drainSweepInterval = 100 * time.Millisecond

// drainSweep is the search for idle connections during a drain.
type drainSweep struct {
	mu   sync.Mutex         // guards stop, and with it the beginning and end of a drain
	stop context.CancelFunc // ends closeIdleWhileDraining; nil: no drain has begun
}

// startDrain sends clients away, unless a drain has begun already. While draining, health checks fail, responses close their
// connections, and idle connections are closed once no more clients are expected. The listener stays open for those that
// come anyway.
func (f *frontend) startDrain() {
	f.drainSweep.mu.Lock()
	defer f.drainSweep.mu.Unlock()
	if f.drainSweep.stop != nil {
		return
	}
	slog.Info("drain started", "connections", f.conns.count())
	f.lifecycle.drain.begin(f.now())
	ctx, cancel := context.WithCancel(f.ctx)
	f.drainSweep.stop = cancel
	go f.closeIdleWhileDraining(ctx)
}

// endDrain accepts clients again, if a drain has begun.
func (f *frontend) endDrain() {
	f.drainSweep.mu.Lock()
	defer f.drainSweep.mu.Unlock()
	if f.drainSweep.stop == nil {
		return
	}
	f.lifecycle.drain.end()
	slog.Info("drain ended", "connections", f.conns.count())
	f.drainSweep.stop()
	f.drainSweep.stop = nil
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
		f.conns.closeIdle(timelimit.DrainIdleGrace, closedByDrain)
		select {
		case <-sweep.C:
		case <-report:
			slog.Info("drain limit passed", "connections", f.conns.count())
			f.conns.logOpen()
		case <-ctx.Done():
		}
	}
}
