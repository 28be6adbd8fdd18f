package balancer

import "time"

// Snapshot is the learned state of a Balancer, to be restored by its successor. It contains no requests: what was in flight
// when a process ended is never sent again. Times are on the owner's clock.
type Snapshot struct {
	TakenAt          time.Duration      `json:"At"`
	Latency          float64            `json:"Latency"` // mean latency, ns
	MeanCostHint     float64            `json:"Cost"`    // mean cost hint, ns
	ClassLatency     map[string]float64 `json:"Classes"` // mean latency of each class, ns, by name
	LocalShare       float64            `json:"Stay"`    // fraction of the traffic that stays in the zone
	RegionShare      float64            `json:"Keep"`    // fraction of the traffic that stays in the region
	WorkPerWeight    float64            `json:"Carry"`   // work per weight of warm endpoints in a period at full utilization
	MaxWorkPerWeight float64            `json:"Most"`    // the same of the endpoint with the most work per weight
	Endpoints        []EndpointStats    `json:"Upstreams"`
	Zones            []ZoneStats        `json:"Zones"`
	// DrainedZones names the zones drained by operators. They are restored whatever the age of the snapshot.
	DrainedZones []string `json:"Left"`
}

// EndpointStats is the saved state of an endpoint.
type EndpointStats struct {
	ID               EndpointID    `json:"ID"`
	ShareFactor      float64       `json:"Factor"`    // fraction of the traffic share left after cuts
	ConcurrencyLimit float64       `json:"Bound"`     // concurrency limit, attempts
	Latency          float64       `json:"Latency"`   // mean latency, ns
	LatencyDeviation float64       `json:"Deviation"` // mean absolute deviation of the latency, ns
	WorkUnits        float64       `json:"Units"`     // mean work of a response, in mean requests
	ErrorRate        float64       `json:"Errors"`    // moving average of errors, 0 to 1
	LatencyEWMA      float64       `json:"Slow"`      // slower moving average of the latency per unit of work, ns
	BaselineLatency  float64       `json:"Calm"`      // lowest value of that average, ns
	MeanPeriodWork   float64       `json:"Work"`      // moving average of the work sent in a period, in mean requests
	SlowStartUsed    float64       `json:"Spent"`     // slow-start budget in use, in mean requests
	WarmingUp        bool          `json:"Cold"`      // in slow start
	Unresponsive     bool          `json:"Silent"`    // ejected as unresponsive
	WarmingSince     time.Duration `json:"ColdAt"`    // when slow start began
	Backoff          time.Duration `json:"Wait"`      // backoff before the next trial or attempt
}

// ZoneStats is the saved state of a zone.
type ZoneStats struct {
	Name           string  `json:"Name"`
	Ejected        bool    `json:"Failed"` // ejected on the evidence of its endpoints
	RecoveredShare float64 `json:"Back"`   // recovered fraction of the traffic share
	StepMultiple   int     `json:"Hold"`   // duration of a recovery step, in units of the shortest one
}

// TakeSnapshot returns the current state. The result shares no memory with the Balancer.
func (b *Balancer) TakeSnapshot(now time.Duration) Snapshot {
	snapshot := Snapshot{
		TakenAt:          now,
		Latency:          b.means.latency,
		MeanCostHint:     b.means.costHint,
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

// stats returns the state of the endpoint for a snapshot.
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
		MeanPeriodWork:   e.work.mean,
		SlowStartUsed:    e.slowStart.budget.Level,
		WarmingUp:        e.slowStart.active,
		Unresponsive:     e.outlier.unresponsive,
		WarmingSince:     e.slowStart.since,
		Backoff:          e.outlier.backoff,
	}
}

// stats returns the state of the zone for a snapshot.
func (z *zone) stats() ZoneStats {
	return ZoneStats{
		Name:           z.name,
		Ejected:        z.health.ejected,
		RecoveredShare: z.health.recoveredShare,
		StepMultiple:   z.health.stepMultiple,
	}
}

// Restore restores a snapshot of an earlier Balancer; the older it is, the less weight its measurements have. It must be
// called after the first OnEndpointUpdate and before the first OnRequest. Endpoints that are no longer listed are ignored.
// Only drained zones and slow starts are restored from a snapshot that is older than snapshotLifetime, or has a negative age
// because a clock was set back.
func (b *Balancer) Restore(now time.Duration, snapshot Snapshot) {
	recent := confidence(now-snapshot.TakenAt) > 0
	if recent && isFiniteNonNegative(snapshot.Latency) && snapshot.Latency > 0 {
		b.restoreFleet(snapshot)
	}
	for _, saved := range snapshot.Endpoints {
		e := b.endpoints.byID[saved.ID]
		if e != nil && e.State == Active {
			b.restoreEndpoint(e, saved, now, snapshot.TakenAt)
		}
	}
	for _, saved := range snapshot.Zones {
		z := b.endpoints.findOrAddZone(saved.Name)
		if recent {
			b.restoreZone(z, saved, now)
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
	b.means.costHint = finiteOrZero(snapshot.MeanCostHint)
	b.endpoints.stats.workPerWeight = finiteOrZero(snapshot.WorkPerWeight)
	b.endpoints.stats.maxWorkPerWeight = finiteOrZero(snapshot.MaxWorkPerWeight)
	for name, c := range b.clients.classes {
		c.latency = finiteOrZero(snapshot.ClassLatency[name])
	}
	local, region := snapshot.LocalShare, snapshot.RegionShare
	if local > 0 && local <= 1 && region >= local && region <= 1 && b.locality.localShare > 0 {
		b.locality.localShare = local
		b.locality.regionShare = region
	}
}

// finiteOrZero returns x, or 0 if x is negative or not finite.
func finiteOrZero(x float64) float64 {
	if !isFiniteNonNegative(x) {
		return 0
	}
	return x
}

// latencyStats returns the saved latency values. The caller checks Latency and WorkUnits.
func (s EndpointStats) latencyStats() latencyStats {
	return latencyStats{
		mean:      s.Latency,
		deviation: finiteOrZero(s.LatencyDeviation),
		workUnits: s.WorkUnits,
		smoothed:  finiteOrZero(s.LatencyEWMA),
		baseline:  finiteOrZero(s.BaselineLatency),
	}
}
