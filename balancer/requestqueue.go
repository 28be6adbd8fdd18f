package balancer

import (
	"cmp"
	"slices"
)

// requestQueue holds the requests that wait for an endpoint: the highest priority first, of equals the newest.
type requestQueue []*request

// add puts r into the queue.
func (q *requestQueue) add(r *request) {
	r.queued = true
	*q = slices.Insert(*q, 0, r)
	slices.SortStableFunc(*q, func(x, y *request) int { return cmp.Compare(y.priority, x.priority) })
}
