package measure

import (
	"math"
	"slices"
	"time"

	"sprucehill/internal/lab/day"
	"sprucehill/internal/lab/history"
)

const (
	// zoneHit is the part of a zone's upstreams that a fault has to hit for a balancer to be right to leave the zone.
	zoneLost = 0.75
	// halfHit is the part from which on it is no mistake to doubt it.
	zoneDoubtful = 0.5
	// evidenceLags is how long after a fault's end a balancer may still leave a zone for it: reports and answers lag.
	evidenceLag = 5 * time.Second
	// swingBin is the least stretch over which a zone's part of the attempts is taken: less is chance.
	swingWidth = 5 * time.Second
)

// Zone is what a zone carried after the first stretch.
type Zone struct {
	Name string
	Use  float64 // work that arrived over what all its cores do in that time
	Part float64 // of all attempts
}

// Zones is how the balancers dealt with zones.
type Zones struct {
	All     []Zone
	Fullest float64 // use of the fullest zone over the fleet's
	Swing   float64 // peak to peak of a zone's part of all attempts, the greatest; over stretches of 5 s
	Same    float64 // part of attempts that stay in their zone
	Leave   *Leave  `json:",omitempty"` // where a fault hit most of a zone and the engine tells of states
	// Wrongly is the part of pairs of a balancer and an upstream that no fault had hit, in whose zone that balancer lost
	// faith for a time. It needs states told, too.
	Wrongly float64
}

// Leave is how long balancers took to leave zones that faults had hit, in seconds, over all balancers and such faults.
type Leave struct {
	P50, P99, Max float64
	Count, Never  int // those who left; those who did not before the fault's end
}

// zonesOf makes the figures of zones.
func zonesOf(d *day.Day, f *day.Fleet, events []history.Event, series []Window) *Zones {
	z := &Zones{All: make([]Zone, len(f.Zones))}
	capacity, work, sent := make([]float64, len(f.Zones)), make([]float64, len(f.Zones)), make([]float64, len(f.Zones))
	var all, done, attempts, same float64
	seconds := (d.Length - d.Settle).D().Seconds()
	for _, u := range f.Upstreams {
		m := d.Models[u.Model]
		capacity[u.Zone] += float64(m.Cores) * m.Speed * seconds
		all += float64(m.Cores) * m.Speed * seconds
	}
	for _, e := range events {
		if e.At < d.Settle.D() || (e.Kind != history.Arrived && e.Kind != history.Rejected) {
			continue
		}
		to := f.Upstreams[e.Upstream].Zone
		if attempts++; f.Balancers[e.Balancer].Zone == to {
			same++
		}
		if sent[to]++; e.Kind == history.Arrived {
			work[to], done = work[to]+float64(e.Work), done+float64(e.Work)
		}
	}
	z.Same = ratio(same, attempts)
	for i := range z.All {
		z.All[i] = Zone{f.Locality(i), ratio(work[i], capacity[i]), ratio(sent[i], attempts)}
		if done > 0 && capacity[i] > 0 {
			z.Fullest = max(z.Fullest, z.All[i].Use/(done/all))
		}
	}
	z.Swing = zoneSwing(d, f, series)
	_, hits := d.Timetable()
	t := faultTruth{d, f, d.NewPaths(f), hits}
	if slices.ContainsFunc(events, func(e history.Event) bool { return e.Kind == history.ZoneState }) {
		z.Leave, z.Wrongly = t.leaveTimes(events), t.wronglyDoubted(events)
	}
	return z
}

// swing is how far a zone's part of all attempts moves, peak to peak, after the first stretch.
func zoneSwing(d *day.Day, f *day.Fleet, series []Window) (most float64) {
	low, high := make([]float64, len(f.Zones)), make([]float64, len(f.Zones))
	for i := range low {
		low[i] = math.Inf(1)
	}
	width := max(1, int(swingWidth/d.Window.D()))
	first := int((d.Settle + d.Window - 1) / d.Window)
	for at := first; at+width <= len(series); at += width {
		sent, all := make([]float64, len(f.Zones)), 0.0
		for _, w := range series[at : at+width] {
			for _, row := range w.Zones {
				for to, n := range row {
					sent[to], all = sent[to]+float64(n), all+float64(n)
				}
			}
		}
		for i := range sent {
			low[i], high[i] = min(low[i], ratio(sent[i], all)), max(high[i], ratio(sent[i], all))
			most = max(most, high[i]-low[i])
		}
	}
	return most
}

