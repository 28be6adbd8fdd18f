package balancer

import (
	"fmt"
	"strings"
	"time"
)

// recorder is a Host that writes down what it is asked to do.
type recorder struct {
	calls []string
	hook  func(kind string, id RequestID, up EndpointID, d time.Duration, n uint64)
}

func (r *recorder) record(kind string, id RequestID, endpoint EndpointID, d time.Duration, n uint64) {
	r.calls = append(r.calls, fmt.Sprintf("%s id=%d up=%d d=%v n=%d", kind, id, endpoint, d, n))
	if r.hook != nil {
		r.hook(kind, id, endpoint, d, n)
	}
}

func (r *recorder) Send(id RequestID, endpoint EndpointID, d time.Duration) {
	r.record("send", id, endpoint, d, 0)
}
func (h *recorder) Reject(id RequestID, d time.Duration) { h.record("refuse", id, 0, d, 0) }
func (h *recorder) Fail(id RequestID)                    { h.record("fail", id, 0, 0, 0) }
func (h *recorder) Cancel(id RequestID, n int)           { h.record("cancel", id, 0, 0, uint64(n)) }
func (h *recorder) HealthCheck(up EndpointID)            { h.record("probe", 0, up, 0, 0) }
func (h *recorder) CloseIdle(up EndpointID)              { h.record("disconnect", 0, up, 0, 0) }
func (h *recorder) WatchEndpoints(on bool)               { h.record("watch", 0, 0, 0, 0) }
func (h *recorder) FetchEndpoints()                      { h.record("fetch", 0, 0, 0, 0) }
func (h *recorder) SetTimer(d time.Duration, n uint64)   { h.record("timer", 0, 0, d, n) }
func (h *recorder) Log(text string)                      { h.record("log: "+text, 0, 0, 0, 0) }

// count tells how many recorded lines begin with prefix.
func (h *recorder) count(prefix string) int {
	n := 0
	for _, l := range h.calls {
		if strings.HasPrefix(l, prefix) {
			n++
		}
	}
	return n
}

// silentHost carries out nothing, for the benchmark.
type discardEffects struct{ Effects }

func (discardEffects) Send(RequestID, EndpointID, time.Duration) {}
func (discardEffects) Reject(RequestID, time.Duration)           {}
func (discardEffects) SetTimer(time.Duration, uint64)            {}
