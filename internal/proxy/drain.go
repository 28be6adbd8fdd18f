package proxy

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"sprucehill/internal/timelimit"
)

// drainSweepInterval is the time between two scans for idle connections during a drain.
const drainSweepInterval = 100 * time.Millisecond

// drainSweep is the periodic closing of idle connections during a drain.
type drainSweep struct {
	mu   sync.Mutex         // guards stop, and serializes startDrain and endDrain
	stop context.CancelFunc // stops closeIdleWhileDraining; nil: no drain is in progress
}

// startDrain starts a drain, unless one is in progress. During a drain health checks fail, responses close their
// connections, and idle connections are closed after timelimit.DrainIdleGrace. The listener stays open for clients that
// still connect.
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

// endDrain ends the drain, if one is in progress, and returns to normal service.
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

// closeIdleWhileDraining closes idle connections from timelimit.DrainIdleGrace on until ctx ends. After timelimit.DrainLimit it
// logs the connections that are still open.
func (f *frontend) closeIdleWhileDraining(ctx context.Context) {
	grace := time.After(timelimit.DrainIdleGrace)
	report := time.After(timelimit.DrainLimit)
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
