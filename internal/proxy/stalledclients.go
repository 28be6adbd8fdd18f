package proxy

import (
	"time"

	"sprucehill/internal/framing"
	"sprucehill/internal/socket"
	"sprucehill/internal/timelimit"
)

// progressInterval is the interval between two looks at the progress of clients.
const progressInterval = 500 * time.Millisecond

// stalledClients closes the connections of clients that move no bytes, during a shutdown. It is not safe for concurrent use.
type stalledClients struct {
	conns      *clientConns
	closesFrom time.Time // until then it only looks
	progress   map[*framing.Conn]*socket.PeerProgress
}

// sweep looks at the open connections at the time now, and closes those that have stalled. It is called every progressInterval.
func (s *stalledClients) sweep(now time.Time) {
	s.observe(now)
	if now.Before(s.closesFrom) {
		return
	}
	closed := 0
	for conn, progress := range s.progress {
		if progress.HasStalled(now, timelimit.ShutdownLimit) {
			conn.Close()
			closed++
		}
	}
	if closed > 0 {
		s.conns.logClosedAtShutdownLimit(closed)
	}
}

// observe looks at the open connections, and forgets the others.
func (s *stalledClients) observe(now time.Time) {
	known := s.progress
	s.progress = make(map[*framing.Conn]*socket.PeerProgress, len(known))
	for _, conn := range s.conns.openConns() {
		progress := known[conn]
		if progress == nil {
			progress = &socket.PeerProgress{}
		}
		conn.ObserveProgress(progress, now)
		s.progress[conn] = progress
	}
}
