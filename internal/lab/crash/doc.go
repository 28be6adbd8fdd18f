// Package crash tests which records a balancer loads from its state folder after a power loss and after bit flips.
//
// It runs a sequence of saves on an emulated disk that distinguishes synced from unsynced data. After a power loss any
// combination of the unsynced changes of directory entries may survive, and any prefix of an unsynced file. At each step of
// the saves the package enumerates the folders that a power loss may leave, opens a durable.Store on each, and checks which
// records it loads. After the last save it flips bits in each byte of each file in turn.
//
// Not covered: reordered writes within one file, more than one unsynced file at a time (a store writes one file at a time),
// and disk faults other than those that the tests inject.
//
// Everything runs on the caller's goroutine. A Disk must be used from one goroutine only.
package crash
