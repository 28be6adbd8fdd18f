package measure

import (
	"time"

	"sprucehill/internal/lab/client"
	"sprucehill/internal/lab/history"
)

// Starts is how soon balancers that were started within the day did something, in seconds from the begin of the process.
type Starts struct {
	Count                int
	ReadyP50, ReadyP99   float64 // its front sent clients to it
	ServedP50, ServedP99 float64 // its first answer that served a client was there
	Never                int     // of the starts: they served nobody before their end or the day's
}

// openStart is a start whose process has not served anybody yet.
type openStart struct {
	at    time.Duration
	ready bool
}

// startsOf finds the starts after the day's begin; nil: there were none.
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
				s.Never++
			}
			if e.At > 0 {
				s.Count++
				open[e.Balancer] = &openStart{at: e.At}
			}
		case start == nil:
		case e.Kind == history.Exited:
			delete(open, e.Balancer)
			s.Never++
		case e.Kind == history.Ready && !start.ready:
			start.ready = true
			ready.record(max(e.At-start.at, time.Microsecond))
		case e.Kind == history.Answered && e.Result == client.Served:
			delete(open, e.Balancer)
			served.record(max(e.At-start.at, time.Microsecond))
		}
	}
	s.Never += len(open)
	if s.Count == 0 {
		return nil
	}
	s.ReadyP50 = ready.percentile(50) / 1000
	s.ReadyP99 = ready.percentile(99) / 1000
	s.ServedP50 = served.percentile(50) / 1000
	s.ServedP99 = served.percentile(99) / 1000
	return s
}
