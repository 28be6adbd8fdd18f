// Package measure makes figures of a history: what was served and how fast, where attempts went, and how long service
// took to come back after each fault. Latency counts from the moment at which a request was to be sent, not from when
// it was, so that a day on which the lab or a balancer falls behind does not look fast.
package measure

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sprucehill/internal/lab/check"
	"sprucehill/internal/lab/client"
	"sprucehill/internal/lab/day"
	"sprucehill/internal/lab/history"
)

const (
	// The parts of the score: the whole day, its worst stretch, the class and the tenant served worst.
	wholePart, stretchPart, classPart, tenantPart = 0.35, 0.45, 0.10, 0.10
	// stretch is the length of the worst stretch.
	stretch = 10 * time.Second
	// overShare is what a request past its tenant's quota is worth, as a part of its class's worth.
	overShare = 0.05
	// back is how close to the level before a fault a window has to come.
	back = 0.05
	// levelWindows is how many windows before a fault make the level. The last one before it is left out: what came in
	// it was still out when the fault began.
	levelWindows = 5
	// early is how long after its end, in seconds, a fault is still looked at apart.
	early = 5
	// dipWindows is how many windows make a second dip: one alone may be chance.
	dipWindows = 3
	// worstKept is how many of the slowest and failed requests are kept for the report.
	worstKept = 20
)

// End is how a client's request ended, over all its tries.
type End uint8

// The ends.
const (
	InTime End = iota
	Late
	Refused
	Failed
	Unreached
	Left
	ends
)

var endNames = [ends]string{"served in time", "served late", "refused", "failed", "not connected", "left early"}

func (e End) String() string { return endNames[e] }

// Request is a client's request with what became of it.
type Request struct {
	Arrival  int
	End      End
	Latency  time.Duration // to its last answer; 0: none
	Tries    int
	Attempts int
	worth    float64
	inShare  bool
}

// Window is a stretch of the day.
type Window struct {
	At                               float64 // seconds, its begin
	Asked                            int     // requests that came in it
	Ends                             [ends]int
	Share                            float64 // of the worth that came in it, served in time; NaN is written as -1
	Attempts, CrossZone, CrossRegion int
	P50, P99                         float64 // ms, of what came in it and was served
	Upstream                         []int   // attempts by upstream
	Zones                            [][]int // attempts from zone to zone
	asked, served                    float64 // worth
	latency                          *histogram
}

// Recovery is how service took one fault.
type Recovery struct {
	Fault  string
	At     float64  // seconds
	End    float64  // seconds; -1: it never ended
	Before float64  // level of served worth before
	Least  float64  // of any window from its begin to its recovery
	Back   *float64 // seconds from its end to the begin of the first window back within 5%; absent: never
	Ten    float64  // worth served of what came in the 10 s from its begin
	Five   float64  // worth served of what came in the 5 s from its end
	Again  float64  // level of the worst 3 s after it was back and before the next fault, over Before; 1: none lay there
}

// Part is a stretch with the figures that make a score.
type Part struct {
	Requests int
	Share    map[string]float64 // of requests, by how they ended
	Served   float64            // worth served in time over the worth asked for
	Latency  Latency
}

// Summary is all figures of a day.
type Summary struct {
	Day, Engine string
	Seed        uint64
	Seconds     float64
	Settle      float64
	Settling    Part // the first stretch
	Main        Part // all after it
	Score       float64
	Worst       float64 // served worth in the worst 10 s
	Class       map[string]float64
	Tenant      map[string]float64 // inside its share
	Attempts    float64            // a request
	CrossZone   float64            // share of attempts
	CrossRegion float64
	Zones       *Zones  `json:",omitempty"`
	Starts      *Starts `json:",omitempty"`
	Recoveries  []Recovery
	Broken      map[check.Rule]int
	Series      []Window `json:",omitempty"`

	Lab *Lab `json:",omitempty"` // of a live day

	WorstRequests []Request `json:"-"`
}

