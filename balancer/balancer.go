package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"sprucehill/internal/stats"
)

// Balancer decides for one balancer process. See the package comment for the contract.
type Balancer struct {
	settings    Settings
	effects     Effects
	log         eventLog
	rng         *rand.Rand
	classes     map[string]*class
	tenants     map[string]*tenant
	safestClass Idempotency
	tick        time.Duration // interval of queue processing and failure detection

	requests  map[RequestID]*request
	queue     requestQueue
	byID      map[EndpointID]*endpoint
	endpoints []*endpoint // in order of arrival
	subset    []*endpoint // those in use, and what has left the subset with attempts in flight
	zones     []*zone     // in order of arrival
	locality  locality

	fleetSize    FleetSize
	fleet        fleetStats
	latency      float64 // running mean over all responses, ns
	meanCost     float64 // of the cost hints, ns
	initialLimit float64 // an endpoint's concurrency limit before anything is known of it
	virtualTime  float64 // of the interleave

	periodStartedAt  time.Duration
	saturatedAt      time.Duration // last time that no endpoint could take a request
	lastAttemptAt    time.Duration
	blockedSince     time.Duration // the first request after the last attempt that no endpoint could take
	discoveryBackoff time.Duration
}

// locality is how much of the traffic stays close to the balancer.
type locality struct {
	home        *zone   // its own, once the first list has come
	localShare  float64 // fraction of the traffic that stays in the zone; 0: not begun
	regionShare float64 // fraction that stays in the region
	disabled    bool    // the subset is so small that locality would leave all to chance
}

// fleetStats is what the endpoints of the subset have in common, as of the last period.
type fleetStats struct {
	utilization      float64 // the median
	workPerWeight    float64 // work in a period that warm endpoints do for weight and utilization; 0: not known
	maxWorkPerWeight float64 // the most that one does for its weight and utilization
	baselineLatency  float64 // the lower quartile of the endpoints', ns
}

const (
	tickToken      = 1 // timers of the regular tick
	discoveryToken = 2 // timers of the next call to discovery
	noAttempt      = -1
)

// New returns a Balancer, or an error that names the setting that is wrong.
func New(settings Settings, seed uint64, now time.Duration, effects Effects) (*Balancer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	if effects == nil {
		return nil, settingsError("Effects is nil")
	}
	b := &Balancer{
		settings:        settings,
		effects:         effects,
		log:             eventLog{effects: effects, lastAt: map[logTopic]time.Duration{}},
		rng:             rand.New(rand.NewPCG(seed, 0)),
		classes:         map[string]*class{},
		tenants:         map[string]*tenant{},
		safestClass:     NonIdempotent,
		requests:        map[RequestID]*request{},
		byID:            map[EndpointID]*endpoint{},
		periodStartedAt: now,
		saturatedAt:     now,
		lastAttemptAt:   now,
	}
	shortest := settings.Classes[0].LatencyObjective
	for _, c := range settings.Classes {
		b.classes[c.Name] = &class{Class: c}
		b.safestClass = min(b.safestClass, c.Idempotency)
		shortest = min(shortest, c.LatencyObjective)
	}
	for _, t := range settings.Tenants {
		b.tenants[t.Name] = &tenant{updatedAt: now.Seconds()}
	}
	b.OnFleetSizeChanged(now, FleetSize{settings.Balancers, settings.Rank, settings.Balancers})
	b.setTiming(shortest)
	effects.SetTimer(b.tick, tickToken)
	if settings.PollDiscovery {
		effects.WatchEndpoints()
	}
	return b, nil
}

// OnFleetSizeChanged sets the number of balancers from now on. Counters and measurements stay.
func (b *Balancer) OnFleetSizeChanged(now time.Duration, size FleetSize) {
	b.fleetSize = FleetSize{
		Balancers:    max(size.Balancers, 1),
		Rank:         max(size.Rank, 0),
		MaxBalancers: max(size.MaxBalancers, size.Balancers, 1),
	}
	for _, t := range b.settings.Tenants {
		b.tenants[t.Name].rate = t.Quota / float64(b.fleetSize.MaxBalancers)
	}
	b.rebuildSubset(now)
}

