package live

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"sprucehill/internal/lab/history"
)

const (
	// maxWatch is the longest that an agent delays the answer to a call until there is an update.
	maxWatch = time.Minute
	// listPath is where an agent serves the endpoint list.
	listPath = "/v1/servers"
)

// handleList answers a call of balancer b for the list.
func (g *registry) handleList(b int, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != listPath || r.Method != http.MethodGet {
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

// waitFor waits for a channel to be closed. It reports false if the call ended before.
func (g *registry) waitFor(r *http.Request, closed <-chan struct{}) bool {
	select {
	case <-closed:
		return true
	case <-r.Context().Done():
	case <-g.ended:
	}
	return false
}

// waitForRevision waits for a revision after since, or for the timeout. It reports false if the call ended before.
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

// writeFull writes the complete list.
func (g *registry) writeFull(b int, w http.ResponseWriter) {
	g.mu.Lock()
	list := g.listFor(b, present)
	notified := g.deliver(b, 0)
	g.mu.Unlock()
	g.write(w, list, notified)
}

// writeSince writes what has changed since a revision, or the complete list where that revision is not known.
func (g *registry) writeSince(b int, w http.ResponseWriter, since uint64) {
	g.mu.Lock()
	var list listing
	if since <= g.revision {
		list = g.listFor(b, func(e listEntry) bool { return e.revision > since })
		list.Complete = false
	} else {
		list = g.listFor(b, present)
	}
	notified := g.deliver(b, since)
	g.mu.Unlock()
	g.write(w, list, notified)
}

// deliver counts the list as delivered to balancer b, and returns the events of the entries after a revision. g.mu is
// held.
func (g *registry) deliver(b int, since uint64) []history.Event {
	var notified []history.Event
	for u, e := range g.entries {
		if e.revision > since {
			notified = append(notified, phaseEvent(b, u, e.phase))
		}
	}
	a := &g.agents[b]
	a.deliveredRevision = max(a.deliveredRevision, g.revision)
	return notified
}

// write writes a list, and records that its balancer knows it.
func (g *registry) write(w http.ResponseWriter, list listing, notified []history.Event) {
	text, err := json.Marshal(list)
	if err != nil {
		return
	}
	_, _ = w.Write(text) // a caller that has disconnected gets nothing
	for _, e := range notified {
		g.run.recorder.record(e)
	}
}
