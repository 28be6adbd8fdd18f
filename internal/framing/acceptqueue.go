package framing

import (
	"log/slog"
	"net"
	"syscall"
	"time"

	"sprucehill/internal/socket"
)

// While connections come without end whose clients leave at once, thousands of them wait in the accept queue before that of a client
// that stays. Once that is seen, they are closed when they are accepted, and the queue is bounded. Connections beyond the bound are tried
// again by their clients' systems.

const (
	// floodDepartures is how many connections in a row, within floodPeriod, are taken for a flood if their clients have left.
	floodDepartures = 16
	floodPeriod     = time.Second
	// floodedQueueLength bounds the connections that wait to be accepted during and after a flood.
	floodedQueueLength = 512
)

// acceptQueue notices floods and bounds the queue of a listening socket. It is not safe for concurrent use.
type acceptQueue struct {
	departures int // connections whose clients had left before they were accepted, since countedAt
	countedAt  time.Time
	bounded    bool
}

// noteDeparture records at the time now that the client of a connection left while it was in the queue of the listener. It reports whether
// there is a flood of them, so that the connection is best closed at once.
func (q *acceptQueue) noteDeparture(listener net.Listener, now time.Time) (flooded bool) {
	if now.Sub(q.countedAt) > floodPeriod {
		q.departures = 0
		q.countedAt = now
	}
	q.departures++
	if q.departures < floodDepartures {
		return false
	}
	if !q.bounded {
		q.bounded = true
		if err := boundQueue(listener); err != nil {
			slog.Warn("accept queue not bounded", "err", err)
		} else {
			slog.Info("accept queue bounded", "connections", floodedQueueLength)
		}
	}
	return true
}

// noteArrival records that the client of an accepted connection has not left.
func (q *acceptQueue) noteArrival() { q.departures = 0 }

// boundQueue sets the length of a listener's accept queue.
func boundQueue(listener net.Listener) error {
	inner, ok := listener.(syscall.Conn)
	if !ok {
		return nil
	}
	return socket.SetBacklog(inner, floodedQueueLength)
}
