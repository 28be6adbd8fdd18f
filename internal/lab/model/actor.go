package model

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"time"

	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/scenario"
)

// messageSize is the size of every message in bytes, with its headers. It matters on links with a limited rate.
const messageSize = 400

// handler handles the messages of an actor.
type handler interface{ handle(m message) }

// actor is a party with its message queue. During a step, only the worker that handles the actor accesses it.
type actor struct {
	sim       *sim
	id        int32 // index in sim.actors
	party     scenario.Party
	rng       *rand.Rand
	handler   handler
	now       time.Duration
	queue     messageQueue
	seq       uint64
	outbox    []message        // sent to other actors in this step
	blocked   []blockedMessage // sent while their link was cut
	events    []history.Event
	heapIndex int // in sim.queue; -1: not in it
}

// blockedMessage is a message that waits until its link is no longer cut.
type blockedMessage struct {
	to      *actor
	message message
}

// nextSeq returns the number of the next message that the actor sends.
func (a *actor) nextSeq() uint64 {
	a.seq++
	return a.seq
}

// handleUntil handles the messages that are due before a time.
func (a *actor) handleUntil(until time.Duration) {
	for len(a.queue) > 0 && a.queue[0].at < until {
		m := heap.Pop(&a.queue).(message)
		a.now = m.at
		a.handler.handle(m)
	}
}

// send sends a message to another actor. If the link is cut, the message waits until it no longer is.
func (a *actor) send(to *actor, m message) {
	conditions := a.sim.paths.Condition(a.party, to.party)
	if conditions.Cut {
		a.blocked = append(a.blocked, blockedMessage{to, m})
		return
	}
	delay := conditions.TransferTime(messageSize, a.rng.Float64)
	m.at = a.now + max(delay, a.sim.minDelay)
	m.from = a.id
	m.to = to.id
	m.seq = a.nextSeq()
	a.outbox = append(a.outbox, m)
}

// after schedules a message to the actor itself. It bypasses the outbox, since it may be due within the same step.
func (a *actor) after(d time.Duration, m message) {
	m.at = a.now + max(d, 0)
	m.from = a.id
	m.to = a.id
	m.seq = a.nextSeq()
	heap.Push(&a.queue, m)
}

// record adds an event to the history, with the current time.
func (a *actor) record(e history.Event) {
	e.At = a.now
	a.events = append(a.events, e)
}

// actorQueue is a priority queue of the actors that have messages, ordered by the time of the earliest message.
type actorQueue []*actor

func (q actorQueue) Len() int { return len(q) }
func (q actorQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].queue[0].at, q[j].queue[0].at), cmp.Compare(q[i].id, q[j].id)) < 0
}
func (q actorQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex = i
	q[j].heapIndex = j
}

// Push implements heap.Interface.
func (q *actorQueue) Push(x any) {
	a := x.(*actor)
	a.heapIndex = len(*q)
	*q = append(*q, a)
}

// Pop implements heap.Interface.
func (q *actorQueue) Pop() any {
	last := len(*q) - 1
	a := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	a.heapIndex = -1
	return a
}
