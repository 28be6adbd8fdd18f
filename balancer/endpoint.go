package balancer

import (
	"cmp"
	"slices"
	"time"

	"sprucehill/internal/leakybucket"
	"sprucehill/internal/ring"
	"sprucehill/internal/stats"
)

// endpoint is the state of one endpoint.
//
// Work is counted in mean requests. One unit is the expected work of a request whose cost hint equals the mean
// of all cost hints or, without a hint, of a request whose class has the mean latency of all responses.
type endpoint struct {
	Endpoint
	zone            *zone
	inSubset        bool
	ringPosition    uint64
	weight          float64 // capacity used for routing, see WeightKind; 1 for an average endpoint
	shareFactor     float64 // fraction of the traffic share left after cuts, minShareFactor to 1
	nextTurn        float64 // virtual time at which its next turn is due
	healthCheckedAt time.Duration
	attempts        []*attempt // in flight, in the order in which they were sent
	utilization     bandWindow
	latency         latencyStats
	work            workStats
	limit           concurrencyLimiter
	slowStart       slowStart
	outlier         outlierState
}

// bandWindow holds the Bollinger bands of an endpoint's utilization: a moving window of readings, and the integral of the
// band gap over the current period.
type bandWindow struct {
	window       [bandWindowReadings]float64
	readings     int // number of readings since the last reset
	mean         float64
	deviation    float64
	area         float64 // integral of the band gap since the period began; a gap of 1 for one bandPeriod adds 1
	integratedAt time.Duration
	lastReport   LoadReport
}

// add records a reading of utilization, 0 to 1.
func (w *bandWindow) add(reading float64) {
	w.window[w.readings%bandWindowReadings] = reading
	w.readings++
	w.mean, w.deviation = stats.MeanStdDev(w.window[:min(w.readings, bandWindowReadings)])
}

// reset discards all readings.
func (w *bandWindow) reset() {
	w.readings = 0
	w.mean = 0
	w.deviation = 0
	w.area = 0
}

// latencyStats holds moving averages of an endpoint's latency in ns. An average of 0 has no sample yet.
type latencyStats struct {
	mean      float64
	deviation float64 // mean absolute deviation
	workUnits float64 // moving average of the work per response, in mean requests
	smoothed  float64 // slower moving average of the latency per unit of work
	baseline  float64 // lowest value of smoothed; drifts up slowly
}

// perUnit returns the latency per unit of work in ns.
func (l *latencyStats) perUnit() float64 { return l.mean / l.workUnits }

// workStats measures the work sent to an endpoint, in mean requests.
type workStats struct {
	period float64 // in the current period
	mean   float64 // moving average over periods
}

// concurrencyLimiter limits the attempts in flight at one endpoint.
type concurrencyLimiter struct {
	current      float64       // attempts; below 1, single attempts are separated by pauses
	ceiling      float64       // upper bound of current in this period
	reducedAt    time.Duration // last reduction
	pausedUntil  time.Duration
	missedTurnAt time.Duration // last time its turn went to an endpoint of another zone because of its limit
}

// slowStart is the slow-start state of an endpoint.
type slowStart struct {
	active bool
	since  time.Duration
	budget leakybucket.Bucket // counts the work sent to the endpoint, in mean requests
}

// outlierState is the evidence used to detect failed endpoints.
type outlierState struct {
	unresponsive     bool
	nextTrialAt      time.Duration
	unreachableUntil time.Duration
	backoff          time.Duration // before the next trial, or before the next attempt after a failed connection
	respondedAt      time.Duration
	failedAt         time.Duration
	errorRate        float64 // moving average of errors and lost connections, 0 to 1
}

// oldestAttempt returns the attempt that has waited longest for a response, or nil.
func (e *endpoint) oldestAttempt() *attempt {
	i := slices.IndexFunc(e.attempts, func(a *attempt) bool { return !a.uploading })
	if i < 0 {
		return nil
	}
	return e.attempts[i]
}

// addEndpoint adds a newly listed endpoint with its initial state.
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

// waitingTime returns how long the oldest attempt has waited without any response from the endpoint.
func (e *endpoint) waitingTime(oldest *attempt, now time.Duration) time.Duration {
	return now - max(oldest.sentAt, e.outlier.respondedAt)
}

// isOnTrial reports whether the endpoint or its zone is ejected, so that it gets trial requests only.
func (e *endpoint) isOnTrial() bool { return e.zone.health.ejected || e.outlier.unresponsive }

// markResponsive records a response of an endpoint, which ends its ejection and backoff.
func (b *Balancer) markResponsive(e *endpoint, now time.Duration) {
	e.outlier.unresponsive = false
	e.outlier.respondedAt = now
	e.outlier.backoff = b.tick
	e.outlier.unreachableUntil = now
}

// closePeriod adds the current period to the moving average and begins the next period.
func (w *workStats) closePeriod() {
	w.mean += smoothingFactor * (w.period - w.mean)
	w.period = 0
}

// resetMeasurements discards latency, utilization and error rate.
func (e *endpoint) resetMeasurements() {
	e.latency = latencyStats{}
	e.utilization.reset()
	e.outlier.errorRate = 0
}

// joinSubset initializes an endpoint that joins the subset. size is the target size of the subset. The endpoint's first
// turn, pause and health check get a random offset, so that balancers do not act in lockstep.
func (b *Balancer) joinSubset(e *endpoint, size float64, now time.Duration) {
	offset := b.rng.Float64()
	e.limit.current = cmp.Or(e.limit.current, b.endpoints.initialLimit)
	e.utilization.integratedAt = now
	e.nextTurn = b.turns.virtualTime + offset*size
	e.limit.pausedUntil = max(e.limit.pausedUntil, now+time.Duration(offset*float64(b.attemptInterval(e))))
	e.slowStart.budget = leakybucket.Bucket{Level: offset, At: now}
	e.healthCheckedAt = now - time.Duration(offset*float64(bandPeriod))
}