// truth is what the timetable does to zones, as a balancer at its place could know it at best.
type faultTruth struct {
	day   *day.Day
	fleet *day.Fleet
	paths *day.Paths
	hits  []day.Hit
}

// hit is the part of a zone's upstreams that fault i takes away from a balancer.
func (t faultTruth) hitShare(i, balancer, zone int) float64 {
	n, bad := 0.0, 0.0
	for u, up := range t.fleet.Upstreams {
		if up.Zone != zone {
			continue
		}
		if n++; t.takesAway(i, t.hits[i], balancer, u) {
			bad++
		}
	}
	return ratio(bad, n)
}

func (t faultTruth) takesAway(i int, hit day.Hit, balancer, upstream int) bool {
	switch kind := t.day.Faults[i].Kind; {
	case hit.Scope == day.OnUpstreams && (kind == "down" || kind == "vanish" || kind == "errors"):
		return slices.Contains(hit.Targets, upstream)
	case hit.Scope == day.OnLinks && kind == "cut":
		b, u := day.Party{Kind: day.BalancerParty, Index: balancer}, day.Party{Kind: day.UpstreamParty, Index: upstream}
		return t.paths.Hits(i, b, u) || t.paths.Hits(i, u, b)
	}
	return false
}

// end is when a fault ends.
func (t faultTruth) faultEnd(i int) time.Duration {
	f := t.day.Faults[i]
	if f.For == 0 {
		return t.day.Length.D()
	}
	return (f.At + f.For).D()
}

// leave takes, for each fault and each balancer from which it takes most of a zone, the time until that balancer has
// left the zone, or has been told by discovery that all of it is gone.
func (t faultTruth) leaveTimes(events []history.Event) *Leave {
	h := newHistogram()
	out := &Leave{}
	of := make([][]history.Event, len(t.fleet.Balancers))
	for _, e := range events {
		if e.Kind == history.ZoneState || e.Kind == history.Notified {
			of[e.Balancer] = append(of[e.Balancer], e)
		}
	}
	for i, fault := range t.day.Faults {
		for b := range t.fleet.Balancers {
			for z := range t.fleet.Zones {
				if t.hitShare(i, b, z) < zoneLost {
					continue
				}
				if at, left := t.leftAt(of[b], z, fault.At.D(), t.faultEnd(i)); left {
					h.record(max(at-fault.At.D(), time.Microsecond))
					out.Count++
				} else {
					out.Never++
				}
			}
		}
	}
	if out.Count+out.Never == 0 {
		return nil
	}
	l := h.latency()
	out.P50, out.P99, out.Max = l.P50/1000, l.P99/1000, l.Max/1000
	return out
}

// leftAt finds among the events of one balancer when it had left a zone.
func (t faultTruth) leftAt(events []history.Event, zone int, from, to time.Duration) (time.Duration, bool) {
	gone, size := map[int32]bool{}, 0
	for _, u := range t.fleet.Upstreams {
		if u.Zone == zone {
			size++
		}
	}
	for _, e := range events {
		switch {
		case e.At < from:
		case e.At >= to:
			return 0, false
		case e.Kind == history.ZoneState && int(e.Zone) == zone && e.Text == "failed":
			return e.At, true
		case e.Kind == history.Notified && t.fleet.Upstreams[e.Upstream].Zone == zone:
			if gone[e.Upstream] = e.Text == "removed"; !gone[e.Upstream] {
				delete(gone, e.Upstream)
			}
			if len(gone) == size {
				return e.At, true
			}
		}
	}
	return 0, false
}

// wrongly is the part of pairs of balancers and well upstreams in whose zone the balancer lost faith without a reason.
func (t faultTruth) wronglyDoubted(events []history.Event) float64 {
	wrong := map[[2]int]bool{}
	for _, e := range events {
		if e.Kind != history.ZoneState || (e.Text != "failed" && e.Text != "doubtful") {
			continue
		}
		reason := false
		for i, fault := range t.day.Faults {
			within := e.At >= fault.At.D() && e.At < t.faultEnd(i)+evidenceLag
			reason = reason || (within && t.hitShare(i, int(e.Balancer), int(e.Zone)) >= zoneDoubtful)
		}
		if !reason {
			wrong[[2]int{int(e.Balancer), int(e.Zone)}] = true
		}
	}
	pairs := 0
	for pair := range wrong {
		for _, u := range t.fleet.Upstreams {
			if u.Zone == pair[1] {
				pairs++
			}
		}
	}
	return ratio(float64(pairs), float64(len(t.fleet.Balancers)*len(t.fleet.Upstreams)))
}
