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

// toldAnyway is how long after an agent holds news its balancer counts as told though it has not asked, as long as the
// agent would have answered.
const toldAnyway = 6 * time.Second

// entry is what discovery has of an upstream.
type entry struct {
	phase    string // up, draining or removed
	upSince  time.Time
	revision uint64
}

// registry is discovery with its agents, one on each balancer's machine. An agent answers at once with what it has been
// sent.
type registry struct {
	run      *run
	mu       sync.Mutex
	revision uint64
	entries  []entry
	changed  chan struct{}
	silent   []int     // faults on, by agent
	fails    []float64 // the share of calls that an agent fails
	rng      *rand.Rand
	offsets  []time.Duration // of the balancer's clock
	open     []chan struct{} // closed when an agent speaks again
	written  []uint64        // the newest revision that each agent has told
	servers  []*http.Server
	ended    chan struct{}
}

func newRegistry(r *run) *registry {
	g := &registry{run: r, revision: 1, changed: make(chan struct{}), silent: make([]int, len(r.fleet.Balancers)),
		fails: make([]float64, len(r.fleet.Balancers)), rng: rand.New(rand.NewPCG(r.day.Seed, 0x64697363)),
		offsets: make([]time.Duration, len(r.fleet.Balancers)), written: make([]uint64, len(r.fleet.Balancers)), ended: make(chan struct{})}
	for range r.fleet.Balancers {
		open := make(chan struct{})
		close(open)
		g.open = append(g.open, open)
	}
	for range r.fleet.Upstreams {
		g.entries = append(g.entries, entry{phase: "up", revision: 1})
	}
	return g
}

// serve starts the agent of a balancer.
func (g *registry) serve(b int) error {
	l, err := net.Listen("tcp", g.run.agentAt(b))
	if err != nil {
		return fmt.Errorf("an emulated address is not free: %w", err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { g.answer(b, w, r) }),
		ReadHeaderTimeout: 10 * time.Second}
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

// tell lets every agent know of an upstream after a delay.
func (g *registry) tell(u int, phase string, since time.Time, delay time.Duration) {
	time.AfterFunc(delay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.revision++
		e := entry{phase, since, g.revision}
		g.entries[u] = e
		close(g.changed)
		g.changed = make(chan struct{})
		time.AfterFunc(toldAnyway, func() { g.overdue(u, e) })
	})
}

// overdue notes who has not asked for an entry in all the time that it could have.
func (g *registry) overdue(u int, e entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for b, revision := range g.written {
		if revision < e.revision && g.silent[b] == 0 && g.fails[b] == 0 {
			g.run.note(toldEvent(b, u, e.phase))
		}
	}
}

// toldEvent says that balancer b knows upstream u to be in a phase.
func toldEvent(b, u int, phase string) history.Event {
	return history.Event{Kind: history.Told, Balancer: int32(b), Upstream: int32(u), Arrival: history.None, Text: phase}
}

// silence makes an agent answer nothing, or speak again.
func (g *registry) silence(b int, on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case on:
		if g.silent[b]++; g.silent[b] == 1 {
			g.open[b] = make(chan struct{})
		}
	case g.silent[b] > 0:
		if g.silent[b]--; g.silent[b] == 0 {
			close(g.open[b])
		}
	}
}

// overbook makes an agent fail a share of its calls; 0: none.
func (g *registry) overbook(b int, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fails[b] = share
}

// skew sets the offset of a balancer's clock against discovery's.
func (g *registry) skew(b int, by time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.offsets[b] = by
}

// answer answers a call of balancer b.
func (g *registry) answer(b int, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/servers" || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	g.mu.Lock()
	open, failed := g.open[b], g.fails[b] > 0 && g.rng.Float64() < g.fails[b]
	g.mu.Unlock()
	if !g.wait(r, open) {
		return
	}
	if failed {
		http.Error(w, "overbooked", http.StatusServiceUnavailable)
		return
	}
	since, watch := uint64(0), r.URL.Query().Has("since")
	if watch {
		var err error
		if since, err = strconv.ParseUint(r.URL.Query().Get("since"), 10, 64); err != nil {
			http.Error(w, "since is no revision", http.StatusBadRequest)
			return
		}
		ms, _ := strconv.ParseInt(r.URL.Query().Get("timeout_ms"), 10, 64) // none: no wait
		limit := time.NewTimer(min(time.Duration(ms)*time.Millisecond, time.Minute))
		defer limit.Stop()
		for due := false; !due; {
			g.mu.Lock()
			news, changed := g.revision > since, g.changed
			g.mu.Unlock()
			if due = news; !news {
				select {
				case <-changed:
				case <-limit.C:
					due = true
				case <-r.Context().Done():
					return
				case <-g.ended:
					return
				}
			}
		}
		g.mu.Lock()
		open = g.open[b]
		g.mu.Unlock()
		if !g.wait(r, open) {
			return
		}
	}
	g.write(b, w, since, watch)
}

// wait waits for a channel; false: the call has ended.
func (g *registry) wait(r *http.Request, open <-chan struct{}) bool {
	select {
	case <-open:
		return true
	case <-r.Context().Done():
	case <-g.ended:
	}
	return false
}

// write writes the whole list, or what has changed since a revision. What is written counts as told.
func (g *registry) write(b int, w http.ResponseWriter, since uint64, delta bool) {
	g.mu.Lock()
	delta = delta && since <= g.revision
	list := g.list(b, func(e entry) bool {
		if delta {
			return e.revision > since
		}
		return e.phase != "removed"
	})
	list.Revision, list.Complete = g.revision, !delta
	var told []history.Event
	for u, e := range g.entries {
		if e.revision > since {
			told = append(told, toldEvent(b, u, e.phase))
		}
	}
	g.written[b] = max(g.written[b], g.revision)
	g.mu.Unlock()
	if text, err := json.Marshal(list); err == nil {
		_, _ = w.Write(text) // a caller that has disconnected gets nothing
		for _, e := range told {
			g.run.note(e)
		}
	}
}

// listing is discovery's form, also of what a configuration calls known.
type listing struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

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

// list has the entries that some function keeps, as balancer b is to see them. g.mu is held.
func (g *registry) list(b int, keep func(entry) bool) listing {
	l := listing{Revision: g.revision, Complete: true, Members: []member{}}
	f := g.run.fleet
	for u, e := range g.entries {
		if !keep(e) {
			continue
		}
		up := f.Upstreams[u]
		m := member{ID: up.ID, HostPort: g.run.upstreamAt(b, u), Locality: f.Locality(up.Zone), Flavor: up.Model,
			Cell: up.Zone*1000 + up.Cell, Phase: e.phase, Size: up.Size}
		if !e.upSince.IsZero() {
			m.UpSinceMS = e.upSince.Add(-g.offsets[b]).UnixMilli()
		}
		l.Members = append(l.Members, m)
	}
	return l
}

// known is the list that a balancer is started with.
func (g *registry) known(b int) listing {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.list(b, func(e entry) bool { return e.phase != "removed" })
}

// upstreamChange tells of an upstream's fate as discovery learns of it.
func (g *registry) upstreamChange(u int, fault day.Fault, on bool, since time.Time) {
	phase, delay, cold := g.run.day.Announced(fault, on)
	if !cold {
		since = time.Time{}
	}
	if phase != "" {
		g.tell(u, phase, since, delay)
	}
}
