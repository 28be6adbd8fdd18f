package proxy

import (
	"log/slog"
	"time"

	"sprucehill/internal/timelimit"
)

// shutdownSweepInterval is the time between two looks for idle connections during a shutdown.
const shutdownSweepInterval = 10 * time.Millisecond

// shutDown shuts the frontend down without losing a request: it accepts the connections that are still on their way, closes
// the listener and idle connections, and returns once every accepted request has been answered. An inherited listener is
// closed at once: the connections in its queue, and those still to come, belong to the successor process.
func (f *frontend) shutDown() {
	f.lifecycle.shutdown.begin(f.now())
	slog.Info("shutting down", "connections", f.conns.count())
	if f.acceptor.inherited {
		f.acceptor.listener.Close()
		f.post(releaseIdle{})
	}
	time.Sleep(timelimit.ShutdownAccept)
	if !f.acceptor.inherited {
		f.acceptor.listener.CloseWhenDrained()
	}
	<-f.acceptor.ended // from here on the last accepted connection counts among the open ones
	f.awaitClients()
}

// awaitClients closes idle connections until none is open, or until the time limit closes the rest.
func (f *frontend) awaitClients() {
	// http.Server.Shutdown is no substitute: it also closes a persistent connection on which a part of the next request has arrived.
	limit := time.After(f.lifecycle.longestDeadline + timelimit.ShutdownLimit)
	sweep := time.NewTicker(shutdownSweepInterval)
	defer sweep.Stop()
	for f.conns.count() > 0 {
		f.conns.closeIdle(timelimit.ShutdownFirstByte, closedByShutdown)
		select {
		case <-sweep.C:
		case <-limit:
			slog.Warn("client connections closed at shutdown limit", "connections", f.conns.count())
			f.conns.logOpen()
			f.server.Close()
			return
		}
	}
}
