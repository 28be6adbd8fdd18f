package wire

import (
	"fmt"

	"sprucehill/balancer"
)

// logText formats a log event as the text of a log message of the simulator protocol.
func logText(event balancer.LogEvent) string {
	switch e := event.(type) {
	case balancer.EndpointUnresponsive:
		return fmt.Sprintf("endpoint %d unresponsive for %v: trials only", e.Endpoint, e.WaitingTime)
	case balancer.ZoneEjected:
		return fmt.Sprintf("zone %q: %d of %d endpoints unhealthy: trials only", e.Zone, e.Unhealthy, e.Endpoints)
	case balancer.ZoneRecoveryStarted:
		return fmt.Sprintf("zone %q responds again: its share grows by steps of %d periods", e.Zone, e.StepPeriods)
	case balancer.RequestsShed:
		return fmt.Sprintf("%d queued, no endpoint free within the latency objective: rejecting", e.QueueLength)
	case balancer.DiscoveryCallFailed:
		return fmt.Sprintf("discovery call failed: asking again in %v", e.RetryIn)
	}
	return fmt.Sprintf("%T", event)
}
