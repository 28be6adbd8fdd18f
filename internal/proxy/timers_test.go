package proxy

import (
	"testing"
	"time"
)

// Timers fire in the order of their due times, those due at the same time in the order in which they were set, and none
// fires early.
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
	assertEqual(t, "due before its time", ok, false)
	for _, serial := range []uint64{2, 3, 4} {
		fired, ok := queue.popDue(2 * time.Second)
		assertEqual(t, "due", ok, true)
		assertEqual(t, "serial", fired.serial, serial)
	}
	_, ok = queue.popDue(3*time.Second - 1)
	assertEqual(t, "last timer due before its time", ok, false)
	at, ok := queue.next()
	assertEqual(t, "one timer left", ok, true)
	assertEqual(t, "its time", at, 3*time.Second)
}
