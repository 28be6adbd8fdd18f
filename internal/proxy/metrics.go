package proxy

import (
	"net/http"
	"sync"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/metrics"
)

// publishInterval is the interval at which the loop updates the gauges that are computed on it.
const publishInterval = 200 * time.Millisecond

// loopReport is the state of the loop's periodic reports. It is used on the loop's goroutine only, except for the method
// zones.write.
type loopReport struct {
	zones   zoneMetrics
	nextDue time.Duration // when the next report is due, on the loop's clock
}

// isDue reports whether the next report is due at the time now.
func (r *loopReport) isDue(now time.Duration) bool { return now >= r.nextDue }

// proxyMetrics has the balancer's metrics. They are updated by the goroutine on which the counted event occurs, so the
// methods may be called from any goroutine.
type proxyMetrics struct {
	set              metrics.Set
	classes          map[string]classCounters // by class name; not changed after newProxyMetrics
	attemptsWritten  *metrics.Counter         // attempts whose last byte was written to an upstream
	inProgress       *metrics.Gauge           // requests that have been received completely and have not ended
	knownEndpoints   *metrics.Gauge           // endpoints in the list
	skippedEndpoints *metrics.Gauge           // endpoints in the list that the decision module avoids
	repeated         *metrics.Counter         // requests refused because another one with their ID may have been executed
	refusedHeads     *metrics.Counter         // requests refused because of their head: too many fields, or no memory for it
	pacedAnswers     *metrics.Counter         // answers after which a client had to wait before its next request was read
	conns            connMetrics
	streams          streamMetrics
}

// classCounters counts the requests of a class by how they ended. Each request is counted once.
type classCounters struct {
	passed     *metrics.Counter // an upstream's response was forwarded completely
	dropped    *metrics.Counter // rejected with status 503: not executed, or safe to execute again
	badGateway *metrics.Counter // all other responses; the request may have been executed
	abandoned  *metrics.Counter // the client disconnected before the response, or did not send its body completely
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
	m.repeated = m.set.Counter("svc_repeated")
	m.refusedHeads = m.set.Counter("svc_refused_heads")
	m.pacedAnswers = m.set.Counter("svc_paced_answers")
	m.inProgress = m.set.Gauge("svc_in_progress")
	m.knownEndpoints = m.set.Gauge("svc_known_upstreams")
	m.skippedEndpoints = m.set.Gauge("svc_skipped_upstreams")
	m.conns = newConnMetrics(&m.set)
	m.streams = newStreamMetrics(&m.set)
	return m
}

// countAbandoned counts a request whose client disconnected before the response, or did not send its body completely.
func (m *proxyMetrics) countAbandoned(class string) { m.classes[class].abandoned.Inc() }

// countAnswer counts a request by the response that was sent to its client. complete is false if the response was
// interrupted; the request then counts as failed.
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

// requestProgress counts a request in a gauge from when it has been received completely until it has ended. The last byte of an upload
// may be read after the request has ended: then it is not counted. It is safe for concurrent use.
type requestProgress struct {
	gauge *metrics.Gauge

	mu       sync.Mutex // guards the fields below
	received bool
	ended    bool
}

// markReceived records that the last byte of the request has been read.
func (p *requestProgress) markReceived() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.received && !p.ended {
		p.gauge.Add(1)
	}
	p.received = true
}

// markEnded records that the request has ended.
func (p *requestProgress) markEnded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.received && !p.ended {
		p.gauge.Add(-1)
	}
	p.ended = true
}
