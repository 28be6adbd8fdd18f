package measure

import "time"

// A live day is void if the lab itself began arrivals later than this.
const (
	maxLateP99 = 20 * time.Millisecond
	maxLate    = 500 * time.Millisecond
)

// Lab is what a live day cost, and how late the lab itself was.
type Lab struct {
	LateP50Milliseconds float64 `json:"LateP50"`
	LateP99Milliseconds float64 `json:"LateP99"`
	LateMaxMilliseconds float64 `json:"LateMax"`
	LabCores            float64 // cores used by the lab, on average
	BalancerCores       float64 `json:"NodeCores"` // cores used by all balancers together, on average
	// RetriesOnClosed is how many requests were sent once more because their connection had just been closed.
	RetriesOnClosed int    `json:"Crossed"`
	VoidReason      string `json:"Void"` // empty: the day counts
}

// LabOf computes the figures of the lab itself on a live day: how late each arrival was begun, the day's length, the
// processor time of the lab and of all balancers, and how many requests met a connection that had just been closed.
func LabOf(late []time.Duration, seconds float64, lab, nodes time.Duration, crossed int) *Lab {
	h := newHistogram()
	for _, l := range late {
		h.record(max(l, time.Microsecond))
	}
	lateness := h.latency()
	figures := &Lab{
		LateP50Milliseconds: lateness.P50,
		LateP99Milliseconds: lateness.P99,
		LateMaxMilliseconds: lateness.Max,
		LabCores:            lab.Seconds() / seconds,
		BalancerCores:       nodes.Seconds() / seconds,
		RetriesOnClosed:     crossed,
	}
	switch {
	case lateness.P99 > milliseconds(maxLateP99.Microseconds()):
		figures.VoidReason = "the lab was late: one arrival in a hundred was begun more than 20 ms after its time"
	case lateness.Max > milliseconds(maxLate.Microseconds()):
		figures.VoidReason = "the lab was late: an arrival was begun more than 500 ms after its time"
	}
	return figures
}
