package live

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/link"
	"sprucehill/internal/lab/scenario"
)

const (
	// healthCheckInterval is how often a front checks a balancer's health, and healthCheckTimeout how long it waits.
	healthCheckInterval = 100 * time.Millisecond
	healthCheckTimeout  = time.Second
	// maxIdleConns is how many idle connections a front keeps to a balancer.
	maxIdleConns = 64
)

// clientConn is a connection of a front's to a balancer.
type clientConn struct {
	*link.Conn
	reader     *bufio.Reader
	reused     bool
	lastAnswer history.Event
}

// ingress spreads the clients of a zone over its balancers. It sends nobody to one that has not said that it is healthy,
// and learns late that one has died.
type ingress struct {
	run      *run
	zone     int
	party    scenario.Party
	cancel   context.CancelFunc
	watchers sync.WaitGroup

	mu       sync.Mutex
	healthy  map[int]bool // by balancer
	wasReady map[int]bool // has ever been healthy
	idle     map[int][]*clientConn
	turn     int // round-robin position
}

// newIngress starts the front of a zone. It checks health until ctx ends or the front is closed.
func (r *run) newIngress(ctx context.Context, z int) *ingress {
	ctx, cancel := context.WithCancel(ctx)
	f := &ingress{
		run:      r,
		zone:     z,
		party:    scenario.Party{Kind: scenario.ClientsParty, Index: z},
		cancel:   cancel,
		healthy:  map[int]bool{},
		wasReady: map[int]bool{},
		idle:     map[int][]*clientConn{},
	}
	for _, b := range r.fleet.Zones[z].Balancers {
		f.watchers.Go(func() { f.watchHealth(ctx, b) })
	}
	return f
}

func (f *ingress) close() {
	f.cancel()
	f.watchers.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, conns := range f.idle {
		for _, c := range conns {
			c.Close()
		}
	}
}

// unready is a balancer of the zone that has never been healthy, if there is one.
func (f *ingress) unready() (b int, found bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.run.fleet.Zones[f.zone].Balancers {
		if !f.wasReady[b] {
			return b, true
		}
	}
	return 0, false
}

// watchHealth checks a balancer's health until ctx ends.
func (f *ingress) watchHealth(ctx context.Context, b int) {
	tick := time.NewTicker(healthCheckInterval)
	defer tick.Stop()
	var failingSince time.Time // zero: the last check was answered
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		result := f.checkHealth(ctx, b)
		now := time.Now()
		switch {
		case result == checkHealthy:
			failingSince = time.Time{}
			f.setHealthy(b)
		case result == checkUnhealthy:
			f.setUnhealthy(b)
		case failingSince.IsZero():
			failingSince = now
		case now.Sub(failingSince) >= f.run.day.Balancer.Notice.D():
			f.setUnhealthy(b)
		}
	}
}

func (f *ingress) setHealthy(b int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.healthy[b] {
		f.run.recorder.record(history.Event{Kind: history.Ready, Balancer: int32(b), Upstream: history.None, Arrival: history.None})
	}
	f.healthy[b] = true
	f.wasReady[b] = true
}

func (f *ingress) setUnhealthy(b int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.healthy[b] = false
}

// checkResult is what a health check found.
type checkResult uint8

const (
	checkFailed checkResult = iota // no answer
	checkUnhealthy
	checkHealthy
)

// checkHealth checks a balancer's health once.
func (f *ingress) checkHealth(ctx context.Context, b int) checkResult {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	c, err := f.dial(ctx, b)
	if err != nil {
		return checkFailed
	}
	defer c.Close()
	limit, _ := ctx.Deadline()
	c.SetDeadline(limit)
	stop := context.AfterFunc(ctx, func() { c.Close() }) // also where the link is cut meanwhile
	defer stop()
	if _, err := io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: api.internal\r\nConnection: close\r\n\r\n"); err != nil {
		return checkFailed
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return checkFailed
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return checkUnhealthy
	}
	return checkHealthy
}

// dial opens a connection to a balancer.
func (f *ingress) dial(ctx context.Context, b int) (*link.Conn, error) {
	return f.run.net.Dial(ctx, f.party, scenario.Party{Kind: scenario.BalancerParty, Index: b}, f.run.clientsAt(b))
}

// nextBalancer is the next healthy balancer, round robin.
func (f *ingress) nextBalancer() (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := f.run.fleet.Zones[f.zone].Balancers
	for range all {
		f.turn++
		if b := all[f.turn%len(all)]; f.healthy[b] {
			return b, true
		}
	}
	return 0, false
}

// connect returns an idle connection to a balancer, or a new one if there is none or a new one is wanted. It waits until
// the deadline at most, which is a time of the day.
func (f *ingress) connect(ctx context.Context, b int, newConn bool, deadline time.Duration) (*clientConn, error) {
	for !newConn {
		c := f.takeIdle(b)
		if c == nil {
			break
		}
		if f.checkIdle(c) {
			return c, nil
		}
	}
	ctx, cancel := context.WithDeadline(ctx, f.run.origin.Add(deadline))
	defer cancel()
	c, err := f.dial(ctx, b)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, reader: bufio.NewReader(c)}, nil
}

// takeIdle takes the idle connection to a balancer that was used last. It is nil if there is none.
func (f *ingress) takeIdle(b int) *clientConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	conns := f.idle[b]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	f.idle[b] = conns[:len(conns)-1]
	return c
}

// checkIdle reports whether an idle connection is good to use, and closes it if not: it may have ended, or brought what
// nobody asked for. A second answer is recorded under the request before.
func (f *ingress) checkIdle(c *clientConn) bool {
	waiting := c.reader.Buffered() > 0
	ended := false
	if !waiting {
		waiting, ended = c.Pending()
	}
	if waiting {
		again := c.lastAnswer
		again.At = f.run.now()
		f.run.recorder.record(again)
	}
	if waiting || ended {
		c.Close()
		return false
	}
	return true
}

// putIdle takes back a connection for other requests. It reports whether the connection stays open.
func (f *ingress) putIdle(b int, c *clientConn) bool {
	c.reused = true
	c.SetReadDeadline(time.Time{})
	if c.reader.Buffered() > 0 {
		return f.checkIdle(c)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.idle[b]) >= maxIdleConns {
		return false
	}
	f.idle[b] = append(f.idle[b], c)
	return true
}
