package measure

import (
	"time"

	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/scenario"
)

// Window is the metrics of a short, fixed interval of the run. A request counts in the window in which it arrived, an attempt
// in the one in which it reached an upstream.
type Window struct {
	StartSeconds       float64           `json:"At"`
	Requests           int               `json:"Asked"`
	Outcomes           [outcomeCount]int `json:"Ends"`  // requests by Outcome
	ServedRatio        float64           `json:"Share"` // as Part.ServedRatio; -1 without requests
	Attempts           int
	CrossZone          int     // attempts to another zone
	CrossRegion        int     // attempts to another region
	P50Milliseconds    float64 `json:"P50"`      // latency of the requests that were served
	P99Milliseconds    float64 `json:"P99"`      // likewise
	AttemptsByUpstream []int   `json:"Upstream"` // by index
	AttemptsByZone     [][]int `json:"Zones"`    // by the balancer's and the upstream's zone
	weight             weightTally
	latency            *histogram // nil once the percentiles are computed
}

func newWindow(at time.Duration, f *scenario.Fleet) Window {
	w := Window{
		StartSeconds:       at.Seconds(),
		AttemptsByUpstream: make([]int, len(f.Upstreams)),
		AttemptsByZone:     make([][]int, len(f.Zones)),
		latency:            newHistogram(),
	}
	for z := range w.AttemptsByZone {
		w.AttemptsByZone[z] = make([]int, len(f.Zones))
	}
	return w
}

// newSeries computes the windows of a run.
func newSeries(sc *scenario.Scenario, f *scenario.Fleet, arrivals []scenario.Arrival, requests []Request, events []history.Event) []Window {
	width := sc.Window.D()
	windows := make([]Window, int((sc.Length.D()+width-1)/width))
	for i := range windows {
		windows[i] = newWindow(time.Duration(i)*width, f)
	}
	windowAt := func(t time.Duration) *Window { return &windows[min(int(t/width), len(windows)-1)] }
	for i, r := range requests {
		windowAt(arrivals[i].At).addRequest(r)
	}
	for _, e := range events {
		if e.Kind == history.Arrived || e.Kind == history.Rejected {
			windowAt(e.At).addAttempt(f, e)
		}
	}
	for i := range windows {
		windows[i].finish()
	}
	return windows
}

func (w *Window) addRequest(r Request) {
	w.Requests++
	w.Outcomes[r.Outcome]++
	w.weight.add(r)
	if r.Outcome <= ServedLate {
		w.latency.record(r.Latency)
	}
}

func (w *Window) addAttempt(f *scenario.Fleet, e history.Event) {
	from := f.Balancers[e.Balancer].Zone
	to := f.Upstreams[e.Upstream].Zone
	w.Attempts++
	w.AttemptsByUpstream[e.Upstream]++
	w.AttemptsByZone[from][to]++
	if from != to {
		w.CrossZone++
	}
	if f.Zones[from].Region != f.Zones[to].Region {
		w.CrossRegion++
	}
}

// finish computes the metrics that need all requests of the window.
func (w *Window) finish() {
	w.ServedRatio = -1
	if w.weight.offered > 0 {
		w.ServedRatio = w.weight.servedRatio()
	}
	w.P50Milliseconds = w.latency.percentile(50)
	w.P99Milliseconds = w.latency.percentile(99)
	w.latency = nil
}

// servedRatioOf returns the served ratio over all requests of some windows.
func servedRatioOf(windows []Window) float64 {
	var sum weightTally
	for _, w := range windows {
		sum.merge(w.weight)
	}
	return sum.servedRatio()
}
