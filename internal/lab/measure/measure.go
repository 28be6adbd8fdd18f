// Package measure computes the metrics of a history: which requests were served and how fast, where attempts went, and how
// long service took to recover from each fault. Latency is measured from the time at which a request was scheduled, not from
// when it was sent, so that a run on which the lab or a balancer falls behind does not look fast (coordinated omission).
//
// Stored results are Summaries in JSON. Their keys never change: a renamed field keeps its key in a json tag.
package measure

import (
	"slices"

	"sprucehill/internal/lab/check"
	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/scenario"
)

// Summary is all metrics of a run. A served ratio is the priority weight of the requests that were served in time over that
// of all requests; see Part.ServedRatio.
type Summary struct {
	Run
	Settling Part // the settling period at the start, which the score leaves out
	Main     Part // the rest of the run
	// Score is a weighted mean of served ratios after the settling period, from 0 to 1.
	Score float64
	WorstRatios
	AttemptFigures
	Zones      *Zones  `json:",omitempty"`
	Starts     *Starts `json:",omitempty"` // nil if no balancer was started during the run
	Recoveries []Recovery
	Broken     map[check.Rule]int // violations by rule
	Series     []Window           `json:",omitempty"`

	Lab *Lab `json:",omitempty"` // nil if the run was not live

	WorstRequests []Request `json:"-"`
}

// Run is which scenario was run, and how.
type Run struct {
	Day           string
	Engine        string // live or model
	Seed          uint64
	LengthSeconds float64 `json:"Seconds"`
	SettleSeconds float64 `json:"Settle"` // length of the settling period
}

// WorstRatios are the served ratios after the settling period whose lowest values enter the score.
type WorstRatios struct {
	WorstStretchRatio   float64            `json:"Worst"` // of the worst stretch of 10 s
	ServedRatioByClass  map[string]float64 `json:"Class"`
	ServedRatioByTenant map[string]float64 `json:"Tenant"` // of requests within the tenant's quota
}

// AttemptFigures are the metrics of all attempts of the run.
type AttemptFigures struct {
	AttemptsPerRequest float64 `json:"Attempts"`
	CrossZoneRatio     float64 `json:"CrossZone"`   // of the attempts
	CrossRegionRatio   float64 `json:"CrossRegion"` // of the attempts
}

// Part is the metrics of the requests of a part of the run.
type Part struct {
	Requests       int
	ShareByOutcome map[string]float64 `json:"Share"` // of the requests, by Outcome.String
	// ServedRatio is the priority weight of the requests that were served in time over that of all requests, or 1 without
	// requests.
	ServedRatio float64 `json:"Served"`
	Latency     Latency
}

// Summarize computes the metrics of a run.
func Summarize(sc *scenario.Scenario, f *scenario.Fleet, engine string, arrivals []scenario.Arrival, events []history.Event, violations []check.Violation) *Summary {
	s := &Summary{Run: newRun(sc, engine), Broken: map[check.Rule]int{}}
	for _, v := range violations {
		s.Broken[v.Rule]++
	}
	requests := Requests(sc, arrivals, events)
	settled := slices.IndexFunc(arrivals, func(a scenario.Arrival) bool { return a.At >= sc.Settle.D() })
	if settled < 0 {
		settled = len(arrivals)
	}
	s.Settling = newPart(requests[:settled])
	s.Main = newPart(requests[settled:])
	s.setScore(sc, arrivals[settled:], requests[settled:])
	s.Series = newSeries(sc, f, arrivals, requests, events)
	s.setAttempts()
	s.Zones = newZones(sc, f, events, s.Series)
	s.Starts = newStarts(events)
	s.Recoveries = recoveries(sc, s.Series)
	s.WorstRequests = worstRequests(requests)
	return s
}

func newRun(sc *scenario.Scenario, engine string) Run {
	return Run{
		Day:           sc.Name,
		Engine:        engine,
		Seed:          sc.Seed,
		LengthSeconds: sc.Length.D().Seconds(),
		SettleSeconds: sc.Settle.D().Seconds(),
	}
}

// newPart computes the metrics of some requests.
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

// setAttempts computes AttemptFigures from the windows.
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

// ratio returns a/b, or 1 if b is 0, since nothing was missed.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}
