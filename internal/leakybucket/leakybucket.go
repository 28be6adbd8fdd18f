// Package leakybucket counts what flows into a bucket that leaks at a rate. Who may add to it, and how full it may get, is the
// owner's to decide. It reads no clock.
package leakybucket

import "time"

// Bucket is a leaky bucket. Its zero value is empty at time 0. It isn't safe for use by several goroutines at once.
type Bucket struct {
	Level float64       // what it holds, in the owner's units
	At    time.Duration // the time at which it held that
}

// Leak lets out what has leaked since At, at a rate in units a second. The bucket is never less than empty.
func (b *Bucket) Leak(now time.Duration, rate float64) {
	b.Level = max(0, b.Level-rate*(now-b.At).Seconds())
	b.At = now
}

// Add puts an amount in.
func (b *Bucket) Add(amount float64) { b.Level += amount }
