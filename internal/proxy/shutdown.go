package proxy

import (
	"log/slog"
	"time"

	"sprucehill/internal/timelimit"
)

// shutdownSweepInterval is the time between two scans for idle connections during a shutdown.
const shutdownSweepInterval = 10 * time.Millisecond

// shutDown shuts the frontend down without losing a request. It accepts the connections that are still being established,
// closes the listener and idle connections, and returns once every accepted request has been answered. An inherited
// listener is closed immediately: queued and future connections are accepted by the successor process.
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
	<-f.acceptor.ended // from here on conns includes the last accepted connection
	f.awaitClients()
}

// awaitClients closes idle connections until no connection is open. From timelimit.ShutdownLimit on it closes those that move nothing, and
// at timelimit.ShutdownStreamLimit the rest.
func (f *frontend) awaitClients() {
	// http.Server.Shutdown can't be used: it also closes a persistent connection that has received part of the next request.
	stalled := stalledClients{conns: &f.conns, closesFrom: time.Now().Add(f.lifecycle.longestDeadline + timelimit.ShutdownLimit)}
	limit := time.After(timelimit.ShutdownStreamLimit)
	sweep := time.NewTicker(shutdownSweepInterval)
	defer sweep.Stop()
	progress := time.NewTicker(progressInterval)
	defer progress.Stop()
	stalled.sweep(time.Now())
	for f.conns.count() > 0 {
		f.conns.closeIdle(timelimit.ShutdownFirstByte, closedByShutdown)
		select {
		case <-sweep.C:
		case now := <-progress.C:
			stalled.sweep(now)
		case <-limit:
			f.conns.logClosedAtShutdownLimit(f.conns.count())
			f.server.Close()
			return
		}
	}
}
