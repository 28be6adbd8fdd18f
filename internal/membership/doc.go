// Package membership finds the other balancers of a fleet, so that budgets and routing can be divided among them.
//
// The package hashicorp/memberlist provides failure detection and dissemination: SWIM with suspicion, gossip over UDP and
// push/pull of the full state over TCP. This package adds the metadata that a process publishes (Member), the selection of
// the active process of each name (MemberTable, View), and the fleet size to use while views change or differ (FleetSizer).
// These parts do no I/O, start no goroutines and get the time from their caller. Node connects them to the network.
//
// # Guarantees
//
//   - Of all processes that share a name at most one is active, and so in the view: the confirmed one with the highest
//     incarnation. Older ones are fenced.
//   - A process that was lost or has left is active again only after it has answered this one or has stayed alive for
//     confirmAfter, so that a replayed message doesn't make a dead process active.
//   - The divisor of budgets is never below a fleet size that was seen within the last ten seconds.
//   - Input from the network is validated before use. Invalid input is counted and otherwise ignored.
//   - During a partition each side continues to serve. The members of a side without a majority report that.
//
// It is not guaranteed that all members have the same view at the same time. The lease protocol (Voter, Candidate), which
// guarantees a single holder, is independent of views; the balancer doesn't use it yet.
//
// # Errors
//
// Start returns a KeyFileError or an InvalidMemberError for an invalid configuration, and wraps the error of the operating
// system if the address can't be bound. The errors of a running Node are logged. Status counts rejected messages and the
// errors of memberlist.
//
// # Concurrency
//
// Node.mu guards the member table, the fleet sizer and the counters of a Node. It is never held during a call to memberlist,
// because memberlist holds locks of its own when it calls the delegates, which lock Node.mu. The goroutines are:
//
//   - the tick loop: publishes this process's state, pings unconfirmed processes, logs changes, and is the only caller of
//     Options.OnFleetSize;
//   - the rejoin loop: binds the address once it is free, reloads the key file (only this goroutine accesses the keyring
//     after Start has returned) and exchanges state with missing or divergent members;
//   - memberlist's own goroutines, which call the delegates.
//
// Close stops both loops, waits for them to return, and then leaves the fleet.
package membership
