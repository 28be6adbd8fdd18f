package balancer

import (
	"fmt"
	"strings"
	"time"
)

// recorder is a Host that writes down what it is asked to do.
type recorder struct {
	lines []string
	hook  func(kind string, id RequestID, up EndpointID, d time.Duration, n uint64)
}

func (h *recorder) note(kind string, id RequestID, up EndpointID, d time.Duration, n uint64) {
	h.lines = append(h.lines, fmt.Sprintf("%s id=%d up=%d d=%v n=%d", kind, id, up, d, n))
	if h.hook != nil {
		h.hook(kind, id, up, d, n)
	}
}

func (h *recorder) Send(id RequestID, up EndpointID, d time.Duration) { h.note("send", id, up, d, 0) }
func (h *recorder) Reject(id RequestID, d time.Duration)              { h.note("refuse", id, 0, d, 0) }
func (h *recorder) Fail(id RequestID)                                 { h.note("fail", id, 0, 0, 0) }
func (h *recorder) Cancel(id RequestID, n int)                        { h.note("cancel", id, 0, 0, uint64(n)) }
func (h *recorder) HealthCheck(up EndpointID)                         { h.note("probe", 0, up, 0, 0) }
func (h *recorder) CloseIdle(up EndpointID)                           { h.note("disconnect", 0, up, 0, 0) }
func (h *recorder) WatchEndpoints(on bool)                            { h.note("watch", 0, 0, 0, 0) }
func (h *recorder) FetchEndpoints()                                   { h.note("fetch", 0, 0, 0, 0) }
func (h *recorder) SetTimer(d time.Duration, n uint64)                { h.note("timer", 0, 0, d, n) }
func (h *recorder) Log(text string)                                   { h.note("log: "+text, 0, 0, 0, 0) }

// count tells how many recorded lines begin with prefix.
func (h *recorder) count(prefix string) int {
	n := 0
	for _, l := range h.lines {
		if strings.HasPrefix(l, prefix) {
			n++
		}
	}
	return n
}

const ms = time.Millisecond

// settings returns valid settings with one class of each repeat kind.
func settings() Settings {
	return Settings{
		Zone: "near", Balancers: 2, OverQuotaFactor: 0.1, PriorityByWork: true, KeyAffinity: true,
		Classes: []Class{
			{Name: "read", LatencyObjective: 300 * ms, Deadline: time.Second, Idempotency: Idempotent, PriorityWeight: 1, LatePriorityFactor: 0.5},
			{Name: "keyed", LatencyObjective: 300 * ms, Deadline: time.Second, Idempotency: IdempotentByKey, Scope: ScopeZone, IdempotencyWindow: 400 * ms, PriorityWeight: 3},
			{Name: "write", LatencyObjective: 300 * ms, Deadline: time.Second, Idempotency: NonIdempotent, PriorityWeight: 2},
		},
		Tenants:      []Tenant{{Name: "big", Quota: 200}, {Name: "small", Quota: 20}},
		Limits:       Limits{AllowCancel: true, AllowHealthChecks: true, MaxAttempts: 4},
		Obligations:  Obligations{PollInterval: 10 * time.Second, SlowStartFrom: 0.3, SlowStartWindow: 9 * time.Second, OverloadMultiple: 3, OverloadWindow: 1500 * ms, DrainGrace: time.Second, AnswerSlack: 20 * ms},
		Weights:      WeightNominal,
		Reports:      ReportInResponses,
		EventSpacing: 5 * ms,
	}
}

// fleet returns n active upstreams, long started, in two zones and three cells.
func fleet(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: EndpointID(i + 1), Zone: []string{"near", "far"}[i%2], Cell: i % 3, Weight: 1}
	}
	return list
}

// oneZone puts upstreams into the zone of settings, where shares alone decide.
func oneZone(list []Endpoint) []Endpoint {
	for i := range list {
		list[i].Zone = "near"
	}
	return list
}
