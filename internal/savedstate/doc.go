// Package savedstate saves what a balancer needs after a restart, and restores it at the next start: the endpoint list, a
// snapshot of the decision module, and the operators' orders.
//
// Each of the three is a record of its own kind (Kinds). Its JSON format has to stay compatible, because other versions of
// the program read it. A Writer, in the program a durable.Writer, writes the records to disk. Lists and snapshots are saved
// asynchronously. An order is saved before the operator gets a response.
//
// A saved list replaces the configured one if it is newer and from the same discovery service, or if no list is
// configured. A record that can't be decoded is logged and ignored.
//
// A Saver runs on the goroutine of the event loop of package proxy, except for the operators' orders, which have a lock.
package savedstate
