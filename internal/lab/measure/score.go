package measure

import (
	"time"

	"sprucehill/internal/lab/scenario"
)

// Weights of the terms of the score. Their sum is 1.
const (
	scoreShareOverall      = 0.35
	scoreShareWorstStretch = 0.45
	scoreShareWorstClass   = 0.10
	scoreShareWorstTenant  = 0.10
)

// worstStretchLength is the length of the stretches of which the worst enters the score.
const worstStretchLength = 10 * time.Second

// weightTally sums the priority weights of all requests and of those served in time.
type weightTally struct{ offered, served float64 }

// add counts a request, unless its client left early: no balancer could have served it.
func (t *weightTally) add(r Request) {
	if r.Outcome == ClientLeft {
		return
	}
	t.offered += r.weight
	if r.Outcome == ServedInTime {
		t.served += r.weight
	}
}

// merge adds the sums of another tally.
func (t *weightTally) merge(other weightTally) {
	t.offered += other.offered
	t.served += other.served
}

// servedRatio returns the served weight over the offered weight, or 1 if none was offered.
func (t *weightTally) servedRatio() float64 { return ratio(t.served, t.offered) }

// setScore computes the score from all requests and from the stretch, class and tenant that were served worst.
func (s *Summary) setScore(sc *scenario.Scenario, arrivals []scenario.Arrival, requests []Request) {
	var overall weightTally
	classes := make([]weightTally, len(sc.Classes))
	tenants := make([]weightTally, len(sc.Tenants))
	for i, r := range requests {
		overall.add(r)
		classes[arrivals[i].Class].add(r)
		if t := arrivals[i].Tenant; t >= 0 && r.withinQuota {
			tenants[t].add(r)
		}
	}
	s.ServedRatioByClass = map[string]float64{}
	worstClass := 1.0
	for i, t := range classes {
		s.ServedRatioByClass[sc.Classes[i].Name] = t.servedRatio()
		worstClass = min(worstClass, t.servedRatio())
	}
	s.ServedRatioByTenant = map[string]float64{}
	worstTenant := 1.0
	for i, t := range tenants {
		s.ServedRatioByTenant[sc.Tenants[i].Name] = t.servedRatio()
		worstTenant = min(worstTenant, t.servedRatio())
	}
	s.WorstStretchRatio = worstStretch(arrivals, requests)
	s.Score = scoreShareOverall*overall.servedRatio() +
		scoreShareWorstStretch*s.WorstStretchRatio +
		scoreShareWorstClass*worstClass +
		scoreShareWorstTenant*worstTenant
}

// worstStretch returns the lowest served ratio of all stretches that begin a whole number of seconds after the first
// arrival. A run shorter than worstStretchLength is one stretch.
func worstStretch(arrivals []scenario.Arrival, requests []Request) float64 {
	if len(arrivals) == 0 {
		return 1
	}
	var seconds []weightTally
	from := arrivals[0].At
	for i, r := range requests {
		second := int((arrivals[i].At - from) / time.Second)
		for len(seconds) <= second {
			seconds = append(seconds, weightTally{})
		}
		seconds[second].add(r)
	}
	width := min(int(worstStretchLength/time.Second), len(seconds))
	worst := 1.0
	for i := 0; i+width <= len(seconds); i++ {
		var sum weightTally
		for _, second := range seconds[i : i+width] {
			sum.merge(second)
		}
		worst = min(worst, sum.servedRatio())
	}
	return worst
}
