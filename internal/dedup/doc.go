// Package dedup remembers which requests may have been executed, so that none is executed again when its ID comes again: on
// another connection, after its client has disconnected, or at the other process of an upgrade.
//
// A Table belongs to one process and holds the newest IDs, a fixed number of them. When it is full, an old ID makes room for
// a new one: a request whose ID comes again after so many others may be executed again. IDs are stored as hashes.
//
// During an upgrade two processes serve the same clients. They share a File in the temporary folder, in which each process
// writes a region of its own, and reads those of the others. A process registers an ID in its own region before it looks for
// it in the others. So of two processes that register one ID at the same moment at most one succeeds; it may be neither.
//
// The last process that ends removes the file. If processes are killed, it stays: one that starts later on the same folder knows the
// requests that they had in flight.
package dedup
