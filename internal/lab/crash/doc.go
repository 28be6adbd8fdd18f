// Package crash tests what a balancer loads from its state folder after a power loss and after bits have flipped.
//
// It runs a sequence of saves on an emulated disk, which distinguishes what was synced from what was not. Unsynced changes
// of names may survive a power loss in any combination, and an unsynced file up to any byte. At each step of the saves the
// matrix enumerates the folders that a power loss may leave, opens a durable.Store on each, and checks what it loads.
// At the end it flips the bytes of all files in turn.
//
// Not covered: reordered writes within one file, more than one unsynced file at a time (a store writes one), and faults of
// the disk other than those that the tests inject.
//
// Everything runs on the caller's goroutine. A Disk belongs to one goroutine.
package crash
