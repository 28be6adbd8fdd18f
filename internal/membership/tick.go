package membership

import (
	"math/rand/v2"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// tickInterval is the mean time between two ticks.
	tickInterval = 100 * time.Millisecond
	// maxPingsPerTick is the maximum number of pings to unconfirmed processes per tick.
	maxPingsPerTick = 16
)

// tick publishes this process's state, confirms processes that are alive again, logs changes and delivers the fleet size.
func (n *Node) tick() {
	state := n.options.CurrentState()
	list, unconfirmed, stateChanged := n.updateOwnState(state)
	if list == nil {
		return
	}
	if stateChanged {
		_ = list.UpdateNode(broadcastTimeout) // after a timeout memberlist still gossips the update
	}
	answered := pingRandom(list, unconfirmed)
	size := n.updateMembership(answered)
	n.deliverFleetSize(size)
}

// updateOwnState records this process's state in the member table. It returns the memberlist, which is nil if the node hasn't
// joined, the unconfirmed members, and whether the state has changed.
func (n *Node) updateOwnState(state State) (list *memberlist.Memberlist, unconfirmed []Member, changed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	unconfirmed = n.table.Unconfirmed()
	changed = n.self.State != state
	n.self.State = state
	n.table.ObserveAlive(n.now(), n.self)
	return n.list, unconfirmed, changed
}

// pingRandom pings at most maxPingsPerTick of the members, in random order, and returns those that answered.
func pingRandom(list *memberlist.Memberlist, members []Member) []Member {
	var answered []Member
	for _, i := range rand.Perm(len(members))[:min(len(members), maxPingsPerTick)] {
		m := members[i]
		address, err := net.ResolveUDPAddr("udp", m.Address)
		if err != nil {
			continue
		}
		if _, err := list.Ping(m.ProcessID().nodeName(), address); err == nil {
			answered = append(answered, m)
		}
	}
	return answered
}

// updateMembership confirms the members that answered, updates the member table and the status derived from it, logs the
// changes, and returns the fleet size.
func (n *Node) updateMembership(answered []Member) FleetSize {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	for _, m := range answered {
		n.table.ConfirmAlive(m.ProcessID())
	}
	n.table.Tick(now)
	changes := n.table.TakeChanges()
	for _, c := range changes {
		n.logChange(c)
	}
	n.updateFenced()
	n.updateMinority(now)
	if len(changes) > 0 {
		n.viewChangedAt = now
		n.observePlacement(now)
	}
	return n.sizer.Current(now)
}

// logChange logs a change. The caller holds n.mu.
func (n *Node) logChange(c Change) {
	keys := []any{
		"member", c.Member.Name,
		"incarnation", c.Member.Incarnation,
		"state", c.Member.State.String(),
	}
	switch c.Kind {
	case Joined:
		n.options.Log("member joined", keys...)
	case Returned:
		n.options.Log("member returned", keys...)
	case Updated:
		n.options.Log("member updated", append(keys, "previous_state", c.PreviousState.String())...)
	case Lost:
		n.options.Log("member lost", keys...)
	case Left:
		n.options.Log("member left", keys...)
	case ReplacedBySuccessor:
		n.options.Log("member replaced by successor", keys...)
	case ReplacedByDuplicate:
		n.options.Log("member replaced by duplicate", keys...)
	}
}

// updateFenced updates whether another process of this one's name is active, and logs a change of that. The caller holds
// n.mu.
func (n *Node) updateFenced() {
	active, fenced := n.table.Fenced()
	if fenced == n.fenced {
		return
	}
	n.fenced = fenced
	keys := []any{
		"incarnation", n.self.Incarnation,
		"active_incarnation", active.Incarnation,
		"active_address", active.Address,
	}
	switch {
	case !fenced:
		n.options.Log("process no longer fenced", keys...)
	case active.Successor:
		n.options.Log("process fenced by successor", keys...)
	default:
		n.options.Log("process fenced by duplicate", keys...)
	}
}

// updateMinority updates whether the view lacks a majority of the agreed members, and logs a change of that. The caller holds
// n.mu.
func (n *Node) updateMinority(now time.Duration) {
	quorum := n.table.UpdateAgreedMembers(now)
	minority := !quorum.HasMajority()
	if minority == n.minority {
		return
	}
	n.minority = minority
	keys := []any{"present", quorum.Present, "agreed", quorum.Agreed}
	if minority {
		n.options.Log("no membership majority", keys...)
	} else {
		n.options.Log("membership majority regained", keys...)
	}
}

// observePlacement passes this process's placement in the view to the fleet sizer. If the process is alone in its view, the
// configured or last size remains in use. The caller holds n.mu.
func (n *Node) observePlacement(now time.Duration) {
	view := n.table.View()
	if len(view.Members) > 1 {
		n.sizer.Observe(now, view.Placement(n.self.Name))
	}
}

// deliverFleetSize calls OnFleetSize if the fleet size differs from the last one that it accepted.
func (n *Node) deliverFleetSize(size FleetSize) {
	n.mu.Lock()
	delivered := n.deliveredSize
	incarnation := n.self.Incarnation
	n.mu.Unlock()
	if size == delivered {
		return
	}
	if err := n.options.OnFleetSize(incarnation, size); err != nil {
		return // retried by the next tick
	}
	n.mu.Lock()
	n.deliveredSize = size
	n.mu.Unlock()
}
