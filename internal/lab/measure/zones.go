package measure

import (
	"math"
	"slices"
	"time"

	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/scenario"
)

const (
	// zoneLostRatio is the share of a zone's upstreams that a fault has to hit for a balancer to be right to leave the zone.
	zoneLostRatio = 0.75
	// zoneDoubtfulRatio is the share of a zone's upstreams that a fault has to hit for a balancer to be right to doubt it.
	zoneDoubtfulRatio = 0.5
	// evidenceLag is how long after a fault's end a balancer may still leave a zone for it. Load reports and answers arrive
	// late.
	evidenceLag = 5 * time.Second
	// swingWidth is the length of the stretches of which zoneSwing compares a zone's share of the attempts. In shorter ones
	// it varies by chance.
	swingWidth = 5 * time.Second
)

// Zone is the traffic of a zone after the first stretch.
type Zone struct {
	Name         string
	Utilization  float64 `json:"Use"`  // arrived work over what all the zone's cores can do
	AttemptShare float64 `json:"Part"` // of all attempts
}

// Zones is how the balancers spread traffic over zones.
type Zones struct {
	All                  []Zone
	PeakUtilizationRatio float64 `json:"Fullest"` // highest utilization of a zone over the fleet's
	// AttemptShareSwing is the greatest difference between the highest and the lowest share of all attempts that a zone had
	// in stretches of 5 s.
	AttemptShareSwing float64 `json:"Swing"`
	SameZoneRatio     float64 `json:"Same"` // of attempts whose balancer is in the upstream's zone
	// LeaveTimes is nil if no fault hit most of a zone, or if the history has no zone states.
	LeaveTimes *LeaveTimes `json:"Leave,omitempty"`
	// WronglyDoubtedRatio is the share of pairs of a balancer and an upstream where the balancer doubted the upstream's zone
	// although no fault had hit it. It is 0 if the history has no zone states.
	WronglyDoubtedRatio float64 `json:"Wrongly"`
}

// LeaveTimes is how long balancers took to leave zones that faults had hit. Each pair of a balancer and such a fault
// counts.
type LeaveTimes struct {
	P50Seconds float64 `json:"P50"`
	P99Seconds float64 `json:"P99"`
	MaxSeconds float64 `json:"Max"`
	Count      int     // balancers that left before the fault's end
	NeverLeft  int     `json:"Never"` // balancers that did not
}

// zoneLoad is the traffic of a zone, or of all zones, after the first stretch. Work is in seconds of a core of speed 1.
type zoneLoad struct {
	capacity float64 // work that all its cores can do
	work     float64 // work that arrived and was accepted
	attempts float64
}

// trafficLoads is the load of each zone and of the fleet.
type trafficLoads struct {
	zones            []zoneLoad
	total            zoneLoad
	sameZoneAttempts float64
}

// zonesOf computes the figures of zones.
func zonesOf(d *scenario.Scenario, f *scenario.Fleet, events []history.Event, series []Window) *Zones {
	loads := newTrafficLoads(d, f)
	for _, e := range events {
		isAttempt := e.Kind == history.Arrived || e.Kind == history.Rejected
		if isAttempt && e.At >= d.Settle.D() {
			loads.addAttempt(f, e)
		}
	}
	z := &Zones{
		All:               make([]Zone, len(f.Zones)),
		SameZoneRatio:     ratio(loads.sameZoneAttempts, loads.total.attempts),
		AttemptShareSwing: zoneSwing(d, f, series),
	}
	total := loads.total
	for i, load := range loads.zones {
		z.All[i] = Zone{
			Name:         f.Locality(i),
			Utilization:  ratio(load.work, load.capacity),
			AttemptShare: ratio(load.attempts, total.attempts),
		}
		if total.work > 0 && load.capacity > 0 {
			z.PeakUtilizationRatio = max(z.PeakUtilizationRatio, z.All[i].Utilization/(total.work/total.capacity))
		}
	}
	if slices.ContainsFunc(events, func(e history.Event) bool { return e.Kind == history.ZoneState }) {
		_, hits := d.Timetable()
		t := faultTruth{d, f, d.NewPaths(f), hits}
		z.LeaveTimes = t.leaveTimes(events)
		z.WronglyDoubtedRatio = t.wronglyDoubted(events)
	}
	return z
}

