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
		ends  = 10 * time.Second       // after that the upstream, which has finished what it held long ago, ends
		span  = 12 * time.Second       // after that the scene ends
		work  = 200 * time.Millisecond // of an upstream for a request
	)
	var mu sync.Mutex
	var drainedAt time.Time
	late, before, running := 0, 0, 0
	var last time.Duration
	leaving := s.startUpstream(0, func(c *upstreamConn, r *http.Request, _ []byte) bool {
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
		running++
		mu.Unlock()
		time.Sleep(work)
		mu.Lock()
		running--
		mu.Unlock()
		return c.answer(bodyOf(r.Header.Get("X-Request-Id")))
	})
	d := s.startDiscovery(s.startUpstream(1, plain(work)), leaving, s.startUpstream(2, plain(work)))
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
	time.AfterFunc(start+ends, func() {
		mu.Lock()
		defer mu.Unlock()
		s.log("upstream: it ends, and with it %d requests that run", running)
		leaving.end()
	})
	s.goroutines(12, func(int) {
		c := p.dial()
		defer c.Close()
		for time.Since(began) < start+span {
			id := s.newID()
			_, _ = io.WriteString(c, requestText("buy-ticket", id, 2000, ""))
			c.SetReadDeadline(time.Now().Add(3 * time.Second))
			status, _, err := c.readAnswer()
			must(err)
			if status != http.StatusOK {
				s.log("client: buy-ticket %s: %d", id, status)
			}
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
