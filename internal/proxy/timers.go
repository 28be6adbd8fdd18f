package proxy

import (
	"container/heap"
	"time"
)

// timer is a pending timer of the event loop. It is the timeout of an attempt, the deadline of a request or, if both are
// nil, a timer of the decision module, which gets the token back.
type timer struct {
	at      time.Duration // on the loop's clock
	serial  uint64        // orders timers that are due at the same time by when they were set
	token   uint64
	request *requestTimer
	attempt *attemptTimer
}

// requestTimer refers to the request of a timer until the request has ended, so that the timer, which stays in the queue until it is
// due, does not keep the request in memory.
type requestTimer struct{ request *request }

// attemptTimer does the same for an attempt.
type attemptTimer struct{ attempt *attempt }

// timerQueue is a heap of timers ordered by due time. It is owned by the loop and used on the loop's goroutine only. Timers
// are never removed before they fire; a timer whose request or attempt has ended by then has no effect and refers to nothing.
type timerQueue []timer

// Len implements heap.Interface.
func (q timerQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q timerQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].serial < q[j].serial
}

// Swap implements heap.Interface.
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface; use add instead.
func (q *timerQueue) Push(x any) { *q = append(*q, x.(timer)) }

// Pop implements heap.Interface; use popDue instead.
func (q *timerQueue) Pop() any {
	old := *q
	last := len(old) - 1
	t := old[last]
	old[last] = timer{} // otherwise the array would keep its request in memory
	*q = old[:last]
	return t
}

// add queues a timer.
func (q *timerQueue) add(t timer) { heap.Push(q, t) }

// next returns when the first timer is due. ok is false if the queue is empty.
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

// setTimer queues a timer and assigns it the next serial.
func (l *loop) setTimer(t timer) {
	t.serial = l.nextSerial()
	l.timers.add(t)
}

// setDeadlineTimer queues the timer for the deadline of a request.
func (l *loop) setDeadlineTimer(r *request) {
	r.timer = &requestTimer{r}
	l.setTimer(timer{at: r.deadline, request: r.timer})
}

// fireTimers fires all timers that are due, then runs the periodic tasks that are due.
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

// expireRequest ends the attempts of a request at its deadline. One with a long response that has begun goes on: the response is
// forwarded.
func (l *loop) expireRequest(r *request) {
	for _, a := range r.attempts {
		if a.respondsUntil() != noDeadline {
			l.timeOut(a)
		}
	}
}

// fire performs the action of a timer.
func (l *loop) fire(t timer) {
	switch {
	case t.attempt != nil:
		if t.attempt.attempt != nil {
			l.expireAttempt(t.attempt.attempt)
		}
	case t.request != nil:
		if t.request.request != nil {
			l.expireRequest(t.request.request)
		}
	default:
		l.balancer.OnTimer(l.now(), t.token)
	}
}
