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

// silentHost carries out nothing, for the benchmark.
type silentHost struct{ Effects }

func (silentHost) Send(RequestID, EndpointID, time.Duration) {}
func (silentHost) Reject(RequestID, time.Duration)           {}
func (silentHost) SetTimer(time.Duration, uint64)            {}
