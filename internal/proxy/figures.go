package proxy

import (
	"net/http"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/metrics"
)

// publishEvery is how often the loop tells the gauges that only it knows.
const publishEvery = 200 * time.Millisecond

// figures is what the balancer reports to its operators. Each count is taken where the fact occurs.
type figures struct {
	set        metrics.Set
	classes    map[string]outcomes
	tries      *metrics.Counter // attempts written whole to upstreams
	inProgress *metrics.Gauge   // requests taken and not ended
	known      *metrics.Gauge   // upstreams in the list
	skipped    *metrics.Gauge   // those of them that the module avoids
}

// outcomes counts the requests of a class by their one final answer.
type outcomes struct{ passed, dropped, badGateway *metrics.Counter }

func newFigures(classes []balancer.Class) *figures {
	f := &figures{classes: map[string]outcomes{}}
	for _, c := range classes {
		category := metrics.Label{Name: "category", Value: c.Name}
		f.classes[c.Name] = outcomes{f.set.Counter("svc_passed", category), f.set.Counter("svc_dropped", category),
			f.set.Counter("svc_bad_gateway", category)}
	}
	f.tries = f.set.Counter("svc_upstream_tries")
	f.inProgress = f.set.Gauge("svc_in_progress")
	f.known = f.set.Gauge("svc_known_upstreams")
	f.skipped = f.set.Gauge("svc_skipped_upstreams")
	return f
}

// answered counts a request under the answer it got. One that broke off has failed.
func (f *figures) answered(class string, status int, whole bool) {
	switch o := f.classes[class]; {
	case status == http.StatusOK && whole:
		o.passed.Add()
	case status == http.StatusServiceUnavailable:
		o.dropped.Add()
	default:
		o.badGateway.Add()
	}
}
