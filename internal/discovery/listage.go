package discovery

import (
	"log/slog"
	"time"

	"sprucehill/internal/metrics"
)

// outdatedAfter is the time after which a change of the list counts as delivered whether or not the service has answered.
//
// Platform: a balancer counts as notified of a change at the latest 6 s after discovery had it.
const outdatedAfter = 6 * time.Second

// listAge is the time since the service has last answered, with or without changes. A list that is older than outdatedAfter may
// lack changes that count as delivered. The balancer goes on with it: it sends nothing to endpoints that were draining, and
// endpoints that fail are skipped by the rules of the decision module. To stop using all others would end the service.
type listAge struct {
	answeredAt time.Duration // on the owner's clock; at first the start of the process
	isOutdated bool          // the log says so
}

// noteAnswer records an answer of the service.
func (w *Watcher) noteAnswer(now time.Duration) {
	if w.age.isOutdated {
		slog.Info("endpoint list is current again", "age", now-w.age.answeredAt)
	}
	w.age = listAge{answeredAt: now}
}

// PublishAge updates the metric of the list's age, and logs once if the list may be outdated. The owner calls it regularly.
func (w *Watcher) PublishAge(now time.Duration) {
	age := now - w.age.answeredAt
	w.metrics.age.Set(int(age.Milliseconds()))
	if age > outdatedAfter && !w.age.isOutdated {
		w.age.isOutdated = true
		slog.Warn("endpoint list may be outdated", "age", age, "revision", w.order.revision)
	}
}

// watcherMetrics are the metrics of a Watcher.
type watcherMetrics struct {
	age      *metrics.Gauge   // milliseconds since the service has last answered
	answered *metrics.Counter // calls that were answered in time
	late     *metrics.Counter // calls that were answered after they had been reported as overdue
	overdue  *metrics.Counter // calls that were reported as overdue
	failed   *metrics.Counter // calls whose failure was reported
}

// newWatcherMetrics adds the metrics of a Watcher to a set.
func newWatcherMetrics(set *metrics.Set) watcherMetrics {
	calls := func(result string) *metrics.Counter {
		return set.Counter("svc_discovery_calls", metrics.Label{Name: "result", Value: result})
	}
	return watcherMetrics{
		age:      set.Gauge("svc_list_age_ms"),
		answered: calls("answered"),
		late:     calls("late"),
		overdue:  calls("overdue"),
		failed:   calls("failed"),
	}
}

// count counts an update.
func (m watcherMetrics) count(update Update) {
	switch {
	case update.isOverdueReport():
		m.overdue.Inc()
	case update.Err != nil:
		m.failed.Inc()
	case update.isLate():
		m.late.Inc()
	default:
		m.answered.Inc()
	}
}