// newTrafficLoads returns the capacities of a fleet, without traffic.
func newTrafficLoads(d *scenario.Scenario, f *scenario.Fleet) *trafficLoads {
	l := &trafficLoads{zones: make([]zoneLoad, len(f.Zones))}
	seconds := (d.Length - d.Settle).D().Seconds()
	for _, u := range f.Upstreams {
		m := d.Models[u.Model]
		capacity := float64(m.Cores) * m.Speed * seconds
		l.zones[u.Zone].capacity += capacity
		l.total.capacity += capacity
	}
	return l
}

// addAttempt counts an attempt that arrived at an upstream.
func (l *trafficLoads) addAttempt(f *scenario.Fleet, e history.Event) {
	to := f.Upstreams[e.Upstream].Zone
	l.total.attempts++
	l.zones[to].attempts++
	if f.Balancers[e.Balancer].Zone == to {
		l.sameZoneAttempts++
	}
	if e.Kind == history.Arrived {
		l.zones[to].work += float64(e.Work)
		l.total.work += float64(e.Work)
	}
}

// zoneSwing is the greatest difference between the highest and the lowest share of all attempts that one zone had after
// the first stretch.
func zoneSwing(d *scenario.Scenario, f *scenario.Fleet, series []Window) float64 {
	lowest := make([]float64, len(f.Zones))
	highest := make([]float64, len(f.Zones))
	for i := range lowest {
		lowest[i] = math.Inf(1)
	}
	width := max(1, int(swingWidth/d.Window.D()))
	first := int((d.Settle + d.Window - 1) / d.Window)
	most := 0.0
	for at := first; at+width <= len(series); at += width {
		for i, share := range zoneShares(series[at:at+width], len(f.Zones)) {
			lowest[i] = min(lowest[i], share)
			highest[i] = max(highest[i], share)
			most = max(most, highest[i]-lowest[i])
		}
	}
	return most
}

// zoneShares is each zone's share of the attempts in some windows.
func zoneShares(windows []Window, zones int) []float64 {
	shares := make([]float64, zones)
	all := 0.0
	for _, w := range windows {
		for _, row := range w.AttemptsByZone {
			for to, n := range row {
				shares[to] += float64(n)
				all += float64(n)
			}
		}
	}
	for i := range shares {
		shares[i] = ratio(shares[i], all)
	}
	return shares
}

// faultTruth is what the timetable does to zones, as a balancer at its place could know it at best.
type faultTruth struct {
	day   *scenario.Scenario
	fleet *scenario.Fleet
	paths *scenario.Paths
	hits  []scenario.Hit
}

// hitShare is the share of a zone's upstreams that fault i takes away from a balancer.
func (t faultTruth) hitShare(i, balancer, zone int) float64 {
	upstreams := 0.0
	lost := 0.0
	for u, up := range t.fleet.Upstreams {
		if up.Zone != zone {
			continue
		}
		upstreams++
		if t.takesAway(i, balancer, u) {
			lost++
		}
	}
	return ratio(lost, upstreams)
}

// takesAway reports whether fault i takes an upstream away from a balancer.
func (t faultTruth) takesAway(i, balancer, upstream int) bool {
	hit := t.hits[i]
	kind := t.day.Faults[i].Kind
	switch {
	case hit.Scope == scenario.OnUpstreams && (kind == scenario.UpstreamDown || kind == scenario.UpstreamVanish || kind == scenario.UpstreamErrors):
		return slices.Contains(hit.Targets, upstream)
	case hit.Scope == scenario.OnLinks && kind == scenario.LinkCut:
		b := scenario.Party{Kind: scenario.BalancerParty, Index: balancer}
		u := scenario.Party{Kind: scenario.UpstreamParty, Index: upstream}
		return t.paths.Hits(i, b, u) || t.paths.Hits(i, u, b)
	}
	return false
}

