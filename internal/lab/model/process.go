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
	// startupTime is how long a process takes from its start until it serves.
	startupTime = 50 * time.Millisecond
	// drainNotice is how long a process still accepts requests after SIGTERM, while its health checks already fail.
	drainNotice = 500 * time.Millisecond
	// snapshotInterval is how often a balancer that saves its state does so in the model engine.
	snapshotInterval = 2 * time.Second
)

// snapshotter is a module whose state can be saved and restored. The baselines do not implement it.
type snapshotter interface {
	TakeSnapshot(now time.Duration) balancer.Snapshot
	Restore(now time.Duration, snapshot balancer.Snapshot)
}

// start starts the process from the machine's disk, discovery agent and configuration.
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
		return fmt.Errorf("%w: start %s: %w", scenario.ErrInput, n.sim.fleet.Balancers[n.index].Name, err)
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

// configuredWithInitialList reports whether the configuration has the endpoint list of the start of the run, rather than
// the current one.
func (n *node) configuredWithInitialList() bool { return n.sim.scenario.Balancer.Known == "begin" }

// startEndpoints is the endpoint list that a process starts with: the saved one, or else that of its configuration.
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

// saveSnapshot saves the module's state if the scenario has balancers do so and snapshotInterval has passed.
func (n *node) saveSnapshot() {
	s, ok := n.module.(snapshotter)
	if !ok || !n.sim.scenario.Balancer.State || n.now-n.disk.savedAt < snapshotInterval {
		return
	}
	n.disk.snapshot = s.TakeSnapshot(n.clock())
	n.disk.savedAt = n.now
	n.disk.endpoints = slices.Clone(n.agent.endpoints)
}

// eraseDisk deletes the saved state.
func (n *node) eraseDisk() {
	n.disk.savedAt = 0
	n.disk.endpoints = nil
}

// recordProcess records an event about the process.
func (n *node) recordProcess(kind history.Kind) {
	n.record(history.Event{Kind: kind, Balancer: int32(n.index), Upstream: history.None, Arrival: history.None})
}

// drain begins a graceful shutdown. If restart is set, the process is started again afterwards.
func (n *node) drain(restart bool) {
	n.recordProcess(history.Signalled)
	n.draining = true
	n.restartAfterExit = restart
	n.after(drainNotice, message{kind: msgDrained, incarnation: n.incarnation})
}

// exitIfDrained ends a process that is shutting down, if no request is open.
func (n *node) exitIfDrained() {
	if !n.draining || len(n.requests) > 0 || n.module == nil {
		return
	}
	n.exit()
	if n.restartAfterExit {
		n.after(startupTime, message{kind: msgStart})
	}
}

// exit ends the process, which resets all its connections.
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

// stop suspends the process, as SIGSTOP does.
func (n *node) stop() {
	n.stopped = true
	n.recordProcess(history.Paused)
}

// resume continues a stopped process, which first handles the messages that arrived meanwhile.
func (n *node) resume() {
	n.stopped = false
	n.recordProcess(history.Resumed)
	deferred := n.deferredMessages
	n.deferredMessages = nil
	for _, m := range deferred {
		if n.module == nil {
			n.handleWithoutProcess(m)
		} else {
			n.handleInProcess(m)
		}
	}
	n.applyFullList()
}
