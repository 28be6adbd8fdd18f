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

// upstream is an emulated upstream's machine: the pure core of its server, and its connections.
type upstream struct {
	*actor
	index       int
	server      *server.Server // nil: no process runs
	vanished    bool           // the machine answers nothing
	jobs        map[server.JobID]job
	byAttempt   map[attemptKey]server.JobID
	lastJob     server.JobID
	conns       int
	connsByNode map[int32]int    // open connections, by the balancer's actor
	unanswered  []job            // attempts without a server, whose connections are still to be reset
	wakeAt      time.Duration    // when the next wake-up is due; math.MaxInt64: none is
	faults      []scenario.Fault // that act now
}

// attemptKey identifies an attempt.
type attemptKey struct {
	node   int32 // the balancer's actor
	id     uint64
	number int32
}

// job is an attempt at this upstream.
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

func (u *upstream) model() scenario.Model {
	return u.sim.day.Models[u.sim.fleet.Upstreams[u.index].Model]
}

// start starts the server's process, which warms up or is warm from the start.
func (u *upstream) start(warmsUp bool) {
	seed := u.sim.day.Seed<<16 + uint64(u.index)
	u.server = server.New(u.model(), u.sim.day.Balancer, seed, u.now, warmsUp)
	u.server.SetFaults(u.faults)
	u.scheduleWake()
}

// scheduleWake sees to it that the actor is called when its server next has something to do.
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
		u.beginFault(u.sim.day.Faults[m.index])
	case msgFaultEnds:
		u.endFault(u.sim.day.Faults[m.index])
	}
	u.scheduleWake()
}

func (u *upstream) onConnClosed(node int32) {
	if u.connsByNode[node] > 0 {
		u.connsByNode[node]--
		u.conns--
	}
}

// onConnect accepts a connection. At the model's limit of connections, or on a machine that has vanished, it gets no
// answer.
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

// onAttempt takes a request.
func (u *upstream) onAttempt(j job) {
	if u.vanished {
		u.unanswered = append(u.unanswered, j)
		return
	}
	if u.server == nil {
		u.reset(j)
		return
	}
	arrival := u.sim.arrivals[j.request.arrival]
	u.lastJob++
	taken, toppled := u.server.Arrive(u.lastJob, arrival.Work, arrival.Wait)
	kind := history.Rejected
	if taken {
		kind = history.Arrived
		u.jobs[u.lastJob] = j
		u.byAttempt[j.attemptKey] = u.lastJob
	}
	event := u.attemptEvent(j, kind)
	event.FirstByteAt = u.now
	event.Work = float32(arrival.Work.Seconds())
	u.record(event)
	if !taken {
		u.reply(j, statusRefused)
	}
	if toppled {
		u.record(u.processEvent(history.Collapsed))
	}
}

// attemptEvent is an event of an attempt.
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

// processEvent is an event of the server's process.
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

// reset breaks the connection of an attempt.
func (u *upstream) reset(j job) {
	u.send(u.sim.actors[j.node], message{kind: msgReset, id: j.id, number: j.number})
}

// onAbandon drops an attempt that its balancer has given up.
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
		u.stopMachine()
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

// applyFaults makes the server behave as the faults of now have it.
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

// stopMachine takes the machine off the network. Its attempts get no answer.
func (u *upstream) stopMachine() {
	u.vanished = true
	u.abandonJobs()
}

// abandonJobs ends the server with all that it has in work.
func (u *upstream) abandonJobs() {
	u.server = nil
	u.wakeAt = math.MaxInt64
	u.record(u.processEvent(history.UpstreamStopped))
	for _, id := range slices.Sorted(maps.Keys(u.jobs)) {
		j := u.jobs[id]
		u.record(u.attemptEvent(j, history.Abandoned))
		u.unanswered = append(u.unanswered, j)
	}
	clear(u.jobs)
	clear(u.byAttempt)
}

// resetAll resets every connection.
func (u *upstream) resetAll() {
	for _, j := range u.unanswered {
		u.reset(j)
	}
	for _, node := range slices.Sorted(maps.Keys(u.connsByNode)) {
		if u.connsByNode[node] > 0 {
			u.send(u.sim.actors[node], message{kind: msgIdleClosed, index: int32(u.index)})
		}
	}
	clear(u.connsByNode)
	u.unanswered = nil
	u.conns = 0
}

// restart starts the process again. It warms up.
func (u *upstream) restart() {
	u.vanished = false
	u.resetAll()
	u.start(true)
	u.record(u.processEvent(history.UpstreamStarted))
}
