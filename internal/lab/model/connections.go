package model

import (
	"math"
	"time"

	"sprucehill/balancer"
)

// idleSweepInterval is how often idle connections are looked at.
const idleSweepInterval = time.Second

// upstreamConns is a node's connections to upstreams.
type upstreamConns struct {
	maxConns      int           // to all upstreams
	idleTimeout   time.Duration // an idle connection is closed after it
	dialTimeout   time.Duration
	endpoints     []endpointConns // by upstream
	conns         int             // open or being opened, to all upstreams
	nextIdleSweep time.Duration
}

// endpointConns is the state of an upstream at a node, and the idle connections to it.
type endpointConns struct {
	state balancer.EndpointState
	idle  []time.Duration // since when, the longest first
}

// putIdle stores a connection for another attempt. It closes it if the upstream is to get none.
func (n *node) putIdle(upstream int) {
	e := &n.endpoints[upstream]
	if n.draining || e.state != balancer.Active {
		n.closeConn(upstream)
		return
	}
	e.idle = append(e.idle, n.now)
}

// takeIdle takes the connection that has idled the shortest.
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

// reserveConn reports whether another connection may be opened. At the limit it closes the one that has idled longest.
func (n *node) reserveConn() bool {
	if n.conns < n.maxConns {
		return true
	}
	longest := -1
	since := time.Duration(math.MaxInt64)
	for upstream := range n.endpoints {
		idle := n.endpoints[upstream].idle
		if len(idle) > 0 && idle[0] < since {
			longest = upstream
			since = idle[0]
		}
	}
	if longest < 0 {
		return false
	}
	n.endpoints[longest].idle = n.endpoints[longest].idle[1:]
	n.closeConn(longest)
	return true
}

// sweepIdle closes connections that have idled for longer than the idle timeout.
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
