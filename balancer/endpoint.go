package balancer

import (
	"cmp"
	"slices"
	"time"

	"sprucehill/internal/leakybucket"
	"sprucehill/internal/ring"
	"sprucehill/internal/stats"
)

// endpoint is what this balancer knows of one endpoint.
type endpoint struct {
	Endpoint
	zone            *zone
	inSubset        bool
	ringPosition    uint64
	weight          float64 // for routing; 1 is a mean endpoint's
	shareFactor     float64 // fraction of its traffic share that cuts have left, minShareFactor to 1
	nextTurn        float64 // in the virtual time of the interleave
	healthCheckedAt time.Duration
	attempts        []*attempt // in flight, in order of sending
	utilization     bandWindow
	latency         latencyStats
	work            workStats
	limit           concurrencyLimiter
	slowStart       slowStart
	outlier         outlierState
}

// bandWindow holds the Bollinger bands of an endpoint's utilization: a moving window of readings, and the integral of the
// bands' width over the present period.
type bandWindow struct {
	window       [bandWindowReadings]float64
	readings     int // so far
	mean         float64
	deviation    float64
	area         float64 // of the band gap since the period began, in full utilization x bandPeriod
	integratedAt time.Duration
	lastReport   LoadReport
}

// add records a reading of utilization, 0 to 1.
func (w *bandWindow) add(reading float64) {
	w.window[w.readings%bandWindowReadings] = reading
	w.readings++
	w.mean, w.deviation = stats.MeanDeviation(w.window[:min(w.readings, bandWindowReadings)])
}

// reset forgets all readings.
func (w *bandWindow) reset() {
	w.readings = 0
	w.mean = 0
	w.deviation = 0
	w.area = 0
}

// latencyStats holds running means of an endpoint's latency, ns. A mean of 0 has no sample yet.
type latencyStats struct {
	mean      float64
	deviation float64 // mean absolute deviation
	workUnits float64 // mean work of its responses, in mean requests
	smoothed  float64 // slow mean of the latency for a unit of work
	baseline  float64 // the lowest value of that mean; it drifts up slowly
}

// perUnit is the latency for a unit of work, ns.
func (l *latencyStats) perUnit() float64 { return l.mean / l.workUnits }

// workStats counts the work that is sent to an endpoint, in mean requests.
type workStats struct {
	period float64 // in the present period
	mean   float64 // of a period, running mean
}

// concurrencyLimiter bounds the attempts in flight at one endpoint.
type concurrencyLimiter struct {
	current      float64       // attempts; below 1 there are pauses between single attempts
	ceiling      float64       // the limit grows up to this in the present period
	reducedAt    time.Duration // last time that it was lowered
	pausedUntil  time.Duration
	missedTurnAt time.Duration // last time that a turn of a local endpoint went elsewhere for its limit
}

// slowStart is the state of an endpoint that has started a short time ago.
type slowStart struct {
	active bool
	since  time.Duration
	budget leakybucket.Bucket // work sent to it, in mean requests
}

// outlierState is the evidence on whether an endpoint serves at all.
type outlierState struct {
	unresponsive     bool
	nextTrialAt      time.Duration
	unreachableUntil time.Duration
	backoff          time.Duration // before the next trial, or the next connection after one has failed
	respondedAt      time.Duration
	failedAt         time.Duration
	errorRate        float64 // running mean of errors and broken connections, 0 to 1
}

// oldestAttempt is the attempt that has waited longest for a response, or nil.
func (e *endpoint) oldestAttempt() *attempt {
	i := slices.IndexFunc(e.attempts, func(a *attempt) bool { return !a.uploading })
	if i < 0 {
		return nil
	}
	return e.attempts[i]
}

// addEndpoint begins to keep track of an endpoint.
func (b *Balancer) addEndpoint(entry Endpoint, now time.Duration) *endpoint {
	e := &endpoint{weight: entry.Weight, shareFactor: 1, ringPosition: ring.Position(uint64(entry.ID))}
	e.limit.ceiling = initialFleetLimitAttempts
	e.limit.reducedAt = now
	e.limit.pausedUntil = now
	e.slowStart.budget.At = now
	e.outlier.backoff = b.tick
	e.outlier.respondedAt = now
	b.endpoints.byID[entry.ID] = e
	b.endpoints.known = append(b.endpoints.known, e)
	return e
}

// waitingTime returns how long the oldest attempt has been waiting without any response from the endpoint.
func (e *endpoint) waitingTime(oldest *attempt, now time.Duration) time.Duration {
	return now - max(oldest.sentAt, e.outlier.respondedAt)
}

// isOnTrial reports whether an endpoint, or its zone, is ejected, so that it gets trials only.
func (e *endpoint) isOnTrial() bool { return e.zone.health.ejected || e.outlier.unresponsive }

// markResponsive records a response, which ends ejection and backoff.
func (b *Balancer) markResponsive(e *endpoint, now time.Duration) {
	e.outlier.unresponsive = false
	e.outlier.respondedAt = now
	e.outlier.backoff = b.tick
	e.outlier.unreachableUntil = now
}

// closePeriod adds the present period to the running mean and begins the next one.
func (w *workStats) closePeriod() {
	w.mean += smoothingFactor * (w.period - w.mean)
	w.period = 0
}

// forgetMeasurements drops latency, utilization and errors.
func (e *endpoint) forgetMeasurements() {
	e.latency = latencyStats{}
	e.utilization.reset()
	e.outlier.errorRate = 0
}

// joinSubset prepares an endpoint that comes into use. Its first turn is drawn, so that balancers do not act in step.
func (b *Balancer) joinSubset(e *endpoint, wanted float64, now time.Duration) {
	first := b.rng.Float64()
	e.limit.current = cmp.Or(e.limit.current, b.endpoints.initialLimit)
	e.utilization.integratedAt = now
	e.nextTurn = b.turns.virtualTime + first*wanted
	e.limit.pausedUntil = max(e.limit.pausedUntil, now+time.Duration(first*float64(b.attemptInterval(e))))
	e.slowStart.budget = leakybucket.Bucket{Level: first, At: now}
	e.healthCheckedAt = now - time.Duration(first*float64(bandPeriod))
}