// Lab is what a live day cost, and how late the lab itself was.
type Lab struct {
	LateP50, LateP99, LateMax float64 // ms
	LabCores, NodeCores       float64 // cores used by the lab, and by all balancers together
	Crossed                   int     // requests sent once more because their connection had just been closed
	Void                      string  // why the day does not count; empty: it does
}

// Requests tells what became of each arrival.
func Requests(d *day.Day, arrivals []day.Arrival, events []history.Event) []Request {
	all := make([]Request, len(arrivals))
	buckets := make([]bucket, len(d.Tenants))
	for i, a := range arrivals {
		r := Request{Arrival: i, End: Failed, worth: d.Classes[a.Class].Worth, inShare: true}
		if a.Tenant >= 0 && d.Tenants[a.Tenant].Quota > 0 {
			if r.inShare = buckets[a.Tenant].take(d.Tenants[a.Tenant].Quota, a.At); !r.inShare {
				r.worth *= overShare
			}
		}
		r.End = Unreached
		all[i] = r
	}
	for _, e := range events {
		if e.Kind >= history.Stray || e.Arrival < 0 {
			continue
		}
		r, a := &all[e.Arrival], arrivals[e.Arrival]
		switch e.Kind {
		case history.Asked, history.Refused:
			if r.Tries = max(r.Tries, int(e.Try)+1); e.Kind == history.Refused && r.End > Late {
				r.End = Unreached
			} else if r.End > Late {
				r.End = Failed
			}
		case history.Arrived, history.Turned:
			r.Attempts++
		case history.Left:
			r.End = Left
		case history.Answered:
			if r.End <= Late { // the first good answer counts
				continue
			}
			r.Latency = e.At - a.At
			switch {
			case e.Result == client.Refused:
				r.End = Refused
			case e.Result != client.Served:
				r.End = Failed
			case r.Latency <= d.Classes[a.Class].Aim.D():
				r.End = InTime
			default:
				r.End = Late
			}
		}
	}
	return all
}

// bucket holds a tenant's requests against its quota, with a second's worth of them saved up.
type bucket struct {
	level float64
	at    time.Duration
}

func (b *bucket) take(rate float64, now time.Duration) bool {
	b.level = max(0, b.level-rate*(now-b.at).Seconds())
	b.at = now
	if b.level+1 > max(rate, 1) {
		return false
	}
	b.level++
	return true
}

// ratio is a over b; 1 where nothing was asked for.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}

// tally sums up worth.
type tally struct{ asked, served float64 }

func (t *tally) add(r Request) {
	if r.End == Left {
		return // nobody could have served it
	}
	t.asked += r.worth
	if r.End == InTime {
		t.served += r.worth
	}
}

// Summarize makes the figures of a day.
func Summarize(d *day.Day, f *day.Fleet, engine string, arrivals []day.Arrival, events []history.Event, violations []check.Violation) *Summary {
	s := &Summary{Day: d.Name, Engine: engine, Seed: d.Seed, Seconds: d.Length.D().Seconds(), Settle: d.Settle.D().Seconds(),
		Class: map[string]float64{}, Tenant: map[string]float64{}, Broken: map[check.Rule]int{}}
	for _, v := range violations {
		s.Broken[v.Rule]++
	}
	requests := Requests(d, arrivals, events)
	settled := slices.IndexFunc(arrivals, func(a day.Arrival) bool { return a.At >= d.Settle.D() })
	if settled < 0 {
		settled = len(arrivals)
	}
	s.Settling, s.Main = part(requests[:settled]), part(requests[settled:])
	s.score(d, arrivals[settled:], requests[settled:])
	s.Series = series(d, f, arrivals, requests, events)
	var attempts, zone, region, asked int
	for _, w := range s.Series {
		attempts, zone, region, asked = attempts+w.Attempts, zone+w.CrossZone, region+w.CrossRegion, asked+w.Asked
	}
	s.Attempts = ratio(float64(attempts), float64(asked))
	if attempts > 0 {
		s.CrossZone, s.CrossRegion = float64(zone)/float64(attempts), float64(region)/float64(attempts)
	}
	s.Zones = zonesOf(d, f, events, s.Series)
	s.Starts = startsOf(events)
	s.Recoveries = recoveries(d, s.Series)
	s.WorstRequests = worst(requests)
	return s
}

