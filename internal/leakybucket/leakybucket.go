// Package leakybucket implements a leaky bucket without a capacity: the caller decides what may be added, and up to which
// level. The package reads no clock.
package leakybucket

import "time"

// Bucket is a leaky bucket. Its zero value is empty at time 0. It is not safe for concurrent use.
type Bucket struct {
	Level float64       // level at the time At, in the caller's units; never negative
	At    time.Duration // time up to which the level has leaked, on the caller's clock
}

// Leak lowers the level by what has leaked since At, at a rate in units per second, but not below 0. It sets At to now, which
// must not be before At.
func (b *Bucket) Leak(now time.Duration, rate float64) {
	b.Level = max(0, b.Level-rate*(now-b.At).Seconds())
	b.At = now
}

// Add raises the level by an amount in the caller's units.
func (b *Bucket) Add(amount float64) { b.Level += amount }
