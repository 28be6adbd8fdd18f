package measure

import "time"

// The lab's own lateness beyond which a day does not count.
const (
	maxLateP99 = 20 * time.Millisecond
	maxLate    = 500 * time.Millisecond
)

// Lab is what a live day cost, and how late the lab itself was.
type Lab struct {
	LateP50, LateP99, LateMax float64 // ms
	LabCores, NodeCores       float64 // cores used by the lab, and by all balancers together
	Crossed                   int     // requests sent once more because their connection had just been closed
	Void                      string  // why the day does not count; empty: it does
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
		LateP50:   lateness.P50,
		LateP99:   lateness.P99,
		LateMax:   lateness.Max,
		LabCores:  lab.Seconds() / seconds,
		NodeCores: nodes.Seconds() / seconds,
		Crossed:   crossed,
	}
	switch {
	case lateness.P99 > milliseconds(maxLateP99.Microseconds()):
		figures.Void = "the lab was late: one arrival in a hundred was begun more than 20 ms after its time"
	case lateness.Max > milliseconds(maxLate.Microseconds()):
		figures.Void = "the lab was late: an arrival was begun more than 500 ms after its time"
	}
	return figures
}
