package proxy

import (
	"net/http"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/metrics"
)

// publishInterval is how often the loop sets the gauges that only it can.
const publishInterval = 200 * time.Millisecond

// loopReport is what the loop reports from time to time beside its metrics. It belongs to the loop's goroutine, except for the
// method write of zones.
type loopReport struct {
	zones  zoneMetrics
	nextAt time.Duration // when the next report is due, on the loop's clock
}

// isDue reports whether the next report is due at the time now.
func (r *loopReport) isDue(now time.Duration) bool { return now >= r.nextAt }

// proxyMetrics is what the balancer reports to its operators. Each count is taken where the fact occurs, so its methods
// may be called from any goroutine.
type proxyMetrics struct {
	set              metrics.Set
	classes          map[string]classCounters // by the class's name; not changed after newProxyMetrics
	attemptsWritten  *metrics.Counter         // attempts of which the last byte was written to an upstream
	inProgress       *metrics.Gauge           // requests that have arrived completely and have not ended
	knownEndpoints   *metrics.Gauge           // endpoints in the list
	skippedEndpoints *metrics.Gauge           // those of them that the decision module avoids
	conns            connMetrics
}

// classCounters counts the requests of a class by their one final answer.
type classCounters struct {
	passed     *metrics.Counter // an upstream's response, passed on completely
	dropped    *metrics.Counter // rejected: certainly not executed
	badGateway *metrics.Counter // all others; they may have been executed
	abandoned  *metrics.Counter // the client left before the answer, or did not send its body completely
}

func newProxyMetrics(classes []balancer.Class) *proxyMetrics {
	m := &proxyMetrics{classes: map[string]classCounters{}}
	for _, class := range classes {
		category := metrics.Label{Name: "category", Value: class.Name}
		m.classes[class.Name] = classCounters{
			passed:     m.set.Counter("svc_passed", category),
			dropped:    m.set.Counter("svc_dropped", category),
			badGateway: m.set.Counter("svc_bad_gateway", category),
			abandoned:  m.set.Counter("svc_abandoned", category),
		}
	}
	m.attemptsWritten = m.set.Counter("svc_upstream_tries")
	m.inProgress = m.set.Gauge("svc_in_progress")
	m.knownEndpoints = m.set.Gauge("svc_known_upstreams")
	m.skippedEndpoints = m.set.Gauge("svc_skipped_upstreams")
	m.conns = newConnMetrics(&m.set)
	return m
}

// countAbandoned counts a request whose client left before its answer, or did not send its body completely.
func (m *proxyMetrics) countAbandoned(class string) { m.classes[class].abandoned.Inc() }

// countAnswer counts a request under the answer that its client got. complete is false where the
// response broke off: the request has failed.
func (m *proxyMetrics) countAnswer(class string, status int, complete bool) {
	counters := m.classes[class]
	switch {
	case status == http.StatusOK && complete:
		counters.passed.Inc()
	case status == http.StatusServiceUnavailable:
		counters.dropped.Inc()
	default:
		counters.badGateway.Inc()
	}
}
