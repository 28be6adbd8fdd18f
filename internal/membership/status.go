package membership

import "time"

// Status is what a member sees at one moment. The JSON keys are those of balancerctl members --json.
type Status struct {
	Self             Member
	View             View
	Fenced           bool          // another process is active under this one's name
	Minority         bool          // no majority of the last agreed membership is in the view
	Agreeing         int           `json:"Same"`  // members that recently reported the same view
	Diverging        int           `json:"Other"` // members that recently reported another one
	Lost             int           // processes that have failed and that this one tries to reach
	RejectedMessages int           `json:"Refused"`  // invalid metadata and messages, since the start
	TransportErrors  int           `json:"Grumbles"` // warnings and errors of memberlist, since the start
	FleetSize        FleetSize     `json:"Division"`
	ViewAge          time.Duration `json:"Age"` // since the last change of the member table
}

// Status returns what this member sees at the moment.
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
