package proxy

import (
	"container/heap"
	"time"
)

// timer is a pending wake-up of the event loop. It belongs to an attempt (its time-out), to a request (its deadline),
// or, where both are nil, to the decision module, which gets its token back.
type timer struct {
	at      time.Duration // on the loop's clock
	serial  uint64        // timers that are due at the same moment fire in the order in which they were set
	token   uint64
	request *request
	attempt *attempt
}

// timerQueue is a heap of timers, the next one first. It belongs to the loop and is used on the loop's goroutine only.
// Timers are never removed before they fire: one whose request or attempt has ended by then has no effect.
type timerQueue []timer

// Len is part of heap.Interface.
func (q timerQueue) Len() int { return len(q) }

// Less is part of heap.Interface.
func (q timerQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].serial < q[j].serial
}

// Swap is part of heap.Interface.
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push is part of heap.Interface; use add.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

// Pop is part of heap.Interface; use popDue.
func (q *timerQueue) Pop() any {
	old := *q
	last := len(old) - 1
	t := old[last]
	old[last] = timer{} // or the array would refer to its request
	*q = old[:last]
	return t
}

// add queues a timer.
func (q *timerQueue) add(t timer) { heap.Push(q, t) }

// next returns when the first timer is due. ok is false where there is none.
func (q timerQueue) next() (at time.Duration, ok bool) {
	if len(q) == 0 {
		return 0, false
	}
	return q[0].at, true
}

// popDue removes and returns the first timer if it is due.
func (q *timerQueue) popDue(now time.Duration) (t timer, ok bool) {
	at, ok := q.next()
	if !ok || at > now {
		return timer{}, false
	}
	return heap.Pop(q).(timer), true
}

// setTimer queues a timer under the loop's next serial.
func (l *loop) setTimer(t timer) {
	t.serial = l.nextSerial()
	l.timers.add(t)
}

// fireTimers fires all timers that are due, then runs the periodic tasks that are.
func (l *loop) fireTimers() {
	for {
		t, ok := l.timers.popDue(l.now())
		if !ok {
			break
		}
		l.fire(t)
		l.deliverOutcomes()
	}
	now := l.now()
	l.pool.evictIdleIfDue(now)
	if l.report.isDue(now) {
		l.publish(now)
	}
}

// fire carries out one timer.
func (l *loop) fire(t timer) {
	switch {
	case t.attempt != nil:
		l.expireAttempt(t.attempt)
	case t.request != nil:
		for _, a := range t.request.attempts {
			l.expireAttempt(a)
		}
	default:
		l.balancer.OnTimer(l.now(), t.token)
	}
}
