// Package measure computes the figures of a history: what was served and how fast, where attempts went, and how long
// service took to recover from each fault. Latency counts from the moment at which a request was to be sent, not from
// when it was, so that a day on which the lab or a balancer falls behind does not look fast.
//
// Stored results are the JSON form of a Summary. Its keys never change: a json tag keeps the key of a field that was
// renamed.
package measure

import (
	"slices"

	"sprucehill/internal/lab/check"
	"sprucehill/internal/lab/day"
	"sprucehill/internal/lab/history"
)

// Summary is all figures of a day.
type Summary struct {
	Day, Engine string
	Seed        uint64
	Seconds     float64 // the day's length
	Settle      float64 // seconds of the first stretch, which the score leaves out
	Settling    Part    // the first stretch
	Main        Part    // all after it
	Score       float64
	Worst       float64            // worth served in the worst 10 s
	Class       map[string]float64 // worth served, by class
	Tenant      map[string]float64 // worth served within the quota, by tenant
	Attempts    float64            // a request
	CrossZone   float64            // share of attempts
	CrossRegion float64            // share of attempts
	Zones       *Zones             `json:",omitempty"`
	Starts      *Starts            `json:",omitempty"`
	Recoveries  []Recovery
	Broken      map[check.Rule]int // violations by rule
	Series      []Window           `json:",omitempty"`

	Lab *Lab `json:",omitempty"` // of a live day

	WorstRequests []Request `json:"-"`
}

// Part is a stretch of the day with the figures that make a score.
type Part struct {
	Requests int
	Share    map[string]float64 // of requests, by how they ended
	Served   float64            // worth served in time over the worth asked for
	Latency  Latency
}

// Summarize computes the figures of a day.
func Summarize(d *day.Day, f *day.Fleet, engine string, arrivals []day.Arrival, events []history.Event, violations []check.Violation) *Summary {
	s := &Summary{
		Day:     d.Name,
		Engine:  engine,
		Seed:    d.Seed,
		Seconds: d.Length.D().Seconds(),
		Settle:  d.Settle.D().Seconds(),
		Class:   map[string]float64{},
		Tenant:  map[string]float64{},
		Broken:  map[check.Rule]int{},
	}
	for _, v := range violations {
		s.Broken[v.Rule]++
	}
	requests := Requests(d, arrivals, events)
	settled := slices.IndexFunc(arrivals, func(a day.Arrival) bool { return a.At >= d.Settle.D() })
	if settled < 0 {
		settled = len(arrivals)
	}
	s.Settling = newPart(requests[:settled])
	s.Main = newPart(requests[settled:])
	s.setScore(d, arrivals[settled:], requests[settled:])
	s.Series = newSeries(d, f, arrivals, requests, events)
	s.setAttempts()
	s.Zones = zonesOf(d, f, events, s.Series)
	s.Starts = startsOf(events)
	s.Recoveries = recoveries(d, s.Series)
	s.WorstRequests = worstRequests(requests)
	return s
}

// newPart computes the figures of a stretch.
func newPart(requests []Request) Part {
	p := Part{Requests: len(requests), Share: map[string]float64{}}
	var worth tally
	latency := newHistogram()
	for _, r := range requests {
		worth.add(r)
		p.Share[r.End.String()] += 1 / float64(len(requests))
		if r.End <= Late {
			latency.record(r.Latency)
		}
	}
	p.Served = worth.share()
	p.Latency = latency.latency()
	return p
}

// setAttempts sums up the attempts of the windows.
func (s *Summary) setAttempts() {
	var attempts, crossZone, crossRegion, asked int
	for _, w := range s.Series {
		attempts += w.Attempts
		crossZone += w.CrossZone
		crossRegion += w.CrossRegion
		asked += w.Asked
	}
	s.Attempts = ratio(float64(attempts), float64(asked))
	if attempts > 0 {
		s.CrossZone = float64(crossZone) / float64(attempts)
		s.CrossRegion = float64(crossRegion) / float64(attempts)
	}
}

// ratio is a over b; 1 where nothing was asked for.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}
