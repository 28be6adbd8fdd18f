package proxy

import (
	"context"
	"log/slog"
	"reflect"
	"testing"
	"time"

	"sprucehill/balancer"
)

// Each event of the decision module is logged as a constant message with the event's values as attributes.
func TestDecisionEventsAreLoggedWithAttributes(t *testing.T) {
	l := &loop{endpoints: endpointTable{7: {id: 7, address: "192.0.2.7:80"}}}
	for _, test := range []struct {
		event balancer.LogEvent
		text  string
		keys  []any
	}{
		{balancer.EndpointUnresponsive{Endpoint: 7, WaitingTime: time.Second}, "endpoint unresponsive",
			[]any{"endpoint", "192.0.2.7:80", "endpoint_id", balancer.EndpointID(7), "elapsed", time.Second}},
		{balancer.EndpointUnresponsive{Endpoint: 8, WaitingTime: time.Second}, "endpoint unresponsive",
			[]any{"endpoint", "unknown", "endpoint_id", balancer.EndpointID(8), "elapsed", time.Second}},
		{balancer.ZoneEjected{Zone: "z", Unhealthy: 3, Endpoints: 4}, "zone ejected",
			[]any{"zone", "z", "unhealthy", int64(3), "in_use", int64(4)}},
		{balancer.ZoneRecoveryStarted{Zone: "z", StepPeriods: 6}, "zone recovery started", []any{"zone", "z", "step_periods", int64(6)}},
		{balancer.RequestsShed{QueueLength: 5}, "request shed", []any{"queue_length", int64(5)}},
		{balancer.DiscoveryCallFailed{RetryIn: time.Second}, "discovery call failed", []any{"retry_in", time.Second}},
	} {
		records := captureLog(t)
		l.Log(test.event)
		want := []logRecord{{slog.LevelInfo, test.text, test.keys}}
		if got := *records; !reflect.DeepEqual(got, want) {
			t.Errorf("%T is logged as %+v, want %+v", test.event, got, want)
		}
	}
}

// logRecord is a log record. Keys and values alternate in keys, as in the arguments of slog.Info.
type logRecord struct {
	level slog.Level
	text  string
	keys  []any
}

// captureLog replaces the default logger until the test ends, and returns the records that are logged meanwhile.
func captureLog(t *testing.T) *[]logRecord {
	t.Helper()
	var records []logRecord
	former := slog.Default()
	t.Cleanup(func() { slog.SetDefault(former) })
	slog.SetDefault(slog.New(recordingHandler{&records}))
	return &records
}

// recordingHandler is a slog.Handler that collects all records.
type recordingHandler struct{ records *[]logRecord }

func (h recordingHandler) Enabled(context.Context, slog.Level) bool { return true }

func (h recordingHandler) Handle(_ context.Context, r slog.Record) error {
	var keys []any
	r.Attrs(func(a slog.Attr) bool {
		keys = append(keys, a.Key, a.Value.Any())
		return true
	})
	*h.records = append(*h.records, logRecord{r.Level, r.Message, keys})
	return nil
}

func (h recordingHandler) WithAttrs([]slog.Attr) slog.Handler { return h }

func (h recordingHandler) WithGroup(string) slog.Handler { return h }
