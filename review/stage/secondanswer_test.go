//go:build review

package stage

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { scenes["second-answer"] = secondAnswer }

// secondAnswer has clients send requests of all classes one after the other. With trouble, upstreams send one answer in twenty a
// second time, some milliseconds late. Nobody may be served with an answer that no upstream made for the request.
func secondAnswer(s *stage, trouble bool) {
	const (
		every = 20
		late  = 5 * time.Millisecond
		span  = 15 * time.Second
	)
	var answers, seconds, served, foreign atomic.Int64
	handle := func(c *upstreamConn, r *http.Request, _ []byte) bool {
		time.Sleep(20 * time.Millisecond)
		id := r.Header.Get("X-Request-Id")
		ok := c.answer(bodyOf(id))
		if number := answers.Add(1); trouble && number%every == 0 {
			time.AfterFunc(late, func() {
				if c.answer(bodyOf(id)) {
					seconds.Add(1)
					s.log("upstream: the answer to %s a second time", id)
				}
			})
		}
		return ok
	}
	p := s.startBalancer(s.startDiscovery(s.startUpstream(0, handle), s.startUpstream(1, handle)), startOptions{})
	classes := []string{"plan-trip", "buy-ticket", "wallet-topup"}
	s.goroutines(4, func(i int) {
		c := p.dial()
		defer func() { c.Close() }()
		for n, until := 0, time.Now().Add(span); time.Now().Before(until); n++ {
			class, id := classes[(i+n)%len(classes)], s.newID()
			_, _ = io.WriteString(c, requestText(class, id, 2000, ""))
			c.SetReadDeadline(time.Now().Add(3 * time.Second))
			status, body, err := c.readAnswer()
			if err != nil {
				s.log("client %d: %s %s: %v", i, class, id, err)
				c.Close()
				c = p.dial()
				continue
			}
			if status == http.StatusOK {
				served.Add(1)
				if body != bodyOf(id) {
					foreign.Add(1)
					s.breaks("client %d: %s %s is served with %q", i, class, id, body)
				}
			}
		}
	})
	s.log("answers of upstreams %d, sent a second time %d; requests served %d, of these with a foreign answer %d",
		answers.Load(), seconds.Load(), served.Load(), foreign.Load())
	if served.Load() == 0 {
		panic("no request was served")
	}
}
