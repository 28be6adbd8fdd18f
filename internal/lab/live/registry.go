package live

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sprucehill/internal/lab/day"
	"sprucehill/internal/lab/history"
)

const (
	// undeliveredAfter is how long after an agent has an update its balancer counts as notified though it has not asked,
	// as long as the agent would have answered.
	undeliveredAfter = 6 * time.Second
	// agentHeaderTimeout is how long a call to an agent may take to send its header.
	agentHeaderTimeout = 10 * time.Second
	// maxWatch is the longest that an agent holds a call back for an update.
	maxWatch = time.Minute
	// registryStream sets the registry's random draws apart from other uses of the day's seed.
	registryStream = 0x64697363
	// cellsPerZone numbers the cells of all zones apart, as the model engine does.
	cellsPerZone = 1000
)

// listEntry is what discovery has of an upstream.
type listEntry struct {
	phase     string    // up, draining or removed
	startedAt time.Time // zero: long past
	revision  uint64
}

// registry is discovery with its agents, one on each balancer's machine. An agent answers at once with what it has.
type registry struct {
	run     *run
	servers []*http.Server
	ended   chan struct{} // closed at the end of the day

	mu       sync.Mutex
	revision uint64
	entries  []listEntry   // by upstream
	changed  chan struct{} // closed at the next revision
	agents   []agent       // by balancer
	rng      *rand.Rand
}

// agent is one balancer's agent.
type agent struct {
	silenced          int           // faults that silence it now
	answering         chan struct{} // closed while it is not silenced
	errorRate         float64       // share of calls that it fails
	clockOffset       time.Duration // of the balancer's clock against discovery's
	deliveredRevision uint64        // the newest that it has answered with
}

