package proxy

import (
	"log/slog"

	"sprucehill/balancer"
)

// Log logs an event of the decision module as a constant message with the event's values as attributes.
func (l *loop) Log(event balancer.LogEvent) {
	switch e := event.(type) {
	case balancer.EndpointUnresponsive:
		slog.Info("endpoint unresponsive",
			"endpoint", l.endpoints.addressOf(e.Endpoint), "endpoint_id", e.Endpoint, "elapsed", e.WaitingTime)
	case balancer.ZoneEjected:
		slog.Info("zone ejected", "zone", e.Zone, "unhealthy", e.Unhealthy, "in_use", e.Endpoints)
	case balancer.ZoneRecoveryStarted:
		slog.Info("zone recovery started", "zone", e.Zone, "step_periods", e.StepPeriods)
	case balancer.RequestsShed:
		slog.Info("request shed", "queue_length", e.QueueLength)
	case balancer.DiscoveryCallFailed:
		slog.Info("discovery call failed", "retry_in", e.RetryIn)
	default:
		slog.Info("decision event of unknown type", "event", event)
	}
}
