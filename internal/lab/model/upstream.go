package model

import (
	"maps"
	"math"
	"slices"
	"time"

	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/scenario"
	"sprucehill/internal/lab/server"
)

// upstream is the actor of an upstream's machine: the simulated server and its connections.
type upstream struct {
	*actor
	index            int
	server           *server.Server // nil: no process runs
	vanished         bool           // the machine is off the network
	jobs             map[server.JobID]job
	byAttempt        map[attemptKey]server.JobID
	lastJob          server.JobID
	conns            int
	connsByNode      map[int32]int    // open connections, by the balancer's actor
	orphanedAttempts []job            // attempts that no process will answer, whose connections are to be reset
	wakeAt           time.Duration    // when the next msgWake is due; math.MaxInt64: none is scheduled
	faults           []scenario.Fault // that are active
}

// attemptKey identifies an attempt across balancers.
type attemptKey struct {
	node   int32  // the balancer's actor
	id     uint64 // of the client's request
	number int32  // of the attempt within its request
}

// job is an attempt that this upstream has received.
type job struct {
	attemptKey
	request *clientRequest
}

func newUpstream(a *actor, index int) *upstream {
	u := &upstream{
		actor:       a,
		index:       index,
		jobs:        map[server.JobID]job{},
		byAttempt:   map[attemptKey]server.JobID{},
		connsByNode: map[int32]int{},
		wakeAt:      math.MaxInt64,
	}
	u.start(false)
	return u
}

// model is the scenario's model of this upstream.
func (u *upstream) model() scenario.Model {
	return u.sim.scenario.Models[u.sim.fleet.Upstreams[u.index].Model]
}

// start starts the server's process. If warmsUp is false, it has its full capacity from the start.
func (u *upstream) start(warmsUp bool) {
	seed := u.sim.scenario.Seed<<16 + uint64(u.index)
	u.server = server.New(u.model(), u.sim.scenario.Balancer, seed, u.now, warmsUp)
	u.server.SetFaults(u.faults)
	u.scheduleWake()
}

// scheduleWake sets a timer for the time at which the server next has to be advanced.
func (u *upstream) scheduleWake() {
	if u.server == nil {
		return
	}
	if next := u.server.Next(); next < u.wakeAt {
		u.wakeAt = next
		u.after(next-u.now, message{kind: msgWake})
	}
}

func (u *upstream) handle(m message) {
	if u.server != nil {
		for _, done := range u.server.Advance(u.now) {
			u.onDone(done)
		}
	}
	switch m.kind {
	case msgWake:
		if u.now >= u.wakeAt {
			u.wakeAt = math.MaxInt64
		}
	case msgConnect:
		u.onConnect(m)
	case msgAttempt:
		u.onAttempt(job{attemptKey{m.from, m.id, m.number}, m.request})
	case msgAbandon:
		u.onConnClosed(m.from)
		u.onAbandon(attemptKey{m.from, m.id, m.number})
	case msgConnClosed:
		u.onConnClosed(m.from)
	case msgFaultBegins:
		u.beginFault(u.sim.scenario.Faults[m.index])
	case msgFaultEnds:
		u.endFault(u.sim.scenario.Faults[m.index])
	}
	u.scheduleWake()
}

func (u *upstream) onConnClosed(node int32) {
	if u.connsByNode[node] > 0 {
		u.connsByNode[node]--
		u.conns--
	}
}

// onConnect accepts a connection. At the model's limit of connections, and on a machine that is off the network, the dial
// gets no reply.
func (u *upstream) onConnect(m message) {
	limit := u.model().Connections
	switch {
	case u.vanished || (limit > 0 && u.conns >= limit):
	case u.server == nil:
		u.send(u.sim.actors[m.from], message{kind: msgReset, id: m.id, number: m.number})
	default:
		u.conns++
		u.connsByNode[m.from]++
		u.server.AcceptConn()
		u.send(u.sim.actors[m.from], message{kind: msgConnected, id: m.id, number: m.number})
	}
}

// onAttempt passes a request on to the server, which accepts or rejects it.
func (u *upstream) onAttempt(j job) {
	if u.vanished {
		u.orphanedAttempts = append(u.orphanedAttempts, j)
		return
	}
	if u.server == nil {
		u.reset(j)
		return
	}
	arrival := u.sim.arrivals[j.request.arrival]
	u.lastJob++
	accepted, collapsed := u.server.Arrive(u.lastJob, arrival.Work, arrival.Wait)
	kind := history.Rejected
	if accepted {
		kind = history.Arrived
		u.jobs[u.lastJob] = j
		u.byAttempt[j.attemptKey] = u.lastJob
	}
	event := u.attemptEvent(j, kind)
	event.FirstByteAt = u.now
	event.Work = float32(arrival.Work.Seconds())
	u.record(event)
	if !accepted {
		u.reply(j, statusRejected)
	}
	if collapsed {
		u.record(u.processEvent(history.Collapsed))
	}
}

