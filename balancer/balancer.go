package balancer

import (
	"math/rand/v2"
	"time"
)

// Balancer decides for one balancer process. See the package comment for the contract.
type Balancer struct {
	settings        Settings
	effects         Effects
	log             eventLog
	rng             *rand.Rand
	tick            time.Duration // interval of queue processing and failure detection
	periodStartedAt time.Duration // start of the present bandPeriod

	clients   clientTable
	requests  map[RequestID]*request
	queue     requestQueue
	blocking  blockingTimes
	endpoints endpointSet
	balancers FleetSize // how many balancers there are, and which of them this one is
	turns     turnOrder
	means     trafficMeans
	locality  locality
	discovery discoveryRetry
}

// clientTable is what the settings say of requests, with what has been measured of them.
type clientTable struct {
	classes     map[string]*class
	tenants     map[string]*tenant
	safestClass Idempotency // the safest kind of idempotency that a class has
}

// trafficMeans holds running means over all requests and responses.
type trafficMeans struct {
	latency  float64 // of responses, ns
	costHint float64 // of requests that have one, ns
}

// locality is how much of the traffic stays close to the balancer.
type locality struct {
	home        *zone   // its own, once the first list has come
	localShare  float64 // fraction of the traffic that stays in the zone; 0: not begun
	regionShare float64 // fraction that stays in the region
	disabled    bool    // the subset is so small that locality would leave all to chance
}

// discoveryRetry is the state of repeated calls to discovery.
type discoveryRetry struct {
	backoff time.Duration // 0 after a successful call
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
		periodStartedAt: now,
		clients:         newClientTable(settings, now),
		requests:        map[RequestID]*request{},
		blocking:        blockingTimes{saturatedAt: now, lastAttemptAt: now},
		endpoints:       endpointSet{byID: map[EndpointID]*endpoint{}},
	}
	b.OnFleetSizeChanged(now, FleetSize{settings.Balancers, settings.Rank, settings.Balancers})
	b.setTiming(settings.shortestObjective())
	effects.SetTimer(b.tick, tickToken)
	if settings.PollDiscovery {
		effects.WatchEndpoints()
	}
	return b, nil
}

// newClientTable returns the table of the classes and tenants of the settings.
func newClientTable(settings Settings, now time.Duration) clientTable {
	t := clientTable{classes: map[string]*class{}, tenants: map[string]*tenant{}, safestClass: NonIdempotent}
	for _, c := range settings.Classes {
		t.classes[c.Name] = &class{Class: c}
		t.safestClass = min(t.safestClass, c.Idempotency)
	}
	for _, entry := range settings.Tenants {
		t.tenants[entry.Name] = &tenant{updatedAt: now.Seconds()}
	}
	return t
}

// shortestObjective is the shortest latency objective of the classes.
func (s Settings) shortestObjective() time.Duration {
	shortest := s.Classes[0].LatencyObjective
	for _, c := range s.Classes {
		shortest = min(shortest, c.LatencyObjective)
	}
	return shortest
}

// OnFleetSizeChanged sets the number of balancers from now on. Counters and measurements stay.
func (b *Balancer) OnFleetSizeChanged(now time.Duration, size FleetSize) {
	b.balancers = FleetSize{
		Balancers:    max(size.Balancers, 1),
		Rank:         max(size.Rank, 0),
		MaxBalancers: max(size.MaxBalancers, size.Balancers, 1),
	}
	for _, t := range b.settings.Tenants {
		b.clients.tenants[t.Name].rate = t.Quota / float64(b.balancers.MaxBalancers)
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
	for _, e := range b.endpoints.tracked {
		b.detectUnresponsive(e, now)
		b.requestHealthCheck(e, now)
	}
	b.updateZoneHealth(now)
	b.dispatchQueue(now)
}

// closePeriod ends a band period: it adjusts traffic shares and recomputes everything that is computed once a period.
func (b *Balancer) closePeriod(now time.Duration) {
	for _, e := range b.endpoints.tracked {
		b.integrateBand(e, now)
		e.work.closePeriod()
	}
	b.endpoints.adjustShares()
	b.endpoints.raiseLimitCeilings()
	b.periodStartedAt = now
	b.endpoints.updateStats()
	b.endpoints.forgetRemoved()
	b.rebuildSubset(now)
	b.updateLocality(now)
	b.advanceRecovery()
	b.endpoints.estimateWorkPerWeight()
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
	e := b.endpoints.byID[result.Endpoint]
	if e != nil && result.Status == OK {
		b.recordUtilization(e, result.Load.clean(), 0, now)
	}
}

// OnEndpointUpdate handles a list of endpoints from discovery, or a failed call.
func (b *Balancer) OnEndpointUpdate(now time.Duration, mode UpdateMode, list []Endpoint) {
	if mode == UpdateFailed {
		b.retryDiscovery(now)
		return
	}
	b.discovery.backoff = 0
	listed := make(map[EndpointID]bool, len(list))
	for _, entry := range list {
		listed[entry.ID] = true
		b.applyEndpoint(entry.clean(), now)
	}
	for _, e := range b.endpoints.known {
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
