// Package savedstate saves what a balancer needs again after its process has ended, and restores it at the next start: the
// list of upstreams, a snapshot of what the decision module knows, and the operators' orders.
//
// Each of the three is a record of its own kind (Kinds) in JSON, whose form another version of the program has to read. A
// Writer, in the program a durable.Writer, puts the records on the disk. Lists and snapshots are saved some time later, and
// nobody waits for them. An order is saved before its operator has the answer.
//
// A saved list is used in place of the configuration's if it is newer and of the same discovery service, or if the
// configuration has none. A record that can't be decoded is logged and ignored.
//
// A Saver belongs to the goroutine of the event loop of package proxy, but for the operators' orders, which have a lock.
package savedstate
