package balancer

import (
	"cmp"
	"math"
	"time"
)

const (
	ticksPerLatencyObjective = 16   // ticks within the shortest latency objective
	initialLatencyDivisor    = 4    // of the shortest latency objective: the mean latency assumed before any response
	attemptReserveLatencies  = 2.33 // mean latencies left until the objective when a queued request is sent at the latest
	timeoutToleranceDivisor  = 16   // of the longest timeout: one that is shorter by more than this part marks a retry
	costHintSmoothingFactor  = 0.01 // weight ratio of a new sample in the running mean of cost hints
	minExpectedWorkUnits     = 0.1  // mean requests that a cost hint counts as at least
)

// setTiming derives the tick, and the latency assumed before any response, from the shortest latency objective.
func (b *Balancer) setTiming(shortest time.Duration) {
	b.means.latency = float64(shortest) / initialLatencyDivisor
	b.tick = max(b.settings.EventSpacing, shortest/ticksPerLatencyObjective, time.Millisecond)
}

// OnRequest handles a new request of a client.
func (b *Balancer) OnRequest(now time.Duration, q Request) {
	c := b.clients.classes[q.Class]
	if c == nil { // a class that the settings lack; never sent, so a retry is harmless
		b.effects.Reject(q.ID, 0)
		return
	}
	r := b.newRequest(q, c, now)
	b.requests[r.ID] = r
	if r.priority == 0 && b.isSaturated(now) {
		b.rejectOrFail(r)
		return
	}
	b.admit(r, now)
}

// newRequest derives the work, priority and times of a request, and counts it for its class and tenant.
func (b *Balancer) newRequest(q Request, c *class, now time.Duration) *request {
	r := &request{Request: q, class: c, deadline: now + q.Timeout}
	if q.Upload {
		r.deadline = math.MaxInt64 // until its body has been sent
	}
	b.observeCostHint(q)
	r.workUnits = b.expectedWork(q, c)
	r.priority = b.priority(r)
	t := b.clients.tenants[r.Tenant]
	if t != nil && t.countRequest(now) {
		r.priority *= b.settings.OverQuotaFactor
	}
	c.longestTimeout = max(c.longestTimeout, q.Timeout)
	reserve := time.Duration((attemptReserveLatencies - c.LatePriorityFactor) * cmp.Or(c.latency, b.means.latency))
	if c.isLateRetry(q, reserve) {
		r.priority *= c.LatePriorityFactor
	}
	// The queue is processed once a tick: without a tick in reserve a short timeout would expire unnoticed.
	r.attemptBy = now + min(c.LatencyObjective, q.Timeout) - max(reserve, b.tick) - b.tick
	return r
}

// expectedWork is the work of a request, in mean requests.
func (b *Balancer) expectedWork(q Request, c *class) float64 {
	if q.CostHint <= 0 {
		return cmp.Or(c.latency/b.means.latency, 1)
	}
	return max(float64(q.CostHint)/b.means.costHint, minExpectedWorkUnits)
}

// priority is the value of a response to r, for each unit of its work.
func (b *Balancer) priority(r *request) float64 {
	if b.settings.PriorityByWork {
		return r.class.PriorityWeight
	}
	return r.class.PriorityWeight / r.workUnits
}

// isLateRetry reports whether a request is a client's retry that can no longer meet the latency objective. A retry is
// recognised by its short timeout.
func (c *class) isLateRetry(q Request, reserve time.Duration) bool {
	isRetry := q.Timeout < c.longestTimeout-c.longestTimeout/timeoutToleranceDivisor
	return isRetry && c.LatencyObjective-(c.Deadline-q.Timeout) < reserve
}

// isSaturated reports whether, within the last mean latency, there was a request that no endpoint could take.
func (b *Balancer) isSaturated(now time.Duration) bool {
	return now-b.blocking.saturatedAt < time.Duration(b.means.latency)
}

// admit sends r if an endpoint can take it, queues it if one may be free in time, and otherwise answers it.
func (b *Balancer) admit(r *request, now time.Duration) {
	e, permitted := b.takeTurn(r, now)
	if e != nil {
		b.startAttempt(r, e, now)
		return
	}
	if permitted { // also if it can't be queued: otherwise limits would stay low while requests are rejected
		b.blocking.saturatedAt = now
	}
	if (permitted || len(r.attempts) == 0) && now < r.attemptBy {
		b.queue.add(r)
		return
	}
	b.rejectOrFail(r)
}

// dispatchQueue sends queued requests while endpoints can take them, and answers those that would be late. A request
// without attempts that fits nowhere shows that none behind it fits.
func (b *Balancer) dispatchQueue(now time.Duration) {
	remaining := b.queue[:0]
	blocked := false
	for _, r := range b.queue {
		if !r.finished && now >= r.attemptBy {
			b.log.add(now, RequestsShed{QueueLength: len(b.queue)})
			b.rejectOrFail(r)
		} else if !r.finished && !blocked {
			e, _ := b.takeTurn(r, now)
			if e != nil {
				b.startAttempt(r, e, now)
				continue
			}
			blocked = len(r.attempts) == 0
		}
		if !r.finished {
			remaining = append(remaining, r)
		}
	}
	clear(b.queue[len(remaining):])
	b.queue = remaining
}

// retryAfter is the wait that a rejected client is advised: a tick, after which endpoints are looked at again. A longer
// one would take the latency objective of most who follow it.
func (b *Balancer) retryAfter() time.Duration {
	if !b.settings.Limits.AllowRetryAfter {
		return 0
	}
	return min(b.tick, b.settings.Limits.MaxRetryAfter)
}
