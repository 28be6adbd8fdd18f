package balancer

import "time"

// Knowledge is what a Balancer has learnt, to be taken up by one that is started after it. It has no requests: what was
// out when a process ended is never sent again. Times are on the owner's clock.
type Snapshot struct {
	TakenAt          time.Duration      `json:"At"`      // when it was true
	Latency          float64            `json:"Latency"` // usual latency, ns
	MeanCost         float64            `json:"Cost"`    // mean cost hint, ns
	ClassLatency     map[string]float64 `json:"Classes"` // usual latency of each class, ns, by name
	LocalShare       float64            `json:"Stay"`    // fraction of the traffic that stays in the zone
	RegionShare      float64            `json:"Keep"`    // fraction of the traffic that stays in the region
	WorkPerWeight    float64            `json:"Carry"`   // work a period that warm endpoints do for weight and utilisation
	MaxWorkPerWeight float64            `json:"Most"`    // the most that one endpoint does
	Endpoints        []EndpointStats    `json:"Upstreams"`
	Zones            []ZoneStats        `json:"Zones"`
	// Left names the zones that operators have drained. Such an order does not lose confidence by its age.
	DrainedZones []string `json:"Left"`
}

// Learnt is what is known of one upstream.
type EndpointStats struct {
	ID               EndpointID    `json:"ID"`
	ShareFactor      float64       `json:"Factor"`    // fraction of its traffic share that cuts have left
	ConcurrencyLimit float64       `json:"Bound"`     // concurrency limit, attempts
	Latency          float64       `json:"Latency"`   // mean latency, ns
	LatencyDeviation float64       `json:"Deviation"` // mean deviation of the latency, ns
	WorkUnits        float64       `json:"Units"`     // mean work of an answer, in mean requests
	ErrorRate        float64       `json:"Errors"`    // running mean of errors, 0 to 1
	LatencyEWMA      float64       `json:"Slow"`      // slow running mean of the latency for a unit of work, ns
	BaselineLatency  float64       `json:"Calm"`      // lowest value of that mean, ns
	WorkRate         float64       `json:"Work"`      // work sent in a period, running mean
	SlowStartUsed    float64       `json:"Spent"`     // slow-start budget in use, in units of work
	WarmingUp        bool          `json:"Cold"`      // in slow start
	Unresponsive     bool          `json:"Silent"`    // unresponsive
	WarmingSince     time.Duration `json:"ColdAt"`    // when slow start began
	Backoff          time.Duration `json:"Wait"`      // backoff before the next attempt
}

// LearntZone is what is known of a zone.
type ZoneStats struct {
	Name           string  `json:"Name"`
	Failed         bool    `json:"Failed"` // ejected on the evidence of its endpoints
	RecoveredShare float64 `json:"Back"`   // fraction of its traffic share that it has regained
	HoldPeriods    int     `json:"Hold"`   // how long a recovery step is held, in units of the shortest hold
}

// Snapshot tells what is known now. It shares nothing with the Balancer.
func (b *Balancer) TakeSnapshot(now time.Duration) Snapshot {
	k := Snapshot{TakenAt: now, Latency: b.lat, MeanCost: b.cost, ClassLatency: map[string]float64{}, LocalShare: b.stay, RegionShare: b.keep,
		WorkPerWeight: b.carry, MaxWorkPerWeight: b.most, Endpoints: make([]EndpointStats, 0, len(b.near))}
	for name, c := range b.classes {
		k.ClassLatency[name] = c.lat
	}
	for _, u := range b.near {
		if u.State == Removed || !u.member {
			continue
		}
		k.Endpoints = append(k.Endpoints, EndpointStats{ID: u.ID, ShareFactor: u.factor, ConcurrencyLimit: u.bound, Latency: u.lat, LatencyDeviation: u.latDev,
			WorkUnits: u.units, ErrorRate: u.errors, LatencyEWMA: u.slow, BaselineLatency: u.calm, WorkRate: u.work, SlowStartUsed: u.spent, WarmingUp: u.cold, Unresponsive: u.silent,
			WarmingSince: u.coldAt, Backoff: u.wait})
	}
	for _, z := range b.zones {
		if z.left {
			k.DrainedZones = append(k.DrainedZones, z.name)
		}
		k.Zones = append(k.Zones, ZoneStats{Name: z.name, Failed: z.failed, RecoveredShare: z.back, HoldPeriods: z.hold})
	}
	return k
}

// Restore takes up what another Balancer knew, as evidence of its age. It belongs after the first Members and before the
// first Request. What is not listed any more is passed over. An age under zero, of a clock that was set back, tells
// nothing of how old figures are: they are not used.
func (b *Balancer) Restore(now time.Duration, k Snapshot) {
	trust := trustOf(now - k.TakenAt)
	if trust > 0 && amount(k.Latency) && k.Latency > 0 {
		b.lat = k.Latency
		b.cost, b.carry, b.most = finite(k.MeanCost), finite(k.WorkPerWeight), finite(k.MaxWorkPerWeight)
		for name, c := range b.classes {
			c.lat = finite(k.ClassLatency[name])
		}
		if k.LocalShare > 0 && k.LocalShare <= 1 && k.RegionShare >= k.LocalShare && k.RegionShare <= 1 && b.stay > 0 {
			b.stay, b.keep = k.LocalShare, k.RegionShare
		}
	}
	for _, x := range k.Endpoints {
		if u := b.byID[x.ID]; u != nil && u.State == Active {
			b.recall(u, x, trust, now, k.TakenAt)
		}
	}
	for _, x := range k.Zones {
		if z := b.zoneOf(x.Name); trust > 0 {
			b.recallZone(z, x, now)
		}
	}
	for _, name := range k.DrainedZones {
		b.zoneOf(name).left = true
	}
	b.gather(now)
	b.lean(now)
	b.weigh()
}

// finite is x, or 0 where it is no amount.
func finite(x float64) float64 {
	if !amount(x) {
		return 0
	}
	return x
}
