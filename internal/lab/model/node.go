package model

import (
	"fmt"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/scenario"
	"sprucehill/internal/wire"
)

const (
	// clockOrigin is the decision module's time at the begin of the day, so that a time of 0 is long past.
	clockOrigin = time.Hour
	// idleCloseMargin is how long before its upstream a balancer closes an idle connection.
	idleCloseMargin = 5 * time.Second
	// cellsPerZone numbers the cells of all zones apart, as the live engine's registry does.
	cellsPerZone = 1000
)

// node is a balancer's machine: its process with the decision module, its discovery agent and its disk. It does what
// internal/proxy does, without sockets.
type node struct {
	*actor
	index     int // of the balancer in the fleet
	newModule policyFactory
	settings  balancer.Settings

	// The process.
	module           balancer.Events // nil: no process runs
	incarnation      int32           // counts starts of the process
	draining         bool            // graceful shutdown has begun
	restartAfterExit bool            // it starts again once it has shut down
	stopped          bool            // by SIGSTOP
	deferredMessages []message       // handled when it continues
	zoneStates       []balancer.ZoneState

	requestTable
	upstreamConns
	disk  disk
	agent agent
}

// disk is what a node keeps while no process runs.
type disk struct {
	snapshot  balancer.Snapshot
	savedAt   time.Duration       // of the snapshot; 0: there is none
	endpoints []balancer.Endpoint // the last known endpoint list; nil: there is none
}

// agent is a node's discovery agent. It runs whether the process does or not.
type agent struct {
	endpoints        []balancer.Endpoint
	initialEndpoints []balancer.Endpoint // the list at the begin of the day, where the configuration has it
	activeSilences   int                 // active faults that silence the agent
	errorRate        float64             // ratio of calls to the agent that fail
	deferredUpdates  []*endpointUpdate   // arrived during a silence
	fetchPending     bool                // the process called for the list during a silence
	clockOffset      time.Duration       // of this machine's clock against discovery's
}

func newNode(a *actor, index int, policy policyFactory) (*node, error) {
	d := a.sim.scenario
	settings, links, err := wire.DecodeSettings(d.Settings(a.sim.fleet, index))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", scenario.ErrInput, err)
	}
	n := &node{
		actor:     a,
		index:     index,
		newModule: policy,
		settings:  settings,
		upstreamConns: upstreamConns{
			maxConns:    d.Balancer.Sockets * 3 / 8,
			idleTimeout: max(links.KeepAlive-idleCloseMargin, links.KeepAlive/2),
			dialTimeout: links.ConnectTimeout,
		},
	}
	for i, u := range a.sim.fleet.Upstreams {
		n.agent.endpoints = append(n.agent.endpoints, balancer.Endpoint{
			ID:     balancer.EndpointID(i),
			Zone:   a.sim.fleet.Locality(u.Zone),
			Cell:   u.Zone*cellsPerZone + u.Cell,
			Weight: u.Size,
		})
	}
	return n, n.start()
}

// clock is the decision module's time.
func (n *node) clock() time.Duration { return clockOrigin + n.now }

// zoneIngress is the front of the node's zone.
func (n *node) zoneIngress() *actor { return n.sim.ingresses[n.sim.fleet.Balancers[n.index].Zone] }

func (n *node) handle(m message) {
	switch {
	case m.kind == msgFaultBegins:
		n.beginFault(int(m.index))
	case m.kind == msgFaultEnds:
		n.endFault(int(m.index))
	case m.kind == msgEndpointUpdate && m.update != nil:
		n.onAgentUpdate(m.update)
	case m.kind == msgEndpointUpdate:
		if m.incarnation == n.incarnation {
			n.fetchEndpoints()
		}
	case n.stopped:
		n.deferredMessages = append(n.deferredMessages, m)
	case n.module == nil:
		n.handleWithoutProcess(m)
	default:
		n.handleInProcess(m)
	}
}

// handleInProcess is what a running process does with a message.
func (n *node) handleInProcess(m message) {
	switch m.kind {
	case msgHealthCheck:
		n.send(n.sim.actors[m.from], message{kind: msgHealthResult, healthy: !n.draining})
	case msgConnect:
		n.send(n.sim.actors[m.from], message{kind: msgConnected, id: m.id})
	case msgRequest:
		n.onRequest(m)
	case msgClientDisconnected:
		if r := n.byClientID[m.id]; r != nil && !r.closed {
			n.disconnectClient(r)
		}
	case msgTimer:
		if m.incarnation == n.incarnation {
			n.onTimer(m.id)
		}
	case msgConnected, msgReset, msgReply, msgConnectTimeout, msgAttemptTimeout:
		n.onAttemptMessage(m)
	case msgRequestTimeout:
		if r := n.byClientID[m.id]; r != nil && m.incarnation == n.incarnation {
			n.onRequestTimeout(r)
		}
	case msgIdleClosed:
		e := &n.endpoints[m.index]
		n.conns -= len(e.idle)
		e.idle = nil
	case msgDrained:
		if m.incarnation == n.incarnation {
			n.exitIfDrained()
		}
	}
	n.deliverOutcomes()
}

// handleWithoutProcess is what the kernel of a machine does on which no process runs.
func (n *node) handleWithoutProcess(m message) {
	switch m.kind {
	case msgConnect, msgRequest:
		n.send(n.sim.actors[m.from], message{kind: msgReset, id: m.id})
	case msgConnected:
		n.send(n.sim.actors[m.from], message{kind: msgConnClosed})
	case msgStart:
		if err := n.start(); err != nil {
			panic(err) // the same settings were valid at the first start
		}
	}
}

// onTimer passes a timer on to the decision module, and does what the process does besides from time to time.
func (n *node) onTimer(token uint64) {
	n.module.OnTimer(n.clock(), token)
	n.sweepIdle()
	n.recordZoneStates()
	n.saveSnapshot()
}

// zoneReporter is a module that judges the health of zones. The baselines do not.
type zoneReporter interface {
	ZoneStatuses(now time.Duration) []balancer.ZoneStatus
}

// recordZoneStates records which zones have changed in the module's judgement.
func (n *node) recordZoneStates() {
	module, ok := n.module.(zoneReporter)
	if !ok {
		return
	}
	for _, z := range module.ZoneStatuses(n.clock()) {
		i := n.sim.fleet.ZoneByLocality(z.Name)
		if i < 0 || n.zoneStates[i] == z.State {
			continue
		}
		n.zoneStates[i] = z.State
		n.record(history.Event{
			Kind:     history.ZoneState,
			Balancer: int32(n.index),
			Upstream: history.None,
			Arrival:  history.None,
			Zone:     int16(i),
			Text:     z.State.String(),
		})
	}
}
