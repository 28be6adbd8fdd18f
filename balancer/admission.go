package balancer

import (
	"cmp"
	"math"
	"time"
)

const (
	ticksPerLatencyObjective = 16   // ticks within the shortest latency objective
	initialLatencyDivisor    = 4    // shortest latency objective / mean latency assumed before the first response
	attemptReserveLatencies  = 2.33 // mean latencies that must remain before the objective when a queued request is sent
	timeoutToleranceDivisor  = 16   // a timeout shorter than the longest one by more than this part of it marks a retry
	costHintSmoothingFactor  = 0.01 // weight of a new sample in the moving average of cost hints
	minExpectedWorkUnits     = 0.1  // lower bound of the work that a cost hint implies, in mean requests
)

// setTiming derives the tick interval and the initial mean latency from the shortest latency objective.
func (b *Balancer) setTiming(shortest time.Duration) {
	b.means.latency = float64(shortest) / initialLatencyDivisor
	b.tick = max(b.settings.EventSpacing, shortest/ticksPerLatencyObjective, time.Millisecond)
}

// OnRequest sends, queues or rejects a new client request.
func (b *Balancer) OnRequest(now time.Duration, q Request) {
	c := b.clients.classes[q.Class]
	if c == nil { // unknown class; nothing was sent, so rejecting is safe
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

// newRequest computes the expected work, priority and deadlines of q, and updates the statistics of its class and tenant.
func (b *Balancer) newRequest(q Request, c *class, now time.Duration) *request {
	r := &request{Request: q, class: c, deadline: now + q.Timeout}
	if q.Upload {
		r.deadline = math.MaxInt64 // until OnBodyReceived
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
	// The queue is processed once per tick. Without one tick of reserve, a short timeout could expire between two ticks.
	r.attemptBy = now + min(c.LatencyObjective, q.Timeout) - max(reserve, b.tick) - b.tick
	return r
}

// expectedWork returns the expected work of q in mean requests.
func (b *Balancer) expectedWork(q Request, c *class) float64 {
	if q.CostHint <= 0 {
		return cmp.Or(c.latency/b.means.latency, 1)
	}
	return max(float64(q.CostHint)/b.means.costHint, minExpectedWorkUnits)
}

// priority returns the priority weight of r per unit of its work.
func (b *Balancer) priority(r *request) float64 {
	if b.settings.PriorityByWork {
		return r.class.PriorityWeight
	}
	return r.class.PriorityWeight / r.workUnits
}

// isLateRetry reports whether q is a client retry that can no longer meet the latency objective. A retry is recognised by
// a timeout shorter than the longest one of its class.
func (c *class) isLateRetry(q Request, reserve time.Duration) bool {
	isRetry := q.Timeout < c.longestTimeout-c.longestTimeout/timeoutToleranceDivisor
	return isRetry && c.LatencyObjective-(c.Deadline-q.Timeout) < reserve
}

// isSaturated reports whether some request found no free endpoint within the last mean latency.
func (b *Balancer) isSaturated(now time.Duration) bool {
	return now-b.blocking.saturatedAt < time.Duration(b.means.latency)
}

// admit sends r if an endpoint is available, queues it if one may be available in time, or else rejects or fails it.
func (b *Balancer) admit(r *request, now time.Duration) {
	e, permitted := b.takeTurn(r, now)
	if e != nil {
		b.startAttempt(r, e, now)
		return
	}
	if permitted { // also if r can't be queued: otherwise limits would stay low while requests are rejected
		b.blocking.saturatedAt = now
	}
	if (permitted || len(r.attempts) == 0) && now < r.attemptBy {
		b.queue.add(r)
		return
	}
	b.rejectOrFail(r)
}

// dispatchQueue sends queued requests while endpoints are available, and rejects or fails those that would be late. If a
// request without attempts finds no endpoint, the requests behind it are not tried.
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

// retryAfter returns the Retry-After value of a rejection: one tick, after which the endpoints are evaluated again. With
// a longer wait most retries would miss the latency objective.
func (b *Balancer) retryAfter() time.Duration {
	if !b.settings.Limits.AllowRetryAfter {
		return 0
	}
	return min(b.tick, b.settings.Limits.MaxRetryAfter)
}
