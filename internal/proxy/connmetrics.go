package proxy

import (
	"net/http"

	"sprucehill/internal/metrics"
)

// closeCause is the reason for which the balancer closes a client connection, as the value of a metric label.
type closeCause string

const (
	closedByDrain    closeCause = "drain"     // an operator has ordered a drain
	closedByShutdown closeCause = "shutdown"  // the process is shutting down
	closedByLimit    closeCause = "limit"     // the number of connections is at or near its limit
	closedByRequest  closeCause = "malformed" // the end of a request is ambiguous, or its body was not read to the end
	closedByStall    closeCause = "stalled"   // the client took nothing of its response for timelimit.WriteStall
)

// connMetrics counts client connections. It is safe for concurrent use.
type connMetrics struct {
	open   map[http.ConnState]*metrics.Gauge
	closed map[closeCause]*metrics.Counter
}

func newConnMetrics(set *metrics.Set) connMetrics {
	m := connMetrics{open: map[http.ConnState]*metrics.Gauge{}, closed: map[closeCause]*metrics.Counter{}}
	for _, state := range []http.ConnState{http.StateNew, http.StateActive, http.StateIdle} {
		m.open[state] = set.Gauge("svc_client_connections", metrics.Label{Name: "state", Value: state.String()})
	}
	for _, cause := range []closeCause{closedByDrain, closedByShutdown, closedByLimit, closedByRequest, closedByStall} {
		m.closed[cause] = set.Counter("svc_client_closes", metrics.Label{Name: "cause", Value: string(cause)})
	}
	return m
}

// added counts a connection that has entered a state.
func (m connMetrics) added(state http.ConnState) { m.open[state].Add(1) }

// removed stops counting a connection that has left a state.
func (m connMetrics) removed(state http.ConnState) { m.open[state].Add(-1) }

// countClose counts a connection that is closed, either immediately or after its response.
func (m connMetrics) countClose(cause closeCause) { m.closed[cause].Inc() }
