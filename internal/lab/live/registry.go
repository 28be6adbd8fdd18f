package live

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/scenario"
)

const (
	// undeliveredAfter is the time after which a balancer that has not polled its agent counts as notified of an update,
	// provided that the agent would have answered.
	undeliveredAfter = 6 * time.Second
	// agentHeaderTimeout is how long an agent waits for the header of a call.
	agentHeaderTimeout = 10 * time.Second
	// registryStream selects the registry's random stream, so that its draws are independent of other uses of the seed.
	registryStream = 0x64697363
)

// listEntry is discovery's entry of an upstream.
type listEntry struct {
	phase     string    // up, draining or removed
	startedAt time.Time // zero: long before the run
	revision  uint64
}

// registry emulates discovery with its agents, one on the machine of each balancer. An agent answers at once with the
// endpoint list that it has.
type registry struct {
	run     *run
	servers []*http.Server
	ended   chan struct{} // closed at the end of the run

	mu       sync.Mutex
	revision uint64
	entries  []listEntry   // by upstream
	changed  chan struct{} // closed at the next revision
	agents   []agent       // by balancer
	rng      *rand.Rand
}

// agent is one balancer's agent.
type agent struct {
	silenced          int           // number of active faults that silence it
	answering         chan struct{} // closed while it is not silenced
	errorRate         float64       // share of calls that it fails
	clockOffset       time.Duration // of the balancer's clock relative to discovery's
	deliveredRevision uint64        // the newest that it has sent to the balancer
}

func newRegistry(r *run) *registry {
	g := &registry{
		run:      r,
		ended:    make(chan struct{}),
		revision: 1,
		changed:  make(chan struct{}),
		rng:      rand.New(rand.NewPCG(r.scenario.Seed, registryStream)),
	}
	for range r.fleet.Balancers {
		answering := make(chan struct{})
		close(answering)
		g.agents = append(g.agents, agent{answering: answering})
	}
	for range r.fleet.Upstreams {
		g.entries = append(g.entries, listEntry{phase: "up", revision: 1})
	}
	return g
}

// serve starts the agent of a balancer.
func (g *registry) serve(b int) error {
	l, err := net.Listen("tcp", g.run.agentAddress(b))
	if err != nil {
		return fmt.Errorf("listening for the discovery agent of balancer %d: %w", b, err)
	}
	s := &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.handleList(b, w, r) }),
		ReadHeaderTimeout: agentHeaderTimeout,
	}
	g.servers = append(g.servers, s)
	go func() { _ = s.Serve(l) }() // returns once the server is closed
	return nil
}

func (g *registry) close() {
	close(g.ended)
	for _, s := range g.servers {
		s.Close()
	}
}

// announce publishes an upstream's new phase to all agents after a delay.
func (g *registry) announce(u int, phase string, startedAt time.Time, delay time.Duration) {
	time.AfterFunc(delay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.revision++
		e := listEntry{phase, startedAt, g.revision}
		g.entries[u] = e
		close(g.changed)
		g.changed = make(chan struct{})
		time.AfterFunc(undeliveredAfter, func() { g.recordUndelivered(u, e) })
	})
}

// recordUndelivered records each balancer as notified of an entry that has not polled for it although its agent answers.
func (g *registry) recordUndelivered(u int, e listEntry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for b, a := range g.agents {
		if a.deliveredRevision < e.revision && a.silenced == 0 && a.errorRate == 0 {
			g.run.recorder.record(phaseEvent(b, u, e.phase))
		}
	}
}

// phaseEvent is the event that balancer b has been notified of upstream u's phase.
func phaseEvent(b, u int, phase string) history.Event {
	return history.Event{Kind: history.Notified, Balancer: int32(b), Upstream: int32(u), Arrival: history.None, Text: phase}
}

// onUpstreamFault announces the phase that a fault on an upstream leads to, after the delay with which discovery detects it.
func (g *registry) onUpstreamFault(u int, fault scenario.Fault, transition scenario.Transition, at time.Time) {
	phase, delay, warmsUp := g.run.scenario.EndpointPhase(fault, transition)
	if phase == "" {
		return
	}
	startedAt := time.Time{}
	if warmsUp {
		startedAt = at
	}
	g.announce(u, phase, startedAt, delay)
}

// silence makes an agent leave calls unanswered. Faults may overlap, so each call of silence needs one of endSilence.
func (g *registry) silence(b int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := &g.agents[b]
	a.silenced++
	if a.silenced == 1 {
		a.answering = make(chan struct{})
	}
}

// endSilence ends one silence of an agent, which answers again once all of them have ended.
func (g *registry) endSilence(b int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := &g.agents[b]
	if a.silenced == 0 {
		return
	}
	a.silenced--
	if a.silenced == 0 {
		close(a.answering)
	}
}

// setErrorRate makes an agent fail a share of the calls, from 0 to 1.
func (g *registry) setErrorRate(b int, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.agents[b].errorRate = share
}

// setClockOffset sets the offset of a balancer's clock relative to discovery's.
func (g *registry) setClockOffset(b int, offset time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.agents[b].clockOffset = offset
}
