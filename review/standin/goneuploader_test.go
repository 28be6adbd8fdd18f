//go:build review

package standin

import (
	"sync"
	"time"
)

func init() { cases["gone-uploader"] = playGoneUploader }

// playGoneUploader has clients that leave while their long requests wait for an upstream. No attempt of such a request may
// begin later than 0.1 s after its client has closed the connection.
func playGoneUploader(p *play) (broken int) {
	const (
		upstreams  = 2
		staying    = 4 // as many as the balancer sends at once
		leaving    = 8
		service    = 500 * time.Millisecond
		leaveAfter = 150 * time.Millisecond
		clientWait = 3750 * time.Millisecond // half of the class's 7.5 s, as a try has
		grace      = 100*time.Millisecond + 50*time.Millisecond
	)
	var mu sync.Mutex // guards arrivals
	var arrivals []arrival
	var members []member
	for i := range upstreams {
		u := p.newUpstream(i)
		u.receive = func(a arrival) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			arrivals = append(arrivals, a)
			return service
		}
		members = append(members, u.member())
	}
	p.startBalancer(members, settings(4))
	closedAt := map[string]time.Time{}
	send := func(clients *sync.WaitGroup, length int, leaves bool) {
		clients.Go(func() {
			id := p.newID()
			c := p.dial()
			defer c.Close()
			_, err := c.Write(requestBytes(buyTicket, id, clientWait, length))
			p.record("client sent %s whole, %d bytes of body, error %v", id, length, err)
			wait := clientWait + 500*time.Millisecond
			if leaves {
				wait = leaveAfter
			}
			c.SetReadDeadline(time.Now().Add(wait))
			status, _, _, err := c.readAnswer()
			if err == nil || !leaves {
				p.record("client of %s got %d %v", id, status, err)
				return
			}
			c.Close()
			mu.Lock()
			defer mu.Unlock()
			closedAt[id] = time.Now()
			p.recordAt(closedAt[id], "client of %s left: it closed its connection", id)
		})
	}
	for _, length := range []int{100 << 10, 32 << 10, 100 << 10} {
		var clients sync.WaitGroup
		for range staying {
			send(&clients, length, false)
		}
		time.Sleep(50 * time.Millisecond)
		for range leaving {
			send(&clients, length, p.trouble)
		}
		clients.Wait()
		time.Sleep(5 * time.Second)
	}
	mu.Lock()
	defer mu.Unlock()
	for _, a := range arrivals {
		left, gone := closedAt[a.id]
		late := gone && a.firstAt.Sub(left) > grace
		p.recordAt(a.firstAt, "upstream %s: first byte of %s (%s, %d bytes of body); last byte at %.3f", a.upstream.name, a.id, a.class,
			a.length, a.lastAt.Sub(p.began).Seconds())
		if late {
			broken++
			p.recordAt(a.firstAt, "BROKEN: the attempt of %s began %v after its client had closed", a.id, a.firstAt.Sub(left).Round(time.Millisecond))
		}
	}
	return broken
}
