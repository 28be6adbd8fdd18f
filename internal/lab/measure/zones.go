package measure

import (
	"math"
	"slices"
	"time"

	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/scenario"
)

const (
	// zoneLostRatio is the share of a zone's upstreams that a fault must make unreachable for a balancer to be expected to leave
	// the zone.
	zoneLostRatio = 0.75
	// zoneDoubtfulRatio is the share of a zone's upstreams that a fault must make unreachable to justify a balancer's doubt of
	// the zone.
	zoneDoubtfulRatio = 0.5
	// evidenceLag is how long after a fault's end it still justifies doubt, because load reports and responses arrive late.
	evidenceLag = 5 * time.Second
	// swingWidth is the length of the stretches over which attemptShareSwing compares a zone's share of the attempts. In
	// shorter ones the share varies by chance.
	swingWidth = 5 * time.Second
)

// Zone is the traffic of a zone after the settling period.
type Zone struct {
	Name         string
	Utilization  float64 `json:"Use"`  // accepted work over the capacity of the zone's cores
	AttemptShare float64 `json:"Part"` // of all attempts
}

// Zones is how the balancers distributed traffic over zones.
type Zones struct {
	All                  []Zone
	PeakUtilizationRatio float64 `json:"Fullest"` // highest utilization of a zone over the fleet's
	// AttemptShareSwing is the largest difference between the highest and the lowest share of all attempts that one zone had
	// in stretches of 5 s.
	AttemptShareSwing float64 `json:"Swing"`
	SameZoneRatio     float64 `json:"Same"` // of attempts whose balancer is in the upstream's zone
	// LeaveTimes is nil if no fault made most of a zone unreachable, or if the history has no zone states.
	LeaveTimes *LeaveTimes `json:"Leave,omitempty"`
	// WronglyDoubtedRatio is the share of pairs of a balancer and an upstream in which the balancer doubted the upstream's
	// zone although no fault justified it. It is 0 if the history has no zone states.
	WronglyDoubtedRatio float64 `json:"Wrongly"`
}

// LeaveTimes is how long balancers took to leave zones that faults had made unreachable. Each pair of a balancer and such a
// fault counts once per zone.
type LeaveTimes struct {
	P50Seconds float64 `json:"P50"`
	P99Seconds float64 `json:"P99"`
	MaxSeconds float64 `json:"Max"`
	Count      int     // balancers that left before the fault's end
	NeverLeft  int     `json:"Never"` // balancers that did not
}

// zoneLoad is the traffic of a zone, or of all zones, after the settling period. Work is in seconds of a core of speed 1.
type zoneLoad struct {
	capacity float64 // work that all cores can do
	work     float64 // accepted work
	attempts float64
}

// trafficLoads is the traffic of each zone and of the fleet.
type trafficLoads struct {
	zones            []zoneLoad
	total            zoneLoad
	sameZoneAttempts float64
}

// newZones computes the metrics of zones.
func newZones(sc *scenario.Scenario, f *scenario.Fleet, events []history.Event, series []Window) *Zones {
	loads := newTrafficLoads(sc, f)
	for _, e := range events {
		isAttempt := e.Kind == history.Arrived || e.Kind == history.Rejected
		if isAttempt && e.At >= sc.Settle.D() {
			loads.addAttempt(f, e)
		}
	}
	z := &Zones{
		All:               make([]Zone, len(f.Zones)),
		SameZoneRatio:     ratio(loads.sameZoneAttempts, loads.total.attempts),
		AttemptShareSwing: attemptShareSwing(sc, f, series),
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
		_, hits := sc.FaultSchedule()
		oracle := faultOracle{sc, f, sc.NewPaths(f), hits}
		z.LeaveTimes = oracle.leaveTimes(events)
		z.WronglyDoubtedRatio = oracle.wronglyDoubtedRatio(events)
	}
	return z
}

// newTrafficLoads returns the loads of a fleet with its capacities and no traffic.
func newTrafficLoads(sc *scenario.Scenario, f *scenario.Fleet) *trafficLoads {
	l := &trafficLoads{zones: make([]zoneLoad, len(f.Zones))}
	seconds := (sc.Length - sc.Settle).D().Seconds()
	for _, u := range f.Upstreams {
		m := sc.Models[u.Model]
		capacity := float64(m.Cores) * m.Speed * seconds
		l.zones[u.Zone].capacity += capacity
		l.total.capacity += capacity
	}
	return l
}

// addAttempt counts an attempt that reached an upstream.
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

// attemptShareSwing returns the largest difference between the highest and the lowest share of all attempts that one zone had
// after the settling period.
func attemptShareSwing(sc *scenario.Scenario, f *scenario.Fleet, series []Window) float64 {
	lowest := make([]float64, len(f.Zones))
	highest := make([]float64, len(f.Zones))
	for i := range lowest {
		lowest[i] = math.Inf(1)
	}
	width := max(1, int(swingWidth/sc.Window.D()))
	first := int((sc.Settle + sc.Window - 1) / sc.Window)
	swing := 0.0
	for at := first; at+width <= len(series); at += width {
		for i, share := range zoneShares(series[at:at+width], len(f.Zones)) {
			lowest[i] = min(lowest[i], share)
			highest[i] = max(highest[i], share)
			swing = max(swing, highest[i]-lowest[i])
		}
	}
	return swing
}

