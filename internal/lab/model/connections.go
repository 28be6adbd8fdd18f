package model

import (
	"math"
	"time"

	"sprucehill/balancer"
)

// idleSweepInterval is how often idle connections are checked against the idle timeout.
const idleSweepInterval = time.Second

// upstreamConns holds a node's connections to upstreams.
type upstreamConns struct {
	maxConns      int           // to all upstreams
	idleTimeout   time.Duration // after which an idle connection is closed
	dialTimeout   time.Duration
	endpoints     []endpointConns // by upstream
	conns         int             // open or being established, to all upstreams
	nextIdleSweep time.Duration
}

// endpointConns is the state of an upstream as a node knows it, and the node's idle connections to it.
type endpointConns struct {
	state balancer.EndpointState
	idle  []time.Duration // since when each is idle, the oldest first
}

// putIdle keeps a connection for another attempt, or closes it if the upstream is not to receive any.
func (n *node) putIdle(upstream int) {
	e := &n.endpoints[upstream]
	if n.draining || e.state != balancer.Active {
		n.closeConn(upstream)
		return
	}
	e.idle = append(e.idle, n.now)
}

// takeIdle takes the most recently used idle connection. It reports whether there was one.
func (n *node) takeIdle(upstream int) bool {
	e := &n.endpoints[upstream]
	last := len(e.idle) - 1
	if last < 0 {
		return false
	}
	e.idle = e.idle[:last]
	return true
}

// closeConn closes a connection that carries no attempt.
func (n *node) closeConn(upstream int) {
	n.conns--
	n.send(n.sim.servers[upstream], message{kind: msgConnClosed})
}

// reserveConn reports whether another connection may be opened. At the limit it closes the connection that has been idle
// the longest, if there is one.
func (n *node) reserveConn() bool {
	if n.conns < n.maxConns {
		return true
	}
	oldest := -1 // upstream of the oldest idle connection
	oldestSince := time.Duration(math.MaxInt64)
	for upstream := range n.endpoints {
		idle := n.endpoints[upstream].idle
		if len(idle) > 0 && idle[0] < oldestSince {
			oldest = upstream
			oldestSince = idle[0]
		}
	}
	if oldest < 0 {
		return false
	}
	n.endpoints[oldest].idle = n.endpoints[oldest].idle[1:]
	n.closeConn(oldest)
	return true
}

// sweepIdle closes the connections that have been idle for the idle timeout.
func (n *node) sweepIdle() {
	if n.now < n.nextIdleSweep {
		return
	}
	n.nextIdleSweep = n.now + idleSweepInterval
	for upstream := range n.endpoints {
		e := &n.endpoints[upstream]
		expired := 0
		for expired < len(e.idle) && n.now-e.idle[expired] >= n.idleTimeout {
			n.closeConn(upstream)
			expired++
		}
		e.idle = e.idle[expired:]
	}
}
