package balancer

import "time"

// tenant meters the requests of a tenant against this balancer's part of its quota with a leaky bucket.
type tenant struct {
	rate      float64 // requests per second
	level     float64 // requests in the bucket
	updatedAt float64 // s
}

// countRequest adds a request and reports whether the tenant is over its quota.
func (t *tenant) countRequest(now time.Duration) (overQuota bool) {
	leaked := t.rate * (now.Seconds() - t.updatedAt)
	t.level = max(0, t.level-leaked) + 1
	t.updatedAt = now.Seconds()
	return t.level > max(t.rate, 1)
}
