package proxy

import (
	"net/http"

	"sprucehill/internal/metrics"
)

// closeCause is why the balancer closes a client's connection.
type closeCause string

const (
	closedByDrain    closeCause = "drain"     // operators have ordered a drain
	closedByShutdown closeCause = "shutdown"  // the process ends
	closedByLimit    closeCause = "limit"     // there are too many connections
	closedByRequest  closeCause = "malformed" // the end of a request is in doubt, or its body is not read
)

// connMetrics counts client connections. Its methods may be called from any goroutine.
type connMetrics struct {
	open   map[http.ConnState]*metrics.Gauge
	closed map[closeCause]*metrics.Counter
}

func newConnMetrics(set *metrics.Set) connMetrics {
	m := connMetrics{open: map[http.ConnState]*metrics.Gauge{}, closed: map[closeCause]*metrics.Counter{}}
	for _, state := range []http.ConnState{http.StateNew, http.StateActive, http.StateIdle} {
		m.open[state] = set.Gauge("svc_client_connections", metrics.Label{Name: "state", Value: state.String()})
	}
	for _, cause := range []closeCause{closedByDrain, closedByShutdown, closedByLimit, closedByRequest} {
		m.closed[cause] = set.Counter("svc_client_closes", metrics.Label{Name: "cause", Value: string(cause)})
	}
	return m
}

// added counts a connection that enters a state.
func (m connMetrics) added(state http.ConnState) { m.open[state].Add(1) }

// removed stops counting a connection that leaves a state.
func (m connMetrics) removed(state http.ConnState) { m.open[state].Add(-1) }

// countClose counts a connection that is closed, now or after its response.
func (m connMetrics) countClose(cause closeCause) { m.closed[cause].Inc() }