// attemptEvent returns an event about an attempt.
func (u *upstream) attemptEvent(j job, kind history.Kind) history.Event {
	return history.Event{
		Kind:      kind,
		RequestID: j.id,
		Arrival:   j.request.arrival,
		Retry:     int8(j.request.number),
		Class:     int16(u.sim.arrivals[j.request.arrival].Class),
		Balancer:  int32(u.sim.actors[j.node].party.Index),
		Upstream:  int32(u.index),
		Serial:    j.number,
	}
}

// processEvent returns an event about the server's process.
func (u *upstream) processEvent(kind history.Kind) history.Event {
	return history.Event{Kind: kind, Upstream: int32(u.index), Balancer: history.None, Arrival: history.None}
}

// onDone replies to an attempt that the server has run.
func (u *upstream) onDone(done server.Done) {
	j, ok := u.jobs[done.Job]
	if !ok {
		return
	}
	delete(u.jobs, done.Job)
	delete(u.byAttempt, j.attemptKey)
	status := statusOK
	if done.Failed {
		status = statusError
	}
	event := u.attemptEvent(j, history.Replied)
	event.Status = status
	u.record(event)
	u.reply(j, status)
}

func (u *upstream) reply(j job, status int16) {
	m := message{kind: msgReply, id: j.id, number: j.number, status: status}
	m.load, m.hasLoad = u.server.Load()
	u.send(u.sim.actors[j.node], m)
}

// reset resets the connection of an attempt.
func (u *upstream) reset(j job) {
	u.send(u.sim.actors[j.node], message{kind: msgReset, id: j.id, number: j.number})
}

// onAbandon cancels an attempt that its balancer has abandoned.
func (u *upstream) onAbandon(key attemptKey) {
	id, ok := u.byAttempt[key]
	if !ok {
		return
	}
	u.record(u.attemptEvent(u.jobs[id], history.Abandoned))
	delete(u.jobs, id)
	delete(u.byAttempt, key)
	if u.server != nil {
		u.server.Cancel(id)
	}
}

func (u *upstream) beginFault(fault scenario.Fault) {
	u.faults = append(u.faults, fault)
	u.applyFaults()
	switch fault.Kind {
	case scenario.UpstreamDown:
		u.stopProcess()
	case scenario.UpstreamVanish:
		u.disconnectMachine()
	}
}

func (u *upstream) endFault(fault scenario.Fault) {
	i := slices.IndexFunc(u.faults, func(f scenario.Fault) bool { return f.Kind == fault.Kind && f.At == fault.At })
	u.faults = slices.Delete(u.faults, i, i+1)
	u.applyFaults()
	if fault.Kind == scenario.UpstreamDown || fault.Kind == scenario.UpstreamVanish {
		u.restart()
	}
}

// applyFaults passes the active faults on to the server.
func (u *upstream) applyFaults() {
	if u.server != nil {
		u.server.SetFaults(u.faults)
	}
}

// stopProcess ends the process and resets its connections.
func (u *upstream) stopProcess() {
	u.vanished = false
	u.abandonJobs()
	u.resetAll()
}

// disconnectMachine takes the machine off the network. Its attempts get no reply.
func (u *upstream) disconnectMachine() {
	u.vanished = true
	u.abandonJobs()
}

// abandonJobs discards the server and all attempts that it has accepted.
func (u *upstream) abandonJobs() {
	u.server = nil
	u.wakeAt = math.MaxInt64
	u.record(u.processEvent(history.UpstreamStopped))
	for _, id := range slices.Sorted(maps.Keys(u.jobs)) {
		j := u.jobs[id]
		u.record(u.attemptEvent(j, history.Abandoned))
		u.orphanedAttempts = append(u.orphanedAttempts, j)
	}
	clear(u.jobs)
	clear(u.byAttempt)
}

// resetAll resets every connection.
func (u *upstream) resetAll() {
	for _, j := range u.orphanedAttempts {
		u.reset(j)
	}
	for _, node := range slices.Sorted(maps.Keys(u.connsByNode)) {
		if u.connsByNode[node] > 0 {
			u.send(u.sim.actors[node], message{kind: msgIdleClosed, index: int32(u.index)})
		}
	}
	clear(u.connsByNode)
	u.orphanedAttempts = nil
	u.conns = 0
}

// restart starts the process again. It resets what is left of the old process's connections, and warms up.
func (u *upstream) restart() {
	u.vanished = false
	u.resetAll()
	u.start(true)
	u.record(u.processEvent(history.UpstreamStarted))
}
