package model

import (
	"maps"
	"slices"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/lab/history"
)

// fetchRetryDelay is how long after a failed call to discovery a balancer retries it in the model engine.
const fetchRetryDelay = 500 * time.Millisecond

// endpointUpdate is a change of discovery's endpoint list.
type endpointUpdate struct {
	upstreams []int         // indices
	phase     string        // a key of endpointStates
	startedAt time.Duration // when the upstreams' processes started, in virtual time; 0: long before the run
}

// endpointStates are the module's states by discovery's phases.
var endpointStates = map[string]balancer.EndpointState{"up": balancer.Active, "draining": balancer.Draining, "removed": balancer.Removed}

// phaseNames are the names of discovery's phases by the module's states.
var phaseNames = [...]string{balancer.Active: "up", balancer.Draining: "draining", balancer.Removed: "removed"}

// fetchEndpoints fetches the current list from the agent. A failed call is retried, and a silent agent replies once it is
// no longer silent.
func (n *node) fetchEndpoints() {
	switch {
	case n.agent.activeSilences > 0:
		n.agent.fetchPending = true
	case n.agentCallFails():
		n.after(fetchRetryDelay, message{kind: msgEndpointUpdate, incarnation: n.incarnation})
	default:
		n.applyFullList()
	}
}

// agentCallFails determines at random whether a call to the agent fails.
func (n *node) agentCallFails() bool {
	return n.agent.errorRate > 0 && n.rng.Float64() < n.agent.errorRate
}

// endpointByClock converts an endpoint's start time to this machine's clock.
func (n *node) endpointByClock(e balancer.Endpoint) balancer.Endpoint {
	if e.StartedAt > 0 {
		e.StartedAt -= n.agent.clockOffset
	}
	return e
}

// onAgentUpdate applies an update to the agent's list. The agent passes it on immediately to a running process.
func (n *node) onAgentUpdate(update *endpointUpdate) {
	if n.agent.activeSilences > 0 {
		n.agent.deferredUpdates = append(n.agent.deferredUpdates, update)
		return
	}
	if n.agentCallFails() {
		n.after(fetchRetryDelay, message{kind: msgEndpointUpdate, update: update})
		return
	}
	changed := make([]balancer.Endpoint, 0, len(update.upstreams))
	for _, upstream := range update.upstreams {
		e := &n.agent.endpoints[upstream]
		e.State = endpointStates[update.phase]
		if update.startedAt > 0 && e.State == balancer.Active {
			e.StartedAt = clockOrigin + update.startedAt
		}
		changed = append(changed, n.endpointByClock(*e))
	}
	if n.module == nil || n.stopped {
		return
	}
	n.onEndpointUpdate(update, changed)
}

// onEndpointUpdate passes an update on to the module. For upstreams that are no longer active, it closes the idle
// connections and ends the attempts that still wait for a connection.
func (n *node) onEndpointUpdate(update *endpointUpdate, changed []balancer.Endpoint) {
	for i, upstream := range update.upstreams {
		n.recordPhase(upstream, update.phase)
		n.endpoints[upstream].state = changed[i].State
		if changed[i].State == balancer.Active {
			continue
		}
		n.CloseIdle(balancer.EndpointID(upstream))
		n.cancelConnecting(upstream)
	}
	n.module.OnEndpointUpdate(n.clock(), balancer.UpdateDelta, changed)
	n.deliverOutcomes()
}

// cancelConnecting ends the attempts that wait for a connection to an upstream.
func (n *node) cancelConnecting(upstream int) {
	for _, id := range slices.Sorted(maps.Keys(n.requests)) {
		for _, a := range n.requests[id].attempts {
			if a.upstream == upstream && !a.connected && !a.ended {
				n.pendingOutcomes = append(n.pendingOutcomes, pendingOutcome{a, balancer.NotSent})
			}
		}
	}
}

// applyFullList passes the agent's complete list on to the module.
func (n *node) applyFullList() {
	if n.module == nil {
		return
	}
	var present []balancer.Endpoint
	for upstream, e := range n.agent.endpoints {
		if n.endpoints[upstream].state != e.State {
			n.recordPhase(upstream, phaseNames[e.State])
		}
		n.endpoints[upstream].state = e.State
		if e.State != balancer.Removed {
			present = append(present, n.endpointByClock(e))
		}
	}
	n.module.OnEndpointUpdate(n.clock(), balancer.UpdateComplete, present)
	n.deliverOutcomes()
}

// recordPhase records that the process was notified of an upstream's phase.
func (n *node) recordPhase(upstream int, phase string) {
	n.record(history.Event{Kind: history.Notified, Balancer: int32(n.index), Upstream: int32(upstream), Arrival: history.None, Text: phase})
}