// part makes the figures of a stretch.
func part(requests []Request) Part {
	p := Part{Requests: len(requests), Share: map[string]float64{}}
	var t tally
	h := newHistogram()
	for _, r := range requests {
		t.add(r)
		p.Share[r.End.String()] += 1 / float64(len(requests))
		if r.End <= Late {
			h.record(r.Latency)
		}
	}
	p.Served = ratio(t.served, t.asked)
	p.Latency = h.latency()
	return p
}

// score mixes the whole with what was served worst.
func (s *Summary) score(d *day.Day, arrivals []day.Arrival, requests []Request) {
	classes, tenants := make([]tally, len(d.Classes)), make([]tally, len(d.Tenants))
	var whole tally
	for i, r := range requests {
		whole.add(r)
		classes[arrivals[i].Class].add(r)
		if t := arrivals[i].Tenant; t >= 0 && r.inShare {
			tenants[t].add(r)
		}
	}
	least := func(of []tally, into map[string]float64, name func(int) string) float64 {
		low := 1.0
		for i, t := range of {
			into[name(i)] = ratio(t.served, t.asked)
			low = min(low, into[name(i)])
		}
		return low
	}
	class := least(classes, s.Class, func(i int) string { return d.Classes[i].Name })
	tenant := least(tenants, s.Tenant, func(i int) string { return d.Tenants[i].Name })
	s.Worst = worstStretch(arrivals, requests)
	s.Score = wholePart*ratio(whole.served, whole.asked) + stretchPart*s.Worst + classPart*class + tenantPart*tenant
}

// worstStretch is the served worth of the 10 s that were served worst, looked at from each second on. A day that is
// shorter is one stretch.
func worstStretch(arrivals []day.Arrival, requests []Request) float64 {
	if len(arrivals) == 0 {
		return 1
	}
	var seconds []tally
	from := arrivals[0].At
	for i, r := range requests {
		n := int((arrivals[i].At - from) / time.Second)
		for len(seconds) <= n {
			seconds = append(seconds, tally{})
		}
		seconds[n].add(r)
	}
	long := min(int(stretch/time.Second), len(seconds))
	low := 1.0
	for i := 0; i+long <= len(seconds); i++ {
		var t tally
		for _, x := range seconds[i : i+long] {
			t.asked, t.served = t.asked+x.asked, t.served+x.served
		}
		low = min(low, ratio(t.served, t.asked))
	}
	return low
}