func newRegistry(r *run) *registry {
	g := &registry{
		run:      r,
		ended:    make(chan struct{}),
		revision: 1,
		changed:  make(chan struct{}),
		rng:      rand.New(rand.NewPCG(r.day.Seed, registryStream)),
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
	l, err := net.Listen("tcp", g.run.agentAt(b))
	if err != nil {
		return fmt.Errorf("an emulated address is not free: %w", err)
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

// announce gives every agent an upstream's new phase after a delay.
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

// recordUndelivered records as notified who has not asked for an entry in all the time that it could have.
func (g *registry) recordUndelivered(u int, e listEntry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for b, a := range g.agents {
		if a.deliveredRevision < e.revision && a.silenced == 0 && a.errorRate == 0 {
			g.run.record(phaseEvent(b, u, e.phase))
		}
	}
}

// phaseEvent says that balancer b knows upstream u to be in a phase.
func phaseEvent(b, u int, phase string) history.Event {
	return history.Event{Kind: history.Notified, Balancer: int32(b), Upstream: int32(u), Arrival: history.None, Text: phase}
}

// onUpstreamFault announces what a fault does to an upstream, as discovery learns of it.
func (g *registry) onUpstreamFault(u int, fault day.Fault, transition day.Transition, at time.Time) {
	phase, delay, cold := g.run.day.EndpointPhase(fault, transition)
	if phase == "" {
		return
	}
	startedAt := time.Time{}
	if cold {
		startedAt = at
	}
	g.announce(u, phase, startedAt, delay)
}

// silence makes an agent answer nothing. Silences overlap: each needs an endSilence of its own.
func (g *registry) silence(b int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := &g.agents[b]
	a.silenced++
	if a.silenced == 1 {
		a.answering = make(chan struct{})
	}
}

// endSilence ends one silence of an agent. It answers again once all have ended.
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

// setErrorRate makes an agent fail a share of its calls; 0: none.
func (g *registry) setErrorRate(b int, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.agents[b].errorRate = share
}

// setClockOffset sets the offset of a balancer's clock against discovery's.
func (g *registry) setClockOffset(b int, offset time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.agents[b].clockOffset = offset
}

// handleList answers a call of balancer b for the list.
func (g *registry) handleList(b int, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/servers" || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	answering, fails := g.drawCall(b)
	if !g.waitFor(r, answering) {
		return
	}
	if fails {
		http.Error(w, "overbooked", http.StatusServiceUnavailable)
		return
	}
	if !r.URL.Query().Has("since") {
		g.writeFull(b, w)
		return
	}
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since is no revision", http.StatusBadRequest)
		return
	}
	ms, _ := strconv.ParseInt(r.URL.Query().Get("timeout_ms"), 10, 64) // none: no wait
	if !g.waitForRevision(r, since, min(time.Duration(ms)*time.Millisecond, maxWatch)) {
		return
	}
	if !g.waitFor(r, g.answeringOf(b)) { // it may have been silenced meanwhile
		return
	}
	g.writeSince(b, w, since)
}

// drawCall is a channel that is closed while the agent answers, and whether it fails this call.
func (g *registry) drawCall(b int) (answering <-chan struct{}, fails bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := &g.agents[b]
	return a.answering, a.errorRate > 0 && g.rng.Float64() < a.errorRate
}

func (g *registry) answeringOf(b int) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.agents[b].answering
}

// waitFor waits for a channel to be closed; false: the call has ended.
func (g *registry) waitFor(r *http.Request, closed <-chan struct{}) bool {
	select {
	case <-closed:
		return true
	case <-r.Context().Done():
	case <-g.ended:
	}
	return false
}

// waitForRevision waits for a revision after since, or for the timeout; false: the call has ended.
func (g *registry) waitForRevision(r *http.Request, since uint64, timeout time.Duration) bool {
	limit := time.NewTimer(timeout)
	defer limit.Stop()
	for {
		g.mu.Lock()
		newer := g.revision > since
		changed := g.changed
		g.mu.Unlock()
		if newer {
			return true
		}
		select {
		case <-changed:
		case <-limit.C:
			return true
		case <-r.Context().Done():
			return false
		case <-g.ended:
			return false
		}
	}
}

// writeFull writes the whole list.
func (g *registry) writeFull(b int, w http.ResponseWriter) {
	g.mu.Lock()
	list := g.listFor(b, present)
	told := g.deliver(b, 0)
	g.mu.Unlock()
	g.write(w, list, told)
}

// writeSince writes what has changed since a revision, or the whole list where that revision is not known.
func (g *registry) writeSince(b int, w http.ResponseWriter, since uint64) {
	g.mu.Lock()
	var list listing
	if since <= g.revision {
		list = g.listFor(b, func(e listEntry) bool { return e.revision > since })
		list.Complete = false
	} else {
		list = g.listFor(b, present)
	}
	told := g.deliver(b, since)
	g.mu.Unlock()
	g.write(w, list, told)
}

// deliver counts the list as delivered to balancer b, and returns the events of the entries after a revision. g.mu is
// held.
func (g *registry) deliver(b int, since uint64) []history.Event {
	var told []history.Event
	for u, e := range g.entries {
		if e.revision > since {
			told = append(told, phaseEvent(b, u, e.phase))
		}
	}
	a := &g.agents[b]
	a.deliveredRevision = max(a.deliveredRevision, g.revision)
	return told
}

// write writes a list, and records that its balancer knows it.
func (g *registry) write(w http.ResponseWriter, list listing, told []history.Event) {
	text, err := json.Marshal(list)
	if err != nil {
		return
	}
	_, _ = w.Write(text) // a caller that has disconnected gets nothing
	for _, e := range told {
		g.run.record(e)
	}
}

// present reports whether an entry stands in a whole list.
func present(e listEntry) bool { return e.phase != "removed" }

// listing is discovery's form of the list, also of what a configuration calls known.
type listing struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// member is an upstream in a listing.
type member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

// listFor has the entries that a function selects, as balancer b is to see them. g.mu is held.
func (g *registry) listFor(b int, selected func(listEntry) bool) listing {
	list := listing{Revision: g.revision, Complete: true, Members: []member{}}
	fleet := g.run.fleet
	for u, e := range g.entries {
		if !selected(e) {
			continue
		}
		up := fleet.Upstreams[u]
		m := member{
			ID:       up.ID,
			HostPort: g.run.upstreamAt(b, u),
			Locality: fleet.Locality(up.Zone),
			Flavor:   up.Model,
			Cell:     up.Zone*cellsPerZone + up.Cell,
			Phase:    e.phase,
			Size:     up.Size,
		}
		if !e.startedAt.IsZero() {
			m.UpSinceMS = e.startedAt.Add(-g.agents[b].clockOffset).UnixMilli()
		}
		list.Members = append(list.Members, m)
	}
	return list
}

// initialList is the list that a balancer is started with.
func (g *registry) initialList(b int) listing {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.listFor(b, present)
}
