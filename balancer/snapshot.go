package balancer

import "time"

// Snapshot is what a Balancer knows, to be restored by one that is started after it. It has no requests: what was
// in flight when a process ended is never sent again. Times are on the owner's clock.
type Snapshot struct {
	TakenAt          time.Duration      `json:"At"`      // when it was taken
	Latency          float64            `json:"Latency"` // usual latency, ns
	MeanCost         float64            `json:"Cost"`    // mean cost hint, ns
	ClassLatency     map[string]float64 `json:"Classes"` // usual latency of each class, ns, by name
	LocalShare       float64            `json:"Stay"`    // fraction of the traffic that stays in the zone
	RegionShare      float64            `json:"Keep"`    // fraction of the traffic that stays in the region
	WorkPerWeight    float64            `json:"Carry"`   // work a period that warm endpoints do for weight and utilization
	MaxWorkPerWeight float64            `json:"Most"`    // the most that one endpoint does
	Endpoints        []EndpointStats    `json:"Upstreams"`
	Zones            []ZoneStats        `json:"Zones"`
	// DrainedZones names the zones that operators have drained. Such an order does not lose confidence by its age.
	DrainedZones []string `json:"Left"`
}

// EndpointStats is what is known of one endpoint.
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

// ZoneStats is what is known of a zone.
type ZoneStats struct {
	Name           string  `json:"Name"`
	Failed         bool    `json:"Failed"` // ejected on the evidence of its endpoints
	RecoveredShare float64 `json:"Back"`   // fraction of its traffic share that it has regained
	HoldPeriods    int     `json:"Hold"`   // how long a recovery step lasts, in units of the shortest time
}

// TakeSnapshot returns what is known now. It shares nothing with the Balancer.
func (b *Balancer) TakeSnapshot(now time.Duration) Snapshot {
	snapshot := Snapshot{
		TakenAt:          now,
		Latency:          b.means.latency,
		MeanCost:         b.means.costHint,
		ClassLatency:     map[string]float64{},
		LocalShare:       b.locality.localShare,
		RegionShare:      b.locality.regionShare,
		WorkPerWeight:    b.endpoints.stats.workPerWeight,
		MaxWorkPerWeight: b.endpoints.stats.maxWorkPerWeight,
		Endpoints:        make([]EndpointStats, 0, len(b.endpoints.tracked)),
	}
	for name, c := range b.clients.classes {
		snapshot.ClassLatency[name] = c.latency
	}
	for e := range b.endpoints.inUse() {
		if e.State != Removed {
			snapshot.Endpoints = append(snapshot.Endpoints, e.stats())
		}
	}
	for _, z := range b.endpoints.zones {
		if z.drained {
			snapshot.DrainedZones = append(snapshot.DrainedZones, z.name)
		}
		snapshot.Zones = append(snapshot.Zones, z.stats())
	}
	return snapshot
}

// stats is what is known of an endpoint.
func (e *endpoint) stats() EndpointStats {
	return EndpointStats{
		ID:               e.ID,
		ShareFactor:      e.shareFactor,
		ConcurrencyLimit: e.limit.current,
		Latency:          e.latency.mean,
		LatencyDeviation: e.latency.deviation,
		WorkUnits:        e.latency.workUnits,
		ErrorRate:        e.outlier.errorRate,
		LatencyEWMA:      e.latency.smoothed,
		BaselineLatency:  e.latency.baseline,
		WorkRate:         e.work.mean,
		SlowStartUsed:    e.slowStart.budget.Level,
		WarmingUp:        e.slowStart.active,
		Unresponsive:     e.outlier.unresponsive,
		WarmingSince:     e.slowStart.since,
		Backoff:          e.outlier.backoff,
	}
}

// stats is what is known of a zone.
func (z *zone) stats() ZoneStats {
	return ZoneStats{
		Name:           z.name,
		Failed:         z.health.ejected,
		RecoveredShare: z.health.recoveredShare,
		HoldPeriods:    z.health.stepMultiple,
	}
}

// Restore takes up what another Balancer knew, as evidence of its age. It belongs after the first OnEndpointUpdate and
// before the first OnRequest. Endpoints that are not listed any more are ignored. An age below zero, of a clock that was
// set back, says nothing of the real age: nothing but drained zones and slow starts is restored then.
func (b *Balancer) Restore(now time.Duration, snapshot Snapshot) {
	trusted := confidence(now-snapshot.TakenAt) > 0
	if trusted && isAmount(snapshot.Latency) && snapshot.Latency > 0 {
		b.restoreFleet(snapshot)
	}
	for _, known := range snapshot.Endpoints {
		e := b.endpoints.byID[known.ID]
		if e != nil && e.State == Active {
			b.restoreEndpoint(e, known, now, snapshot.TakenAt)
		}
	}
	for _, known := range snapshot.Zones {
		z := b.endpoints.findOrAddZone(known.Name)
		if trusted {
			b.restoreZone(z, known, now)
		}
	}
	for _, name := range snapshot.DrainedZones {
		b.endpoints.findOrAddZone(name).drained = true
	}
	b.rebuildSubset(now)
	b.updateLocality(now)
	b.endpoints.estimateWorkPerWeight()
}

// restoreFleet restores the statistics over all endpoints.
func (b *Balancer) restoreFleet(snapshot Snapshot) {
	b.means.latency = snapshot.Latency
	b.means.costHint = finite(snapshot.MeanCost)
	b.endpoints.stats.workPerWeight = finite(snapshot.WorkPerWeight)
	b.endpoints.stats.maxWorkPerWeight = finite(snapshot.MaxWorkPerWeight)
	for name, c := range b.clients.classes {
		c.latency = finite(snapshot.ClassLatency[name])
	}
	local, region := snapshot.LocalShare, snapshot.RegionShare
	if local > 0 && local <= 1 && region >= local && region <= 1 && b.locality.localShare > 0 {
		b.locality.localShare = local
		b.locality.regionShare = region
	}
}

// finite is x, or 0 where it is negative or not finite.
func finite(x float64) float64 {
	if !isAmount(x) {
		return 0
	}
	return x
}

// latencyStats is the latency part of what was known.
func (s EndpointStats) latencyStats() latencyStats {
	return latencyStats{
		mean:      s.Latency,
		deviation: finite(s.LatencyDeviation),
		workUnits: s.WorkUnits,
		smoothed:  finite(s.LatencyEWMA),
		baseline:  finite(s.BaselineLatency),
	}
}
