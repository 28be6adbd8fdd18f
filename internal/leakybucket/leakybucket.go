// Package leakybucket has a leaky bucket without a limit: the caller decides who may add to it and how full it may get. It
// reads no clock.
package leakybucket

import "time"

// Bucket is a leaky bucket. Its zero value is empty at time 0. It is not safe for concurrent use.
type Bucket struct {
	Level float64       // its content at the time At, in the caller's units; at least 0
	At    time.Duration // on the caller's clock
}

// Leak removes what has leaked since At, at a rate in units per second, and sets At to now, which must not be before it. The
// level never falls below 0.
func (b *Bucket) Leak(now time.Duration, rate float64) {
	b.Level = max(0, b.Level-rate*(now-b.At).Seconds())
	b.At = now
}

// Add adds an amount, in the caller's units, to the level.
func (b *Bucket) Add(amount float64) { b.Level += amount }
