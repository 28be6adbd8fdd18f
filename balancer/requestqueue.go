package balancer

import (
	"cmp"
	"slices"
)

// requestQueue holds the requests that wait for an endpoint, by descending priority. Among requests of equal priority the
// newest is first.
type requestQueue []*request

// add inserts r by its priority.
func (q *requestQueue) add(r *request) {
	r.queued = true
	*q = slices.Insert(*q, 0, r)
	slices.SortStableFunc(*q, func(x, y *request) int { return cmp.Compare(y.priority, x.priority) })
}