// faultEnd is when fault i ends.
func (t faultTruth) faultEnd(i int) time.Duration {
	f := t.day.Faults[i]
	if f.For == 0 {
		return t.day.Length.D()
	}
	return (f.At + f.For).D()
}

// leaveTimes takes, for each fault and each balancer from which it takes most of a zone, the time until that balancer has
// left the zone, or was notified by discovery that all of it is gone. nil: there were none.
func (t faultTruth) leaveTimes(events []history.Event) *LeaveTimes {
	byBalancer := make([][]history.Event, len(t.fleet.Balancers))
	for _, e := range events {
		if e.Kind == history.ZoneState || e.Kind == history.Notified {
			byBalancer[e.Balancer] = append(byBalancer[e.Balancer], e)
		}
	}
	times := newHistogram()
	leave := &LeaveTimes{}
	for i, fault := range t.day.Faults {
		for b := range t.fleet.Balancers {
			for z := range t.fleet.Zones {
				if t.hitShare(i, b, z) < zoneLostRatio {
					continue
				}
				at, left := t.leftAt(byBalancer[b], z, fault.At.D(), t.faultEnd(i))
				if !left {
					leave.NeverLeft++
					continue
				}
				leave.Count++
				times.record(max(at-fault.At.D(), time.Microsecond))
			}
		}
	}
	if leave.Count+leave.NeverLeft == 0 {
		return nil
	}
	latency := times.latency()
	leave.P50Seconds = latency.P50 / 1000
	leave.P99Seconds = latency.P99 / 1000
	leave.MaxSeconds = latency.Max / 1000
	return leave
}

// leftAt finds among the events of one balancer when it had left a zone.
func (t faultTruth) leftAt(events []history.Event, zone int, from, to time.Duration) (at time.Duration, left bool) {
	size := 0
	for _, u := range t.fleet.Upstreams {
		if u.Zone == zone {
			size++
		}
	}
	removed := map[int32]bool{}
	for _, e := range events {
		switch {
		case e.At < from:
		case e.At >= to:
			return 0, false
		case e.Kind == history.ZoneState && int(e.Zone) == zone && e.Text == "failed":
			return e.At, true
		case e.Kind == history.Notified && t.fleet.Upstreams[e.Upstream].Zone == zone:
			if e.Text == "removed" {
				removed[e.Upstream] = true
			} else {
				delete(removed, e.Upstream)
			}
			if len(removed) == size {
				return e.At, true
			}
		}
	}
	return 0, false
}

// zoneView is one balancer's view of one zone.
type zoneView struct{ balancer, zone int }

// wronglyDoubted is the share of pairs of a balancer and an upstream in whose zone the balancer lost confidence without a
// reason.
func (t faultTruth) wronglyDoubted(events []history.Event) float64 {
	wrong := map[zoneView]bool{}
	for _, e := range events {
		if e.Kind != history.ZoneState || (e.Text != "failed" && e.Text != "doubtful") {
			continue
		}
		view := zoneView{int(e.Balancer), int(e.Zone)}
		if !t.hasReason(view, e.At) {
			wrong[view] = true
		}
	}
	pairs := 0
	for view := range wrong {
		for _, u := range t.fleet.Upstreams {
			if u.Zone == view.zone {
				pairs++
			}
		}
	}
	return ratio(float64(pairs), float64(len(t.fleet.Balancers)*len(t.fleet.Upstreams)))
}

// hasReason reports whether a fault gives a balancer reason to doubt a zone at a moment.
func (t faultTruth) hasReason(view zoneView, at time.Duration) bool {
	for i, fault := range t.day.Faults {
		within := at >= fault.At.D() && at < t.faultEnd(i)+evidenceLag
		if within && t.hitShare(i, view.balancer, view.zone) >= zoneDoubtfulRatio {
			return true
		}
	}
	return false
}
