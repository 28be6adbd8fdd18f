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
	// clockOrigin is the decision module's time at the start of the run. It is far from 0, so that a time of 0 is long past.
	clockOrigin = time.Hour
	// idleCloseMargin is how much earlier than its upstream a balancer closes an idle connection.
	idleCloseMargin = 5 * time.Second
	// cellsPerZone keeps the numbers of cells unique across zones. The live engine's registry uses the same numbers.
	cellsPerZone = 1000
)

// node is the actor of a balancer's machine: the process with the decision module, the discovery agent and the disk. It
// stands in for internal/proxy, without sockets.
type node struct {
	*actor
	index     int           // of the balancer in the fleet
	newModule policyFactory // makes the module of each process
	settings  balancer.Settings

	// The process.
	module           balancer.Events      // nil: no process is running
	incarnation      int32                // number of starts of the process
	draining         bool                 // graceful shutdown has begun
	restartAfterExit bool                 // the process is started again after its graceful shutdown
	stopped          bool                 // by SIGSTOP; SIGCONT resumes it
	deferredMessages []message            // received while stopped, handled after SIGCONT
	zoneStates       []balancer.ZoneState // last recorded, by zone

	requestTable
	upstreamConns
	disk  disk
	agent agent
}

// disk is the state that a node keeps while no process is running.
type disk struct {
	snapshot  balancer.Snapshot
	savedAt   time.Duration       // when snapshot was saved; 0: there is none
	endpoints []balancer.Endpoint // the last known endpoint list; nil: there is none
}

// agent is a node's discovery agent. It runs independently of the process.
type agent struct {
	endpoints        []balancer.Endpoint
	initialEndpoints []balancer.Endpoint // the list at the start of the run, if the configuration has that one
	activeSilences   int                 // number of active faults that silence the agent
	errorRate        float64             // fraction of calls to the agent that fail
	deferredUpdates  []*endpointUpdate   // received while the agent was silent
	fetchPending     bool                // the process fetched the list while the agent was silent
	clockOffset      time.Duration       // of this machine's clock relative to discovery's
}

func newNode(a *actor, index int, policy policyFactory) (*node, error) {
	sc := a.sim.scenario
	settings, links, err := wire.DecodeSettings(sc.Settings(a.sim.fleet, index))
	if err != nil {
		return nil, fmt.Errorf("%w: settings of %s: %w", scenario.ErrInput, a.sim.fleet.Balancers[index].Name, err)
	}
	n := &node{
		actor:     a,
		index:     index,
		newModule: policy,
		settings:  settings,
		upstreamConns: upstreamConns{
			maxConns:    sc.Balancer.Sockets * 3 / 8, // the limit of internal/proxy
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

// clock is the current time of the decision module.
func (n *node) clock() time.Duration { return clockOrigin + n.now }

// zoneIngress is the ingress of the node's zone.
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

// handleInProcess handles a message as a running process does.
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

// handleWithoutProcess handles a message as the kernel of a machine without a running process does.
func (n *node) handleWithoutProcess(m message) {
	switch m.kind {
	case msgConnect, msgRequest:
		n.send(n.sim.actors[m.from], message{kind: msgReset, id: m.id})
	case msgConnected:
		n.send(n.sim.actors[m.from], message{kind: msgConnClosed})
	case msgStart:
		if err := n.start(); err != nil {
			panic(err) // the settings were valid at the first start
		}
	}
}

// onTimer passes a timer on to the decision module, and runs the periodic tasks of the process.
func (n *node) onTimer(token uint64) {
	n.module.OnTimer(n.clock(), token)
	n.sweepIdle()
	n.recordZoneStates()
	n.saveSnapshot()
}

// zoneReporter is a module that assesses the health of zones. The baselines do not implement it.
type zoneReporter interface {
	ZoneStatuses(now time.Duration) []balancer.ZoneStatus
}

// recordZoneStates records the zones whose state according to the module has changed.
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
