package measure

import (
	"time"

	"sprucehill/internal/lab/day"
)

// The weights of the score's parts. They sum to 1.
const (
	weightWhole   = 0.35 // the whole day
	weightStretch = 0.45 // its worst stretch
	weightClass   = 0.10 // the class served worst
	weightTenant  = 0.10 // the tenant served worst
)

// stretch is the length of the worst stretch.
const stretch = 10 * time.Second

// tally sums up worth.
type tally struct{ asked, served float64 }

// add counts a request. One whose client left early could not have been served by anybody.
func (t *tally) add(r Request) {
	if r.End == Left {
		return
	}
	t.asked += r.worth
	if r.End == InTime {
		t.served += r.worth
	}
}

// merge counts what another tally has counted.
func (t *tally) merge(other tally) {
	t.asked += other.asked
	t.served += other.served
}

// share is the worth served over the worth asked for.
func (t *tally) share() float64 { return ratio(t.served, t.asked) }

// setScore computes the score from the whole and from what was served worst.
func (s *Summary) setScore(d *day.Day, arrivals []day.Arrival, requests []Request) {
	var whole tally
	classes := make([]tally, len(d.Classes))
	tenants := make([]tally, len(d.Tenants))
	for i, r := range requests {
		whole.add(r)
		classes[arrivals[i].Class].add(r)
		if t := arrivals[i].Tenant; t >= 0 && r.withinQuota {
			tenants[t].add(r)
		}
	}
	worstClass := 1.0
	for i, t := range classes {
		s.Class[d.Classes[i].Name] = t.share()
		worstClass = min(worstClass, t.share())
	}
	worstTenant := 1.0
	for i, t := range tenants {
		s.Tenant[d.Tenants[i].Name] = t.share()
		worstTenant = min(worstTenant, t.share())
	}
	s.Worst = worstStretch(arrivals, requests)
	s.Score = weightWhole*whole.share() + weightStretch*s.Worst + weightClass*worstClass + weightTenant*worstTenant
}

// worstStretch is the share of worth served in the stretch that was served worst, of those that begin at a full second.
// A day that is shorter is one stretch.
func worstStretch(arrivals []day.Arrival, requests []Request) float64 {
	if len(arrivals) == 0 {
		return 1
	}
	var seconds []tally
	from := arrivals[0].At
	for i, r := range requests {
		second := int((arrivals[i].At - from) / time.Second)
		for len(seconds) <= second {
			seconds = append(seconds, tally{})
		}
		seconds[second].add(r)
	}
	width := min(int(stretch/time.Second), len(seconds))
	worst := 1.0
	for i := 0; i+width <= len(seconds); i++ {
		var sum tally
		for _, second := range seconds[i : i+width] {
			sum.merge(second)
		}
		worst = min(worst, sum.share())
	}
	return worst
}
