package proxy

import (
	"log/slog"
	"reflect"
	"testing"
	"time"

	"sprucehill/balancer"
)

// Each event of the decision module is logged under a constant message, with its values as attributes.
func TestDecisionEventsAreLoggedWithAttributes(t *testing.T) {
	for _, test := range []struct {
		event balancer.LogEvent
		text  string
		keys  []any
	}{
		{balancer.EndpointUnresponsive{Endpoint: 7, Silence: time.Second}, "endpoint unresponsive",
			[]any{"endpoint", balancer.EndpointID(7), "elapsed", time.Second}},
		{balancer.ZoneEjected{Zone: "z", Unhealthy: 3, Members: 4}, "zone ejected",
			[]any{"zone", "z", "unhealthy", 3, "members", 4}},
		{balancer.ZoneRecoveryStarted{Zone: "z", StepPeriods: 6}, "zone recovery started", []any{"zone", "z", "step_periods", 6}},
		{balancer.RequestsShed{QueueLength: 5}, "request shed", []any{"queue_length", 5}},
		{balancer.DiscoveryCallFailed{RetryIn: time.Second}, "discovery call failed", []any{"retry_in", time.Second}},
	} {
		l := &loop{log: newLogWriter()}
		l.Log(test.event)
		got, want := <-l.log.entries, logEntry{slog.LevelInfo, test.text, test.keys}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%T is logged as %+v, want %+v", test.event, got, want)
		}
	}
}
