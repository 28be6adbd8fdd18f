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

// startsOf finds the starts after the day's begin; nil: there were none.
func startsOf(events []history.Event) *Starts {
	ready, served := newHistogram(), newHistogram()
	began := map[int32]time.Duration{}
	waits := map[int32]bool{}
	s := &Starts{}
	end := func(b int32) {
		if _, open := began[b]; open {
			s.Never++
			delete(began, b)
		}
	}
	for _, e := range events {
		at, open := began[e.Balancer]
		switch {
		case e.Kind == history.Started:
			end(e.Balancer)
			if e.At > 0 {
				s.Count++
				began[e.Balancer], waits[e.Balancer] = e.At, true
			}
		case e.Kind == history.Exited:
			end(e.Balancer)
		case e.Kind == history.Ready && open && waits[e.Balancer]:
			waits[e.Balancer] = false
			ready.record(max(e.At-at, time.Microsecond))
		case e.Kind == history.Answered && e.Result == client.Served && open:
			served.record(max(e.At-at, time.Microsecond))
			delete(began, e.Balancer)
		}
	}
	for b := range began {
		end(b)
	}
	if s.Count == 0 {
		return nil
	}
	s.ReadyP50 = ready.percentile(50) / 1000
	s.ReadyP99 = ready.percentile(99) / 1000
	s.ServedP50 = served.percentile(50) / 1000
	s.ServedP99 = served.percentile(99) / 1000
	return s
}
