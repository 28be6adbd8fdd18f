//go:build review

package stage

import (
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { scenes["slow-discovery"] = slowDiscovery }

// slowDiscovery has an upstream begin to drain. With trouble, discovery is slow: each call takes 3.5 s, that is 1.5 s more than the wait
// of 2 s that the balancer asks for. A change counts as told 6 s after discovery had it at the latest, and 0.5 s after that nothing may be
// sent to the upstream.
func slowDiscovery(s *stage, trouble bool) {
	const (
		takes = 3500 * time.Millisecond
		told  = 6 * time.Second
		grace = 550 * time.Millisecond // with the 50 ms of the rules on sockets
		slack = 150 * time.Millisecond // a balancer may be held up for so long
		start = 4 * time.Second        // of the drain
		span  = 14 * time.Second       // after that
	)
	var mu sync.Mutex
	var drainedAt time.Time
	late, before := 0, 0
	var last time.Duration
	leaving := s.startUpstream(1, func(c *upstreamConn, r *http.Request, _ []byte) bool {
		mu.Lock()
		after := time.Since(drainedAt)
		switch {
		case drainedAt.IsZero():
			before++
		case after > told+grace+slack:
			late++
			last = after
			if late <= 10 {
				s.log("upstream: %s arrives %.3f s after the upstream began to drain", r.Header.Get("X-Request-Id"), after.Seconds())
			}
		}
		mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		return c.answer(bodyOf(r.Header.Get("X-Request-Id")))
	})
	d := s.startDiscovery(s.startUpstream(0, plain(10*time.Millisecond)), leaving, s.startUpstream(2, plain(10*time.Millisecond)))
	p := s.startBalancer(d, startOptions{})
	if trouble {
		d.setTakes(takes)
	}
	began := time.Now()
	time.AfterFunc(start, func() {
		mu.Lock()
		drainedAt = time.Now()
		mu.Unlock()
		d.setPhase(leaving.entry.ID, "draining")
	})
	s.goroutines(3, func(int) {
		c := p.dial()
		defer c.Close()
		for time.Since(began) < start+span {
			_, _ = io.WriteString(c, requestText("plan-trip", s.newID(), 2000, ""))
			c.SetReadDeadline(time.Now().Add(3 * time.Second))
			_, _, err := c.readAnswer()
			must(err)
			time.Sleep(30 * time.Millisecond)
		}
	})
	mu.Lock()
	defer mu.Unlock()
	s.log("sent to the upstream: %d before it began to drain, %d later than %v after, the last one %v after", before, late, told+grace+slack, last)
	if before == 0 {
		panic("nothing was sent to the upstream before it began to drain")
	}
	if late > 0 {
		s.breaks("%d requests were sent to a draining upstream later than %v after discovery had the change", late, told+grace+slack)
	}
}
