package model

import (
	"maps"
	"slices"

	"sprucehill/balancer"
	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/scenario"
)

// beginFault applies the begin of a fault that affects this node.
func (n *node) beginFault(faultIndex int) {
	fault := n.sim.scenario.Faults[faultIndex]
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
		n.resetConns(faultIndex)
	}
}

// endFault applies the end of a fault that affects this node.
func (n *node) endFault(faultIndex int) {
	fault := n.sim.scenario.Faults[faultIndex]
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
		n.resetConns(faultIndex)
	}
}

// resumeAgent handles the updates and the fetch that came while the agent was silent.
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

// resetConns resets the connections on the links that a fault affects.
func (n *node) resetConns(faultIndex int) {
	if n.module == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(n.requests)) {
		if r := n.requests[id]; r != nil { // resetting an earlier request may have ended it
			n.resetRequest(faultIndex, r)
		}
	}
	for upstream := range n.endpoints {
		if n.onLinkFault(faultIndex, n.sim.servers[upstream].party) {
			n.CloseIdle(balancer.EndpointID(upstream))
		}
	}
	if in := n.zoneIngress(); n.onLinkFault(faultIndex, in.party) {
		n.send(in, message{kind: msgIdleClosed})
	}
	n.deliverOutcomes()
}

// resetRequest resets the connections of a request on the links that a fault affects.
func (n *node) resetRequest(faultIndex int, r *openRequest) {
	in := n.sim.actors[r.ingress]
	if !r.closed && n.onLinkFault(faultIndex, in.party) {
		n.send(in, message{kind: msgReset, id: r.client.id, requestRead: true})
		n.disconnectClient(r)
	}
	for _, a := range r.attempts {
		if a.connected && !a.ended && n.onLinkFault(faultIndex, n.sim.servers[a.upstream].party) {
			n.abandon(a)
			n.deliverOutcome(a, balancer.Reset, message{})
		}
	}
}

// onLinkFault reports whether a fault on links affects the one between this node and another party, in either direction.
func (n *node) onLinkFault(faultIndex int, p scenario.Party) bool {
	return n.sim.paths.Affects(faultIndex, n.party, p) || n.sim.paths.Affects(faultIndex, p, n.party)
}