// OnTimer handles a timer that the Balancer has set.
func (b *Balancer) OnTimer(now time.Duration, token uint64) {
	if token != tickToken { // discoveryToken; an unknown one must not start a second row of ticks
		b.effects.WatchEndpoints()
		return
	}
	b.effects.SetTimer(b.tick, tickToken)
	if now-b.periodStartedAt >= bandPeriod {
		b.closePeriod(now)
	}
	for _, e := range b.subset {
		b.detectUnresponsive(e, now)
		b.requestHealthCheck(e, now)
	}
	b.updateZoneHealth(now)
	b.dispatchQueue(now)
}

// closePeriod ends a band period: it adjusts traffic shares and recomputes everything that is computed once a period.
func (b *Balancer) closePeriod(now time.Duration) {
	for _, e := range b.subset {
		b.integrateBand(e, now)
		e.work.closePeriod()
	}
	b.adjustShares()
	b.raiseLimitCeilings()
	b.periodStartedAt = now
	b.updateFleetStats()
	b.forgetRemoved()
	b.rebuildSubset(now)
	b.updateLocality(now)
	b.advanceRecovery()
	b.estimateWorkPerWeight()
}

// forgetRemoved drops endpoints that are removed and have no attempt in flight.
func (b *Balancer) forgetRemoved() {
	b.endpoints = slices.DeleteFunc(b.endpoints, func(e *endpoint) bool {
		forgotten := e.State == Removed && len(e.attempts) == 0
		if forgotten {
			delete(b.byID, e.ID)
		}
		return forgotten
	})
}

// requestHealthCheck asks for an endpoint's load report once a period, where reports come with health checks.
func (b *Balancer) requestHealthCheck(e *endpoint, now time.Duration) {
	needed := b.settings.Reports == ReportInHealthChecks && b.settings.Limits.AllowHealthChecks
	if needed && e.inSubset && now-e.healthCheckedAt >= bandPeriod {
		e.healthCheckedAt = now
		b.effects.HealthCheck(e.ID)
	}
}

// OnHealthCheckResult takes a health check's result: a reading only, since a process that answers it may serve nothing
// else.
func (b *Balancer) OnHealthCheckResult(now time.Duration, result HealthCheckResult) {
	e := b.byID[result.Endpoint]
	if e != nil && result.Status == OK {
		b.recordUtilization(e, result.Load.clean(), 0, now)
	}
}

// valueAbove is the value over one in n of the endpoints that have readings: the median for n = 2.
func (b *Balancer) valueAbove(n int, value func(*endpoint) float64) float64 {
	samples := make([]float64, 0, len(b.subset)+1)
	for _, e := range b.subset {
		if e.inSubset && e.utilization.readings > 0 {
			samples = append(samples, value(e))
		}
	}
	return stats.ValueAbove(n, samples)
}

// OnEndpointUpdate handles a list of endpoints from discovery, or a failed call.
func (b *Balancer) OnEndpointUpdate(now time.Duration, mode UpdateMode, list []Endpoint) {
	if mode == UpdateFailed {
		b.retryDiscovery(now)
		return
	}
	b.discoveryBackoff = 0
	listed := make(map[EndpointID]bool, len(list))
	for _, entry := range list {
		listed[entry.ID] = true
		b.applyEndpoint(entry.clean(), now)
	}
	for _, e := range b.endpoints {
		if mode != UpdateDelta && !listed[e.ID] {
			e.State = Removed
		}
	}
	b.rebuildSubset(now)
	if b.locality.localShare == 0 { // not begun
		b.updateLocality(now)
	}
	b.dispatchQueue(now)
}

// drawWait draws a wait up to a bound, so that balancers do not act in step.
func (b *Balancer) drawWait(longest time.Duration) time.Duration {
	return time.Duration(b.rng.Int64N(int64(longest) + 1))
}
