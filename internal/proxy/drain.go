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
	// drainReportDelay is when a drain that still has client connections is reported: operators are promised by then that
	// no connection is idle and none is used for new requests.
	drainReportDelay = 4 * time.Second
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
	f.draining.Store(on)
	if !on {
		slog.Info("drain ended", "connections", len(f.conns))
		f.cancelDrain()
		f.cancelDrain = nil
		return
	}
	slog.Info("drain begun", "connections", len(f.conns))
	ctx, cancel := context.WithCancel(f.ctx)
	f.cancelDrain = cancel
	go f.closeIdleWhileDraining(ctx)
}

// closeIdleWhileDraining closes idle connections, after drainIdleGrace, until ctx ends. It reports which connections are
// open after drainReportDelay.
func (f *frontend) closeIdleWhileDraining(ctx context.Context) {
	grace := time.After(drainIdleGrace)
	report := time.After(drainReportDelay)
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
