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
	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/scenario"
)

// Summary is all figures of a day. A served ratio is the priority weight of the requests that were served in time over
// that of all requests; see Part.ServedRatio.
type Summary struct {
	Run
	Settling Part // the first stretch of the day, which the score leaves out
	Main     Part // the rest of the day
	// Score is a weighted mean of served ratios after the first stretch, from 0 to 1.
	Score float64
	WorstRatios
	AttemptFigures
	Zones      *Zones  `json:",omitempty"`
	Starts     *Starts `json:",omitempty"` // nil: no balancer was started within the day
	Recoveries []Recovery
	Broken     map[check.Rule]int // violations by rule
	Series     []Window           `json:",omitempty"`

	Lab *Lab `json:",omitempty"` // nil: the day was not live

	WorstRequests []Request `json:"-"`
}

// Run is which day was played, and how.
type Run struct {
	Day           string
	Engine        string // live or model
	Seed          uint64
	LengthSeconds float64 `json:"Seconds"`
	SettleSeconds float64 `json:"Settle"` // length of the first stretch
}

// WorstRatios are the served ratios after the first stretch of which the worst count in the score.
type WorstRatios struct {
	WorstStretchRatio   float64            `json:"Worst"` // of the worst 10 s
	ServedRatioByClass  map[string]float64 `json:"Class"`
	ServedRatioByTenant map[string]float64 `json:"Tenant"` // of requests within the tenant's quota
}

// AttemptFigures are of all attempts of the day.
type AttemptFigures struct {
	AttemptsPerRequest float64 `json:"Attempts"`
	CrossZoneRatio     float64 `json:"CrossZone"`   // of the attempts
	CrossRegionRatio   float64 `json:"CrossRegion"` // of the attempts
}

// Part is the figures of a stretch of the day.
type Part struct {
	Requests       int
	ShareByOutcome map[string]float64 `json:"Share"` // of the requests, by Outcome.String
	// ServedRatio is the priority weight of the requests that were served in time over that of all requests; 1: there were
	// none.
	ServedRatio float64 `json:"Served"`
	Latency     Latency
}

// Summarize computes the figures of a day.
func Summarize(d *scenario.Scenario, f *scenario.Fleet, engine string, arrivals []scenario.Arrival, events []history.Event, violations []check.Violation) *Summary {
	s := &Summary{Run: newRun(d, engine), Broken: map[check.Rule]int{}}
	for _, v := range violations {
		s.Broken[v.Rule]++
	}
	requests := Requests(d, arrivals, events)
	settled := slices.IndexFunc(arrivals, func(a scenario.Arrival) bool { return a.At >= d.Settle.D() })
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

func newRun(d *scenario.Scenario, engine string) Run {
	return Run{
		Day:           d.Name,
		Engine:        engine,
		Seed:          d.Seed,
		LengthSeconds: d.Length.D().Seconds(),
		SettleSeconds: d.Settle.D().Seconds(),
	}
}

// newPart computes the figures of the requests of a stretch.
func newPart(requests []Request) Part {
	p := Part{Requests: len(requests), ShareByOutcome: map[string]float64{}}
	var weight weightTally
	latency := newHistogram()
	for _, r := range requests {
		weight.add(r)
		p.ShareByOutcome[r.Outcome.String()] += 1 / float64(len(requests))
		if r.Outcome <= ServedLate {
			latency.record(r.Latency)
		}
	}
	p.ServedRatio = weight.servedRatio()
	p.Latency = latency.latency()
	return p
}

// setAttempts sums up the attempts of the windows.
func (s *Summary) setAttempts() {
	var attempts, crossZone, crossRegion, requests int
	for _, w := range s.Series {
		attempts += w.Attempts
		crossZone += w.CrossZone
		crossRegion += w.CrossRegion
		requests += w.Requests
	}
	s.AttemptsPerRequest = ratio(float64(attempts), float64(requests))
	if attempts > 0 {
		s.CrossZoneRatio = float64(crossZone) / float64(attempts)
		s.CrossRegionRatio = float64(crossRegion) / float64(attempts)
	}
}

// ratio is a over b. It is 1 if b is 0: nothing was missed.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}
