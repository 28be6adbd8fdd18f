package measure

import (
	"time"

	"sprucehill/internal/lab/client"
	"sprucehill/internal/lab/history"
)

// Starts is how long balancers started during the run took from the start of the process to become ready and to serve.
type Starts struct {
	Count            int
	ReadyP50Seconds  float64 `json:"ReadyP50"` // until the ingress sent clients to it
	ReadyP99Seconds  float64 `json:"ReadyP99"`
	ServedP50Seconds float64 `json:"ServedP50"` // until it first served a request
	ServedP99Seconds float64 `json:"ServedP99"`
	NeverServed      int     `json:"Never"` // starts that served no request before the process or the run ended
}

// pendingStart is the start of a process that has not served a request yet.
type pendingStart struct {
	at    time.Duration
	ready bool
}

// newStarts computes the figures of the starts after the beginning of the run. It returns nil if there were none.
func newStarts(events []history.Event) *Starts {
	ready := newHistogram()
	served := newHistogram()
	pending := map[int32]*pendingStart{} // by balancer
	s := &Starts{}
	for _, e := range events {
		start := pending[e.Balancer]
		switch {
		case e.Kind == history.Started:
			delete(pending, e.Balancer)
			if start != nil {
				s.NeverServed++
			}
			if e.At > 0 {
				s.Count++
				pending[e.Balancer] = &pendingStart{at: e.At}
			}
		case start == nil:
		case e.Kind == history.Exited:
			delete(pending, e.Balancer)
			s.NeverServed++
		case e.Kind == history.Ready && !start.ready:
			start.ready = true
			ready.record(max(e.At-start.at, time.Microsecond))
		case e.Kind == history.Answered && e.Result == client.Served:
			delete(pending, e.Balancer)
			served.record(max(e.At-start.at, time.Microsecond))
		}
	}
	s.NeverServed += len(pending)
	if s.Count == 0 {
		return nil
	}
	s.ReadyP50Seconds = ready.percentile(50) / 1000
	s.ReadyP99Seconds = ready.percentile(99) / 1000
	s.ServedP50Seconds = served.percentile(50) / 1000
	s.ServedP99Seconds = served.percentile(99) / 1000
	return s
}
