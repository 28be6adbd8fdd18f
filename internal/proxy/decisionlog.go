package proxy

import "sprucehill/balancer"

// Log writes an event of the decision module to the log: a constant message, and its values as attributes.
func (l *loop) Log(event balancer.LogEvent) {
	switch e := event.(type) {
	case balancer.EndpointUnresponsive:
		l.log.info("endpoint unresponsive", "endpoint", e.Endpoint, "elapsed", e.Silence)
	case balancer.ZoneEjected:
		l.log.info("zone ejected", "zone", e.Zone, "unhealthy", e.Unhealthy, "members", e.Members)
	case balancer.ZoneRecoveryStarted:
		l.log.info("zone recovery started", "zone", e.Zone, "step_periods", e.StepPeriods)
	case balancer.RequestsShed:
		l.log.info("request shed", "queue_length", e.QueueLength)
	case balancer.DiscoveryCallFailed:
		l.log.info("discovery call failed", "retry_in", e.RetryIn)
	default:
		l.log.info("decision of unknown type", "event", event)
	}
}
