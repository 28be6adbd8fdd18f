package model

import (
	"maps"
	"math"
	"slices"
	"time"

	"sprucehill/internal/lab/day"
	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/server"
)

// upstream is an emulated server among actors.
type upstream struct {
	*actor
	index  int
	core   *server.Server // nil: no process runs
	away   bool           // the machine has vanished
	jobs   map[server.JobID]job
	byTry  map[jobKey]server.JobID
	serial server.JobID
	conns  int
	linked map[int32]int // connections by balancer
	lost   []job         // what came for a machine that has vanished
	wakeAt time.Duration
	faults []day.Fault
}

// jobKey names an attempt.
type jobKey struct {
	node int32
	id   uint64
	n    int32
}

type job struct {
	jobKey
	try *try
}

func newUpstream(a *actor, index int) *upstream {
	u := &upstream{actor: a, index: index, jobs: map[server.JobID]job{}, byTry: map[jobKey]server.JobID{}, linked: map[int32]int{},
		wakeAt: math.MaxInt64}
	u.start(false)
	return u
}

func (u *upstream) model() day.Model { return u.sim.day.Models[u.sim.fleet.Upstreams[u.index].Model] }

func (u *upstream) start(cold bool) {
	u.core = server.New(u.model(), u.sim.day.Balancer, u.sim.day.Seed<<16+uint64(u.index), u.now, cold)
	u.core.Suffer(u.faults)
	u.rouse()
}

// rouse sees to it that the actor wakes when its core has something to do.
func (u *upstream) rouse() {
	if u.core == nil {
		return
	}
	if next := u.core.Next(); next < u.wakeAt {
		u.wakeAt = next
		u.after(next-u.now, message{kind: wake})
	}
}

func (u *upstream) handle(m message) {
	if u.core != nil {
		for _, d := range u.core.Advance(u.now) {
			u.ended(d)
		}
	}
	switch m.kind {
	case wake:
		if u.now >= u.wakeAt {
			u.wakeAt = math.MaxInt64
		}
	case syn:
		u.knocked(m)
	case attempt:
		u.asked(job{jobKey{m.from, m.id, m.n}, m.try})
	case abandon:
		u.unlink(m.from)
		u.abandoned(jobKey{m.from, m.id, m.n})
	case closed:
		u.unlink(m.from)
	case begin, end:
		u.change(u.sim.day.Faults[m.n], m.kind == begin)
	}
	u.rouse()
}

func (u *upstream) unlink(node int32) {
	if u.linked[node] > 0 {
		u.linked[node]--
		u.conns--
	}
}

// knocked takes a connection. Where as many are open as the model takes, or nobody is there, it never comes up.
func (u *upstream) knocked(m message) {
	most := u.model().Connections
	switch {
	case u.away || (most > 0 && u.conns >= most):
	case u.core == nil:
		u.send(u.sim.all[m.from], message{kind: rst, id: m.id, n: m.n})
	default:
		u.conns++
		u.linked[m.from]++
		u.core.Knock()
		u.send(u.sim.all[m.from], message{kind: synAck, id: m.id, n: m.n})
	}
}

// asked takes a request.
func (u *upstream) asked(j job) {
	switch {
	case u.away:
		u.lost = append(u.lost, j)
		return
	case u.core == nil:
		u.reset(j)
		return
	}
	a := u.sim.arrivals[j.try.arrival]
	u.serial++
	taken, fell := u.core.Arrive(u.serial, a.Work, a.Wait)
	kind := history.Turned
	if taken {
		kind = history.Arrived
		u.jobs[u.serial], u.byTry[j.jobKey] = j, u.serial
	}
	e := u.event(j, kind)
	e.First, e.Work = u.now, float32(a.Work.Seconds())
	u.note(e)
	if !taken {
		u.reply(j, statusRefused)
	}
	if fell {
		u.note(u.plain(history.Toppled))
	}
}

func (u *upstream) event(j job, kind history.Kind) history.Event {
	return history.Event{Kind: kind, Req: j.id, Arrival: j.try.arrival, Try: int8(j.try.number),
		Class: int16(u.sim.arrivals[j.try.arrival].Class), Balancer: int32(u.sim.all[j.node].party.Index), Upstream: int32(u.index), Serial: j.n}
}

func (u *upstream) plain(kind history.Kind) history.Event {
	return history.Event{Kind: kind, Upstream: int32(u.index), Balancer: history.None, Arrival: history.None}
}

// ended answers a request that has run.
func (u *upstream) ended(d server.Done) {
	j, ok := u.jobs[d.Job]
	if !ok {
		return
	}
	delete(u.jobs, d.Job)
	delete(u.byTry, j.jobKey)
	status := statusOK
	if d.Failed {
		status = statusError
	}
	e := u.event(j, history.Replied)
	e.Status = status
	u.note(e)
	u.reply(j, status)
}

func (u *upstream) reply(j job, status int16) {
	m := message{kind: reply, id: j.id, n: j.n, status: status}
	m.load, m.loaded = u.core.Load()
	u.send(u.sim.all[j.node], m)
}

// reset breaks the connection of an attempt.
func (u *upstream) reset(j job) { u.send(u.sim.all[j.node], message{kind: rst, id: j.id, n: j.n}) }

// abandoned drops a request whose balancer has given up.
func (u *upstream) abandoned(k jobKey) {
	id, ok := u.byTry[k]
	if !ok {
		return
	}
	u.note(u.event(u.jobs[id], history.Abandoned))
	delete(u.jobs, id)
	delete(u.byTry, k)
	if u.core != nil {
		u.core.Cancel(id)
	}
}

// change begins or ends a fault.
func (u *upstream) change(fault day.Fault, on bool) {
	if on {
		u.faults = append(u.faults, fault)
	} else {
		i := slices.IndexFunc(u.faults, func(f day.Fault) bool { return f.Kind == fault.Kind && f.At == fault.At })
		u.faults = slices.Delete(u.faults, i, i+1)
	}
	if u.core != nil {
		u.core.Suffer(u.faults)
	}
	switch {
	case fault.Kind != "down" && fault.Kind != "vanish":
	case on:
		u.die(fault.Kind == "vanish")
	default:
		u.revive()
	}
}

// die ends the process. What is out is reset, or stays silent where the machine has vanished.
func (u *upstream) die(silent bool) {
	u.core, u.away, u.wakeAt = nil, silent, math.MaxInt64
	u.note(u.plain(history.Died))
	for _, id := range slices.Sorted(maps.Keys(u.jobs)) {
		j := u.jobs[id]
		u.note(u.event(j, history.Abandoned))
		u.lost = append(u.lost, j)
	}
	clear(u.jobs)
	clear(u.byTry)
	if !silent {
		u.disown()
	}
}

// disown resets every connection.
func (u *upstream) disown() {
	for _, j := range u.lost {
		u.reset(j)
	}
	for _, node := range slices.Sorted(maps.Keys(u.linked)) {
		if u.linked[node] > 0 {
			u.send(u.sim.all[node], message{kind: hangup, n: int32(u.index)})
		}
	}
	clear(u.linked)
	u.lost, u.conns = nil, 0
}

// revive starts the process anew, cold.
func (u *upstream) revive() {
	u.away = false
	u.disown()
	u.start(true)
	u.note(u.plain(history.Began))
}
