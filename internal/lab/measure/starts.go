package measure

import (
	"time"

	"sprucehill/internal/lab/client"
	"sprucehill/internal/lab/history"
)

// Starts is how soon balancers that were started within the day became ready and served, from the start of the process.
type Starts struct {
	Count            int
	ReadyP50Seconds  float64 `json:"ReadyP50"` // until the front sent clients to it
	ReadyP99Seconds  float64 `json:"ReadyP99"`
	ServedP50Seconds float64 `json:"ServedP50"` // until its first answer that served a client
	ServedP99Seconds float64 `json:"ServedP99"`
	NeverServed      int     `json:"Never"` // starts that served no client before the process or the day ended
}

// openStart is a start whose process has not served anybody yet.
type openStart struct {
	at    time.Duration
	ready bool
}

// startsOf finds the starts after the day's begin. It is nil if there were none.
func startsOf(events []history.Event) *Starts {
	ready := newHistogram()
	served := newHistogram()
	open := map[int32]*openStart{} // by balancer
	s := &Starts{}
	for _, e := range events {
		start := open[e.Balancer]
		switch {
		case e.Kind == history.Started:
			delete(open, e.Balancer)
			if start != nil {
				s.NeverServed++
			}
			if e.At > 0 {
				s.Count++
				open[e.Balancer] = &openStart{at: e.At}
			}
		case start == nil:
		case e.Kind == history.Exited:
			delete(open, e.Balancer)
			s.NeverServed++
		case e.Kind == history.Ready && !start.ready:
			start.ready = true
			ready.record(max(e.At-start.at, time.Microsecond))
		case e.Kind == history.Answered && e.Result == client.Served:
			delete(open, e.Balancer)
			served.record(max(e.At-start.at, time.Microsecond))
		}
	}
	s.NeverServed += len(open)
	if s.Count == 0 {
		return nil
	}
	s.ReadyP50Seconds = ready.percentile(50) / 1000
	s.ReadyP99Seconds = ready.percentile(99) / 1000
	s.ServedP50Seconds = served.percentile(50) / 1000
	s.ServedP99Seconds = served.percentile(99) / 1000
	return s
}
