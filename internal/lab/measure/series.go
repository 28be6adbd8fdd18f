package measure

import (
	"time"

	"sprucehill/internal/lab/day"
	"sprucehill/internal/lab/history"
)

// Window is a short stretch of the day. Requests count in the window in which they came, attempts in that in which
// they arrived at an upstream.
type Window struct {
	At                               float64       // seconds, its begin
	Asked                            int           // requests that came in it
	Ends                             [endCount]int // how they ended
	Share                            float64       // of the worth that came in it, served in time; -1: none came
	Attempts, CrossZone, CrossRegion int
	P50, P99                         float64 // ms, of what came in it and was served
	Upstream                         []int   // attempts by upstream
	Zones                            [][]int // attempts from zone to zone
	worth                            tally
	latency                          *histogram // nil once P50 and P99 are set
}

func newWindow(at time.Duration, f *day.Fleet) Window {
	w := Window{
		At:       at.Seconds(),
		Upstream: make([]int, len(f.Upstreams)),
		Zones:    make([][]int, len(f.Zones)),
		latency:  newHistogram(),
	}
	for z := range w.Zones {
		w.Zones[z] = make([]int, len(f.Zones))
	}
	return w
}

// newSeries computes the windows of a day.
func newSeries(d *day.Day, f *day.Fleet, arrivals []day.Arrival, requests []Request, events []history.Event) []Window {
	width := d.Window.D()
	windows := make([]Window, int((d.Length.D()+width-1)/width))
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
	w.Asked++
	w.Ends[r.End]++
	w.worth.add(r)
	if r.End <= Late {
		w.latency.record(r.Latency)
	}
}

func (w *Window) addAttempt(f *day.Fleet, e history.Event) {
	from := f.Balancers[e.Balancer].Zone
	to := f.Upstreams[e.Upstream].Zone
	w.Attempts++
	w.Upstream[e.Upstream]++
	w.Zones[from][to]++
	if from != to {
		w.CrossZone++
	}
	if f.Zones[from].Region != f.Zones[to].Region {
		w.CrossRegion++
	}
}

// finish computes what needs all requests of the window.
func (w *Window) finish() {
	w.Share = -1
	if w.worth.asked > 0 {
		w.Share = w.worth.share()
	}
	w.P50 = w.latency.percentile(50)
	w.P99 = w.latency.percentile(99)
	w.latency = nil
}

// servedIn is the share of worth served of what came in some windows.
func servedIn(windows []Window) float64 {
	var sum tally
	for _, w := range windows {
		sum.merge(w.worth)
	}
	return sum.share()
}