// zoneShares returns each zone's share of the attempts in some windows.
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

// faultOracle derives from the scenario's faults what each balancer should conclude about each zone, as the reference for
// its zone states.
type faultOracle struct {
	scenario *scenario.Scenario
	fleet    *scenario.Fleet
	paths    *scenario.Paths
	hits     []scenario.AffectedSet
}

// hitShare returns the share of a zone's upstreams that fault i makes unreachable for a balancer.
func (o faultOracle) hitShare(i, balancer, zone int) float64 {
	upstreams := 0.0
	lost := 0.0
	for u, up := range o.fleet.Upstreams {
		if up.Zone != zone {
			continue
		}
		upstreams++
		if o.makesUnreachable(i, balancer, u) {
			lost++
		}
	}
	return ratio(lost, upstreams)
}

// makesUnreachable reports whether a balancer can't get successful responses from an upstream because of fault i.
func (o faultOracle) makesUnreachable(i, balancer, upstream int) bool {
	hit := o.hits[i]
	kind := o.scenario.Faults[i].Kind
	switch {
	case hit.Scope == scenario.OnUpstreams && (kind == scenario.UpstreamDown || kind == scenario.UpstreamVanish || kind == scenario.UpstreamErrors):
		return slices.Contains(hit.Targets, upstream)
	case hit.Scope == scenario.OnLinks && kind == scenario.LinkCut:
		b := scenario.Party{Kind: scenario.BalancerParty, Index: balancer}
		u := scenario.Party{Kind: scenario.UpstreamParty, Index: upstream}
		return o.paths.Affects(i, b, u) || o.paths.Affects(i, u, b)
	}
	return false
}

// faultEnd returns when fault i ends: the end of the run if it has no duration.
func (o faultOracle) faultEnd(i int) time.Duration {
	f := o.scenario.Faults[i]
	if f.For == 0 {
		return o.scenario.Length.D()
	}
	return (f.At + f.For).D()
}

// leaveTimes measures, for each fault that makes most of a zone unreachable for a balancer, the time until the balancer left
// the zone or was notified by discovery that all its upstreams are removed. It returns nil if there are no such faults.
func (o faultOracle) leaveTimes(events []history.Event) *LeaveTimes {
	byBalancer := make([][]history.Event, len(o.fleet.Balancers))
	for _, e := range events {
		if e.Kind == history.ZoneState || e.Kind == history.Notified {
			byBalancer[e.Balancer] = append(byBalancer[e.Balancer], e)
		}
	}
	times := newHistogram()
	leave := &LeaveTimes{}
	for i, fault := range o.scenario.Faults {
		for b := range o.fleet.Balancers {
			for z := range o.fleet.Zones {
				if o.hitShare(i, b, z) < zoneLostRatio {
					continue
				}
				at, left := o.leaveTime(byBalancer[b], z, fault.At.D(), o.faultEnd(i))
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

// leaveTime returns when a balancer left a zone, if it did so between from and to. events are those of the balancer.
func (o faultOracle) leaveTime(events []history.Event, zone int, from, to time.Duration) (at time.Duration, left bool) {
	size := 0
	for _, u := range o.fleet.Upstreams {
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
		case e.Kind == history.Notified && o.fleet.Upstreams[e.Upstream].Zone == zone:
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

// wronglyDoubtedRatio returns the share of pairs of a balancer and an upstream in which the balancer doubted the upstream's
// zone without justification.
func (o faultOracle) wronglyDoubtedRatio(events []history.Event) float64 {
	wrong := map[zoneView]bool{}
	for _, e := range events {
		if e.Kind != history.ZoneState || (e.Text != "failed" && e.Text != "doubtful") {
			continue
		}
		view := zoneView{int(e.Balancer), int(e.Zone)}
		if !o.isDoubtJustified(view, e.At) {
			wrong[view] = true
		}
	}
	pairs := 0
	for view := range wrong {
		for _, u := range o.fleet.Upstreams {
			if u.Zone == view.zone {
				pairs++
			}
		}
	}
	return ratio(float64(pairs), float64(len(o.fleet.Balancers)*len(o.fleet.Upstreams)))
}

// isDoubtJustified reports whether some fault justifies a balancer's doubt of a zone at a time.
func (o faultOracle) isDoubtJustified(view zoneView, at time.Duration) bool {
	for i, fault := range o.scenario.Faults {
		within := at >= fault.At.D() && at < o.faultEnd(i)+evidenceLag
		if within && o.hitShare(i, view.balancer, view.zone) >= zoneDoubtfulRatio {
			return true
		}
	}
	return false
}
