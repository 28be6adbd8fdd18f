package balancer

import (
	"math/rand/v2"
	"time"
)

// Balancer makes the routing decisions of one balancer process. See the package comment for the contract.
type Balancer struct {
	settings        Settings
	effects         Effects
	log             eventLog
	rng             *rand.Rand
	tick            time.Duration // interval of queue processing and failure detection
	periodStartedAt time.Duration // start of the current bandPeriod

	clients   clientTable
	requests  map[RequestID]*request
	queue     requestQueue
	blocking  blockingTimes
	endpoints endpointSet
	balancers FleetSize
	turns     turnOrder
	means     trafficMeans
	locality  locality
	discovery discoveryRetry
}

// clientTable holds the request classes and tenants of the settings with their statistics, by name.
type clientTable struct {
	classes           map[string]*class
	tenants           map[string]*tenant
	safestIdempotency Idempotency // of all classes
}

// trafficMeans holds moving averages over all requests and responses.
type trafficMeans struct {
	latency  float64 // of responses, ns
	costHint float64 // of requests that have one, ns
}

// locality is the state of locality-aware routing.
type locality struct {
	home        *zone   // the balancer's own zone; nil before the first endpoint list
	localShare  float64 // fraction of the traffic that stays in the zone; 0: locality-aware routing is off
	regionShare float64 // fraction of the traffic that stays in the region
	disabled    bool    // the subset is so small that its endpoints' zones are a matter of chance
}

// discoveryRetry is the backoff state of failed calls to discovery.
type discoveryRetry struct {
	backoff time.Duration // 0 after a successful call
}

const (
	tickToken      = 1  // timer of the regular tick
	discoveryToken = 2  // timer of the next call to discovery
	noAttempt      = -1 // for finishRequest: no attempt has answered the request
)

// New returns a Balancer, or an error that wraps ErrSettings and names the invalid setting.
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

func newClientTable(settings Settings, now time.Duration) clientTable {
	t := clientTable{classes: map[string]*class{}, tenants: map[string]*tenant{}, safestIdempotency: NonIdempotent}
	for _, c := range settings.Classes {
		t.classes[c.Name] = &class{Class: c}
		t.safestIdempotency = min(t.safestIdempotency, c.Idempotency)
	}
	for _, entry := range settings.Tenants {
		t.tenants[entry.Name] = &tenant{updatedAt: now.Seconds()}
	}
	return t
}

// shortestObjective returns the shortest latency objective of all classes.
func (s Settings) shortestObjective() time.Duration {
	shortest := s.Classes[0].LatencyObjective
	for _, c := range s.Classes {
		shortest = min(shortest, c.LatencyObjective)
	}
	return shortest
}

// OnFleetSizeChanged sets the number of balancers and adapts quotas and the subset. Counters and measurements are kept.
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

// OnTimer handles the expiry of a timer set by Effects.SetTimer.
func (b *Balancer) OnTimer(now time.Duration, token uint64) {
	if token != tickToken { // discoveryToken, or an unknown one, which must not start a second series of ticks
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

// closePeriod ends a band period: it adjusts traffic shares and recomputes all per-period statistics.
func (b *Balancer) closePeriod(now time.Duration) {
	for _, e := range b.endpoints.tracked {
		b.integrateBand(e, now)
		e.work.closePeriod()
	}
	b.endpoints.adjustShares()
	b.endpoints.raiseLimitCeilings()
	b.periodStartedAt = now
	b.endpoints.updateStats()
	b.endpoints.dropRemoved()
	b.rebuildSubset(now)
	b.updateLocality(now)
	b.advanceRecovery()
	b.endpoints.estimateWorkPerWeight()
}

// requestHealthCheck starts a health check of an endpoint once per period if load reports come with health checks only.
func (b *Balancer) requestHealthCheck(e *endpoint, now time.Duration) {
	needed := b.settings.Reports == ReportInHealthChecks && b.settings.Limits.AllowHealthChecks
	if needed && e.inSubset && now-e.healthCheckedAt >= bandPeriod {
		e.healthCheckedAt = now
		b.effects.HealthCheck(e.ID)
	}
}

// OnHealthCheckResult records the load report of a successful health check. The result is no evidence that the endpoint is
// healthy, because a process that answers health checks may fail all other requests.
func (b *Balancer) OnHealthCheckResult(now time.Duration, result HealthCheckResult) {
	e := b.endpoints.byID[result.Endpoint]
	if e != nil && result.Status == OK {
		b.recordUtilization(e, result.Load.sanitized(), 0, now)
	}
}

// OnEndpointUpdate applies an endpoint list from discovery, or schedules a retry after a failed call.
func (b *Balancer) OnEndpointUpdate(now time.Duration, mode UpdateMode, list []Endpoint) {
	if mode == UpdateFailed {
		b.retryDiscovery(now)
		return
	}
	b.discovery.backoff = 0
	listed := make(map[EndpointID]bool, len(list))
	for _, entry := range list {
		listed[entry.ID] = true
		b.applyEndpoint(entry.sanitized(), now)
	}
	for _, e := range b.endpoints.known {
		if mode != UpdateDelta && !listed[e.ID] {
			e.State = Removed
		}
	}
	b.rebuildSubset(now)
	if b.locality.localShare == 0 {
		b.updateLocality(now)
	}
	b.dispatchQueue(now)
}

// randomDelay returns a uniformly distributed delay up to longest, so that balancers do not act in lockstep.
func (b *Balancer) randomDelay(longest time.Duration) time.Duration {
	return time.Duration(b.rng.Int64N(int64(longest) + 1))
}
