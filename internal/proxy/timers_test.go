package proxy

import (
	"testing"
	"time"
)

// Timers fire by their time, those of one moment in the order in which they were set, and none before it is due.
func TestTimerQueueOrder(t *testing.T) {
	var queue timerQueue
	for _, pending := range []timer{
		{at: 3 * time.Second, serial: 1},
		{at: time.Second, serial: 3},
		{at: 2 * time.Second, serial: 4},
		{at: time.Second, serial: 2},
	} {
		queue.add(pending)
	}
	_, ok := queue.popDue(time.Second - 1)
	assertEqual(t, "due too early", ok, false)
	for _, serial := range []uint64{2, 3, 4} {
		fired, ok := queue.popDue(2 * time.Second)
		assertEqual(t, "due", ok, true)
		assertEqual(t, "serial", fired.serial, serial)
	}
	_, ok = queue.popDue(3*time.Second - 1)
	assertEqual(t, "the last one is due too early", ok, false)
	at, ok := queue.next()
	assertEqual(t, "one is left", ok, true)
	assertEqual(t, "its time", at, 3*time.Second)
}
