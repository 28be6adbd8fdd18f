package measure

import "time"

// Limits on how late the lab itself may start requests. Beyond them a live run is void.
const (
	maxLateP99 = 20 * time.Millisecond
	maxLate    = 500 * time.Millisecond
)

// Lab is the processor use of a live run, and how late the lab itself sent requests.
type Lab struct {
	LateP50Milliseconds float64 `json:"LateP50"`
	LateP99Milliseconds float64 `json:"LateP99"`
	LateMaxMilliseconds float64 `json:"LateMax"`
	LabCores            float64 // cores used by the lab, on average
	BalancerCores       float64 `json:"NodeCores"` // cores used by all balancers together, on average
	// RetriesOnClosed is how many requests were sent again because their connection had just been closed.
	RetriesOnClosed int    `json:"Crossed"`
	VoidReason      string `json:"Void"` // empty if the run is valid
}

// NewLab computes the figures of the lab itself on a live run, from how late each request was started, the length of the run,
// the processor time of the lab and of all balancers, and how many requests met a connection that had just been closed.
func NewLab(lateness []time.Duration, runSeconds float64, labCPU, balancerCPU time.Duration, retriesOnClosed int) *Lab {
	h := newHistogram()
	for _, l := range lateness {
		h.record(max(l, time.Microsecond))
	}
	latency := h.latency()
	figures := &Lab{
		LateP50Milliseconds: latency.P50,
		LateP99Milliseconds: latency.P99,
		LateMaxMilliseconds: latency.Max,
		LabCores:            labCPU.Seconds() / runSeconds,
		BalancerCores:       balancerCPU.Seconds() / runSeconds,
		RetriesOnClosed:     retriesOnClosed,
	}
	switch {
	case latency.P99 > milliseconds(maxLateP99.Microseconds()):
		figures.VoidReason = "the lab was late: at least 1% of requests were started more than 20 ms after their time"
	case latency.Max > milliseconds(maxLate.Microseconds()):
		figures.VoidReason = "the lab was late: a request was started more than 500 ms after its time"
	}
	return figures
}
