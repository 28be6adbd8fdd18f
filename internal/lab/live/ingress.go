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
	// healthCheckInterval is how often an ingress checks a balancer's health, and healthCheckTimeout how long a check waits.
	healthCheckInterval = 100 * time.Millisecond
	healthCheckTimeout  = time.Second
	// maxIdleConns is how many idle connections an ingress keeps to each balancer.
	maxIdleConns = 64
)

// clientConn is a connection from an ingress to a balancer.
type clientConn struct {
	*link.Conn
	reader     *bufio.Reader
	reused     bool
	lastAnswer history.Event
}

// ingress distributes the requests of a zone's clients over its balancers, round robin. It sends none to a balancer that
// has not yet passed a health check, and detects a dead balancer only after a delay that the scenario sets.
type ingress struct {
	run      *run
	zone     int
	party    scenario.Party
	cancel   context.CancelFunc
	watchers sync.WaitGroup

	mu        sync.Mutex
	healthy   map[int]bool // by balancer
	wasReady  map[int]bool // has ever been healthy
	idle      map[int][]*clientConn
	lastIndex int // round-robin position
}

// newIngress starts the ingress of a zone. It checks health until ctx ends or the ingress is closed.
func (r *run) newIngress(ctx context.Context, z int) *ingress {
	ctx, cancel := context.WithCancel(ctx)
	in := &ingress{
		run:      r,
		zone:     z,
		party:    scenario.Party{Kind: scenario.ClientsParty, Index: z},
		cancel:   cancel,
		healthy:  map[int]bool{},
		wasReady: map[int]bool{},
		idle:     map[int][]*clientConn{},
	}
	for _, b := range r.fleet.Zones[z].Balancers {
		in.watchers.Go(func() { in.watchHealth(ctx, b) })
	}
	return in
}

func (in *ingress) close() {
	in.cancel()
	in.watchers.Wait()
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, conns := range in.idle {
		for _, c := range conns {
			c.Close()
		}
	}
}

// neverReady returns a balancer of the zone that has never been healthy, if there is one.
func (in *ingress) neverReady() (b int, found bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, b := range in.run.fleet.Zones[in.zone].Balancers {
		if !in.wasReady[b] {
			return b, true
		}
	}
	return 0, false
}

// watchHealth checks a balancer's health until ctx ends. A check without an answer counts only once no check has been
// answered for the time after which the scenario lets an ingress detect a dead balancer.
func (in *ingress) watchHealth(ctx context.Context, b int) {
	tick := time.NewTicker(healthCheckInterval)
	defer tick.Stop()
	var failingSince time.Time // zero: the last check was answered
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		result := in.checkHealth(ctx, b)
		now := time.Now()
		switch {
		case result == checkHealthy:
			failingSince = time.Time{}
			in.setHealthy(b)
		case result == checkUnhealthy:
			in.setUnhealthy(b)
		case failingSince.IsZero():
			failingSince = now
		case now.Sub(failingSince) >= in.run.scenario.Balancer.Notice.D():
			in.setUnhealthy(b)
		}
	}
}

func (in *ingress) setHealthy(b int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.healthy[b] {
		in.run.recorder.record(history.Event{Kind: history.Ready, Balancer: int32(b), Upstream: history.None, Arrival: history.None})
	}
	in.healthy[b] = true
	in.wasReady[b] = true
}

func (in *ingress) setUnhealthy(b int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.healthy[b] = false
}

// checkResult is the result of a health check.
type checkResult uint8

const (
	checkFailed checkResult = iota // no answer
	checkUnhealthy
	checkHealthy
)

// checkHealth checks a balancer's health once.
func (in *ingress) checkHealth(ctx context.Context, b int) checkResult {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	c, err := in.dial(ctx, b)
	if err != nil {
		return checkFailed
	}
	defer c.Close()
	limit, _ := ctx.Deadline()
	c.SetDeadline(limit)
	stop := context.AfterFunc(ctx, func() { c.Close() }) // ends the check also if the link is cut in the meantime
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
func (in *ingress) dial(ctx context.Context, b int) (*link.Conn, error) {
	return in.run.net.Dial(ctx, in.party, scenario.Party{Kind: scenario.BalancerParty, Index: b}, in.run.clientAddress(b))
}

// nextBalancer returns the next healthy balancer in round-robin order. It returns false if none is healthy.
func (in *ingress) nextBalancer() (int, bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	all := in.run.fleet.Zones[in.zone].Balancers
	for range all {
		in.lastIndex++
		if b := all[in.lastIndex%len(all)]; in.healthy[b] {
			return b, true
		}
	}
	return 0, false
}

// connect returns an idle connection to a balancer, or a new one if there is none or newConn is set. It waits no longer than
// the deadline, which is relative to the start of the run.
func (in *ingress) connect(ctx context.Context, b int, newConn bool, deadline time.Duration) (*clientConn, error) {
	for !newConn {
		c := in.takeIdle(b)
		if c == nil {
			break
		}
		if in.checkIdle(c) {
			return c, nil
		}
	}
	ctx, cancel := context.WithDeadline(ctx, in.run.startedAt.Add(deadline))
	defer cancel()
	c, err := in.dial(ctx, b)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: c, reader: bufio.NewReader(c)}, nil
}

// takeIdle removes and returns the most recently used idle connection to a balancer, or nil if there is none.
func (in *ingress) takeIdle(b int) *clientConn {
	in.mu.Lock()
	defer in.mu.Unlock()
	conns := in.idle[b]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	in.idle[b] = conns[:len(conns)-1]
	return c
}

// checkIdle reports whether an idle connection can be reused, and closes it otherwise: the balancer may have closed it, or
// sent data without a request. Such data is recorded as a second answer to the previous request.
func (in *ingress) checkIdle(c *clientConn) bool {
	waiting := c.reader.Buffered() > 0
	ended := false
	if !waiting {
		waiting, ended = c.Pending()
	}
	if waiting {
		extraAnswer := c.lastAnswer
		extraAnswer.At = in.run.now()
		in.run.recorder.record(extraAnswer)
	}
	if waiting || ended {
		c.Close()
		return false
	}
	return true
}

// putIdle returns a connection to the idle ones. It reports false if the connection can't be kept.
func (in *ingress) putIdle(b int, c *clientConn) bool {
	c.reused = true
	c.SetReadDeadline(time.Time{})
	if c.reader.Buffered() > 0 {
		return in.checkIdle(c)
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.idle[b]) >= maxIdleConns {
		return false
	}
	in.idle[b] = append(in.idle[b], c)
	return true
}
