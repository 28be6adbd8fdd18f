// Package membership finds the other balancers of a fleet, so that budgets and routing can be divided among them.
//
// Failure detection and dissemination are those of hashicorp/memberlist: SWIM with suspicion, gossip over UDP and push/pull
// of the full state over TCP. This package adds what a process publishes about itself (Member), which process of a name
// is active (MemberTable, View), and what the fleet's size is taken to be while views change or differ (FleetSizer). Those
// parts do no I/O, start no goroutine and take the time from their caller. Node connects them to the network.
//
// # Guarantees
//
//   - Of all processes that share a name at most one is active, and so in the view: the confirmed one with the highest
//     incarnation. An older one is fenced.
//   - A process that was lost or has left is active again only after it has answered this one or has stayed alive for some
//     seconds, so that a replayed message revives nobody.
//   - The divisor of budgets is never below a fleet size that was seen within the last ten seconds.
//   - Input from the network is validated before use. What is invalid is counted and changes nothing.
//   - While a partition lasts each side serves on; members of a side without a majority report that.
//
// It does not guarantee that all members have the same view at one time. The lease protocol (Voter, Candidate), which does
// guarantee a single holder, is independent of views; nothing uses it yet.
//
// # Errors
//
// Start returns a KeyFileError or an InvalidMemberError for a wrong configuration, and the error of the operating system if
// the address can't be used. While a Node runs, its errors are logged and counted in Status.
//
// # Concurrency
//
// Node.mu guards the member table, the fleet sizer and the counters of a Node. It is never locked during a call of
// memberlist, which calls the delegates with locks of its own. The goroutines are:
//
//   - the tick loop: publishes this process's state, pings unconfirmed processes, logs changes, and is the only caller of
//     Options.OnFleetSize;
//   - the rejoin loop: binds the address once it is free, reloads the key file (the key ring belongs to this goroutine
//     once Start has returned) and exchanges state with missing or divergent members;
//   - memberlist's own goroutines, which call the delegates.
//
// Close stops both loops, waits for them, and then leaves the fleet.
package membership
