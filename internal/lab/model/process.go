package model

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/scenario"
)

const (
	// startupTime is how long a process takes from its start until it answers.
	startupTime = 50 * time.Millisecond
	// drainNotice is how long a process still takes requests after SIGTERM.
	drainNotice = 500 * time.Millisecond
	// snapshotInterval is how often a balancer that saves its state does so, in the model.
	snapshotInterval = 2 * time.Second
)

// snapshotter is a module that can be started with another's state. The baselines cannot.
type snapshotter interface {
	TakeSnapshot(now time.Duration) balancer.Snapshot
	Restore(now time.Duration, snapshot balancer.Snapshot)
}

// start starts the process with what its machine holds.
func (n *node) start() error {
	n.incarnation++
	n.requests = map[balancer.RequestID]*openRequest{}
	n.byClientID = map[uint64]*openRequest{}
	n.pendingOutcomes = nil
	n.conns = 0
	n.endpoints = make([]endpointConns, len(n.agent.endpoints))
	n.zoneStates = make([]balancer.ZoneState, len(n.sim.fleet.Zones))
	n.draining = false
	seed := n.sim.scenario.Seed<<24 + uint64(n.incarnation)<<12 + uint64(n.index)
	module, err := n.newModule(n.settings, seed, n.clock(), n)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", scenario.ErrInput, n.sim.fleet.Balancers[n.index].Name, err)
	}
	n.module = module
	n.recordProcess(history.Started)
	var present []balancer.Endpoint
	for i, e := range n.startEndpoints() {
		n.endpoints[i].state = e.State
		if e.State != balancer.Removed {
			present = append(present, n.endpointByClock(e))
		}
	}
	n.module.OnEndpointUpdate(n.clock(), balancer.UpdateCached, present)
	if s, ok := n.module.(snapshotter); ok && n.disk.savedAt > 0 {
		s.Restore(n.clock(), n.disk.snapshot)
	}
	n.deliverOutcomes()
	if n.disk.endpoints != nil || n.configuredWithInitialList() {
		n.fetchEndpoints()
	}
	return nil
}

// configuredWithInitialList reports whether the configuration has the endpoint list of the day's begin rather than of now.
func (n *node) configuredWithInitialList() bool { return n.sim.scenario.Balancer.Known == "begin" }

// startEndpoints is the list that a process starts with: the saved one, or the one in its configuration.
func (n *node) startEndpoints() []balancer.Endpoint {
	switch {
	case n.disk.endpoints != nil:
		return n.disk.endpoints
	case n.configuredWithInitialList():
		if n.agent.initialEndpoints == nil {
			n.agent.initialEndpoints = slices.Clone(n.agent.endpoints)
		}
		return n.agent.initialEndpoints
	}
	return n.agent.endpoints
}

// saveSnapshot saves the module's state from time to time, where the day has balancers do so.
func (n *node) saveSnapshot() {
	s, ok := n.module.(snapshotter)
	if !ok || !n.sim.scenario.Balancer.State || n.now-n.disk.savedAt < snapshotInterval {
		return
	}
	n.disk.snapshot = s.TakeSnapshot(n.clock())
	n.disk.savedAt = n.now
	n.disk.endpoints = slices.Clone(n.agent.endpoints)
}

// eraseDisk drops what was saved.
func (n *node) eraseDisk() {
	n.disk.savedAt = 0
	n.disk.endpoints = nil
}

// recordProcess records an event of the process.
func (n *node) recordProcess(kind history.Kind) {
	n.record(history.Event{Kind: kind, Balancer: int32(n.index), Upstream: history.None, Arrival: history.None})
}

// drain begins a graceful shutdown.
func (n *node) drain(restarts bool) {
	n.recordProcess(history.Signalled)
	n.draining = true
	n.restartAfterExit = restarts
	n.after(drainNotice, message{kind: msgDrained, incarnation: n.incarnation})
}

// exitIfDrained ends a process that shuts down, once no request is open.
func (n *node) exitIfDrained() {
	if !n.draining || len(n.requests) > 0 || n.module == nil {
		return
	}
	n.exit()
	if n.restartAfterExit {
		n.after(startupTime, message{kind: msgStart})
	}
}

// exit ends the process, and all its connections with it.
func (n *node) exit() {
	n.module = nil
	for _, id := range slices.Sorted(maps.Keys(n.requests)) {
		r := n.requests[id]
		if !r.closed {
			n.send(n.sim.actors[r.ingress], message{kind: msgReset, id: r.client.id, requestRead: true})
		}
		for _, a := range r.attempts {
			if a.connected && !a.ended {
				n.send(n.sim.servers[a.upstream], message{kind: msgAbandon, id: r.client.id, number: a.number})
			}
		}
	}
	for upstream := range n.endpoints {
		for range n.endpoints[upstream].idle {
			n.send(n.sim.servers[upstream], message{kind: msgConnClosed})
		}
	}
	n.send(n.zoneIngress(), message{kind: msgIdleClosed})
	n.recordProcess(history.Exited)
	n.requests = map[balancer.RequestID]*openRequest{}
	n.byClientID = map[uint64]*openRequest{}
	n.pendingOutcomes = nil
}

// stop stops the process, as SIGSTOP does.
func (n *node) stop() {
	n.stopped = true
	n.recordProcess(history.Paused)
}

// resume continues a stopped process, which handles the messages that arrived meanwhile.
func (n *node) resume() {
	n.stopped = false
	n.recordProcess(history.Resumed)
	missed := n.deferredMessages
	n.deferredMessages = nil
	for _, m := range missed {
		if n.module == nil {
			n.handleWithoutProcess(m)
		} else {
			n.handleInProcess(m)
		}
	}
	n.applyFullList()
}
