package model

import (
	"maps"
	"slices"

	"sprucehill/balancer"
	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/scenario"
)

// beginFault begins a fault that hits this node.
func (n *node) beginFault(i int) {
	fault := n.sim.scenario.Faults[i]
	switch fault.Kind {
	case scenario.BalancerKill:
		if n.module != nil {
			n.recordProcess(history.Killed)
			n.exit()
		}
	case scenario.BalancerTerminate, scenario.BalancerRestart:
		if n.module != nil {
			n.drain(fault.Kind == scenario.BalancerRestart)
		}
	case scenario.BalancerFreeze:
		n.stop()
	case scenario.ClockOffset:
		n.agent.clockOffset = fault.Delay.D()
	case scenario.DiscoverySilent:
		n.agent.activeSilences++
	case scenario.DiscoveryOverloaded:
		n.agent.errorRate = fault.Size
	case scenario.LinkReset:
		n.resetConns(i)
	}
}

// endFault ends a fault that hits this node.
func (n *node) endFault(i int) {
	fault := n.sim.scenario.Faults[i]
	switch fault.Kind {
	case scenario.BalancerKill:
		if fault.State == "lose" {
			n.eraseDisk()
		}
		n.after(startupTime, message{kind: msgStart})
	case scenario.BalancerTerminate:
		n.after(startupTime, message{kind: msgStart})
	case scenario.BalancerFreeze:
		n.resume()
	case scenario.ClockOffset:
		n.agent.clockOffset = 0
	case scenario.DiscoverySilent:
		n.agent.activeSilences--
		if n.agent.activeSilences == 0 {
			n.resumeAgent()
		}
	case scenario.DiscoveryOverloaded:
		n.agent.errorRate = 0
	case scenario.LinkReset:
		n.resetConns(i)
	}
}

// resumeAgent handles what the agent could not answer while it was silent.
func (n *node) resumeAgent() {
	for _, update := range n.agent.deferredUpdates {
		n.onAgentUpdate(update)
	}
	n.agent.deferredUpdates = nil
	if n.agent.fetchPending {
		n.agent.fetchPending = false
		n.fetchEndpoints()
	}
}

// resetConns breaks the connections that a fault on links hits.
func (n *node) resetConns(i int) {
	if n.module == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(n.requests)) {
		if r := n.requests[id]; r != nil { // what comes before may have ended it
			n.resetRequest(i, r)
		}
	}
	for upstream := range n.endpoints {
		if n.onLinkFault(i, n.sim.servers[upstream].party) {
			n.CloseIdle(balancer.EndpointID(upstream))
		}
	}
	if front := n.zoneIngress(); n.onLinkFault(i, front.party) {
		n.send(front, message{kind: msgIdleClosed})
	}
	n.deliverOutcomes()
}

// resetRequest breaks the connections of a request that a fault on links hits.
func (n *node) resetRequest(i int, r *openRequest) {
	front := n.sim.actors[r.ingress]
	if !r.closed && n.onLinkFault(i, front.party) {
		n.send(front, message{kind: msgReset, id: r.client.id, requestRead: true})
		n.disconnectClient(r)
	}
	for _, a := range r.attempts {
		if a.connected && !a.ended && n.onLinkFault(i, n.sim.servers[a.upstream].party) {
			n.abandon(a)
			n.deliverOutcome(a, balancer.Reset, message{})
		}
	}
}

// onLinkFault reports whether a fault on links hits one between this node and another party.
func (n *node) onLinkFault(i int, p scenario.Party) bool {
	return n.sim.paths.Hits(i, n.party, p) || n.sim.paths.Hits(i, p, n.party)
}