// series makes the windows. Requests count in the window in which they came, attempts in that in which they arrived.
func series(d *day.Day, f *day.Fleet, arrivals []day.Arrival, requests []Request, events []history.Event) []Window {
	width := d.Window.D()
	all := make([]Window, int((d.Length.D()+width-1)/width))
	for i := range all {
		w := &all[i]
		w.At, w.latency = (time.Duration(i) * width).Seconds(), newHistogram()
		w.Upstream, w.Zones = make([]int, len(f.Upstreams)), make([][]int, len(f.Zones))
		for z := range w.Zones {
			w.Zones[z] = make([]int, len(f.Zones))
		}
	}
	at := func(t time.Duration) *Window { return &all[min(int(t/width), len(all)-1)] }
	for i, r := range requests {
		w := at(arrivals[i].At)
		w.Asked++
		w.Ends[r.End]++
		var t tally
		t.add(r)
		w.asked, w.served = w.asked+t.asked, w.served+t.served
		if r.End <= Late {
			w.latency.record(r.Latency)
		}
	}
	for _, e := range events {
		if e.Kind != history.Arrived && e.Kind != history.Turned {
			continue
		}
		w, from, to := at(e.At), f.Balancers[e.Balancer].Zone, f.Upstreams[e.Upstream].Zone
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
	for i := range all {
		w := &all[i]
		if w.Share = -1; w.asked > 0 {
			w.Share = w.served / w.asked
		}
		w.P50 = w.latency.percentile(50)
		w.P99 = w.latency.percentile(99)
		w.latency = nil
	}
	return all
}

// recoveries tells of each fault how far service fell, and when it was back.
func recoveries(d *day.Day, windows []Window) []Recovery {
	var all []Recovery
	width := d.Window.D().Seconds()
	for _, fault := range d.Faults {
		r := Recovery{Fault: fault.Kind, At: fault.At.D().Seconds(), End: -1, Least: 1}
		end := r.At
		if fault.For > 0 {
			end += fault.For.D().Seconds()
			r.End = end
		} else if fault.Kind != "reset" && fault.Kind != "restart" { // it lasts
			end = math.Inf(1)
		} else {
			r.End = end
		}
		first := int(r.At / width)
		var t tally
		for _, w := range windows[max(0, first-1-levelWindows):max(0, first-1)] {
			t.asked, t.served = t.asked+w.asked, t.served+w.served
		}
		r.Before = ratio(t.served, t.asked)
		var ten tally
		for _, w := range windows[first:min(len(windows), first+int(stretch.Seconds()/width))] {
			ten.asked, ten.served = ten.asked+w.asked, ten.served+w.served
		}
		r.Ten, r.Again, r.Five = ratio(ten.served, ten.asked), 1, 1
		if from := int(math.Ceil(end / width)); r.End >= 0 && from < len(windows) {
			var five tally
			for _, w := range windows[from:min(len(windows), from+int(early/width))] {
				five.asked, five.served = five.asked+w.asked, five.served+w.served
			}
			r.Five = ratio(five.served, five.asked)
		}
		for i, w := range windows[first:] {
			if w.Share < 0 {
				continue
			}
			if w.At >= end && w.Share >= r.Before*(1-back) {
				after := w.At - end
				r.Back = &after
				r.Again = again(d, windows[first+i:], r.Before)
				break
			}
			r.Least = min(r.Least, w.Share)
		}
		all = append(all, r)
	}
	return all
}

// again is the level of the worst few windows up to the next fault, over the level before.
func again(d *day.Day, windows []Window, before float64) float64 {
	low := 1.0
	for i := 0; i+dipWindows <= len(windows); i++ {
		last := windows[i+dipWindows-1]
		if slices.ContainsFunc(d.Faults, func(f day.Fault) bool {
			at := f.At.D().Seconds()
			return at >= windows[0].At && at <= last.At+d.Window.D().Seconds()
		}) {
			break
		}
		var t tally
		for _, w := range windows[i : i+dipWindows] {
			t.asked, t.served = t.asked+w.asked, t.served+w.served
		}
		if before > 0 {
			low = min(low, ratio(t.served, t.asked)/before)
		}
	}
	return low
}

// worst keeps the requests that ended worst, the slowest first.
func worst(requests []Request) []Request {
	bad := slices.DeleteFunc(slices.Clone(requests), func(r Request) bool { return r.End == InTime || r.End == Left })
	slices.SortStableFunc(bad, func(a, b Request) int {
		return cmp.Or(cmp.Compare(b.worth, a.worth), cmp.Compare(b.Latency, a.Latency), cmp.Compare(a.Arrival, b.Arrival))
	})
	return bad[:min(len(bad), worstKept)]
}

// The lab's own lateness beyond which a day does not count.
const (
	voidP99 = 20 * time.Millisecond
	voidMax = 500 * time.Millisecond
)

// LabOf makes the figures of the lab itself on a live day.
func LabOf(late []time.Duration, seconds float64, lab, nodes time.Duration, crossed int) *Lab {
	h := newHistogram()
	for _, l := range late {
		h.record(max(l, time.Microsecond))
	}
	x := h.latency()
	out := &Lab{LateP50: x.P50, LateP99: x.P99, LateMax: x.Max, LabCores: lab.Seconds() / seconds,
		NodeCores: nodes.Seconds() / seconds, Crossed: crossed}
	switch {
	case x.P99 > float64(voidP99.Microseconds())/1000:
		out.Void = "the lab was late: one arrival in a hundred was begun more than 20 ms after its time"
	case x.Max > float64(voidMax.Microseconds())/1000:
		out.Void = "the lab was late: an arrival was begun more than 500 ms after its time"
	}
	return out
}
