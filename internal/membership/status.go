package membership

import "time"

// Status is the state of the membership as one member sees it. The JSON keys are part of the output of balancerctl members
// --json.
type Status struct {
	Self             Member
	View             View
	Fenced           bool          // another process of this one's name is active
	Minority         bool          // the view has no majority of the agreed membership
	Agreeing         int           `json:"Same"`  // other members that reported the same view within viewReportTTL
	Diverging        int           `json:"Other"` // other members that reported a different view within viewReportTTL
	Lost             int           // lost processes that this one still tries to reach
	RejectedMessages int           `json:"Refused"`  // rejected messages and invalid metadata since the start
	TransportErrors  int           `json:"Grumbles"` // warnings and errors of memberlist since the start
	FleetSize        FleetSize     `json:"Division"`
	ViewAge          time.Duration `json:"Age"` // time since the last change of the member table
}

// Status returns the current status.
func (n *Node) Status() Status {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	convergence := n.table.Convergence(now)
	return Status{
		Self:             n.self,
		View:             n.table.View(),
		Fenced:           n.fenced,
		Minority:         n.minority,
		Agreeing:         convergence.Agreeing,
		Diverging:        convergence.Diverging,
		Lost:             n.table.LostCount(now),
		RejectedMessages: n.rejectedMessages,
		TransportErrors:  n.transportErrors,
		FleetSize:        n.sizer.Current(now),
		ViewAge:          now - n.viewChangedAt,
	}
}
