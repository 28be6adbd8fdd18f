package balancer

import "time"

// tenant counts one customer's requests against this balancer's part of its quota, as a leaky bucket.
type tenant struct {
	rate      float64 // requests a second
	level     float64 // requests not yet leaked
	updatedAt float64 // s
}

// countRequest counts a request and reports whether its tenant is over its quota.
func (t *tenant) countRequest(now time.Duration) (overQuota bool) {
	leaked := t.rate * (now.Seconds() - t.updatedAt)
	t.level = max(0, t.level-leaked) + 1
	t.updatedAt = now.Seconds()
	return t.level > max(t.rate, 1)
}
