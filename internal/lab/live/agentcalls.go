package live

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"sprucehill/internal/lab/history"
)

const (
	// maxWatchTimeout is the longest that an agent holds a watch without an update.
	maxWatchTimeout = time.Minute
	// listPath is where an agent serves the endpoint list.
	listPath = "/v1/servers"
)

// handleList answers a request of balancer b for the endpoint list.
func (g *registry) handleList(b int, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != listPath || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	answering, fails := g.sampleCall(b)
	if !g.waitForClose(r, answering) {
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
	ms, _ := strconv.ParseInt(r.URL.Query().Get("timeout_ms"), 10, 64) // absent: 0, the answer comes at once
	if !g.waitForRevision(r, since, min(time.Duration(ms)*time.Millisecond, maxWatchTimeout)) {
		return
	}
	if !g.waitForClose(r, g.answeringOf(b)) { // a fault may have silenced the agent in the meantime
		return
	}
	g.writeSince(b, w, since)
}

// sampleCall returns a channel that is closed while the agent answers, and decides at random, by the agent's error rate,
// whether it fails this call.
func (g *registry) sampleCall(b int) (answering <-chan struct{}, fails bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := &g.agents[b]
	return a.answering, a.errorRate > 0 && g.rng.Float64() < a.errorRate
}

// answeringOf returns a channel that is closed while the agent of balancer b answers.
func (g *registry) answeringOf(b int) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.agents[b].answering
}

// waitForClose waits until a channel is closed. It returns false if the call or the run ends first.
func (g *registry) waitForClose(r *http.Request, closed <-chan struct{}) bool {
	select {
	case <-closed:
		return true
	case <-r.Context().Done():
	case <-g.ended:
	}
	return false
}

// waitForRevision waits for a revision after since, or for the timeout. It returns false if the call or the run ends
// first.
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

// writeFull writes the complete endpoint list.
func (g *registry) writeFull(b int, w http.ResponseWriter) {
	g.mu.Lock()
	list := g.listFor(b, present)
	notified := g.markDelivered(b, 0)
	g.mu.Unlock()
	g.write(w, list, notified)
}

// writeSince writes the entries that have changed since a revision, or the complete list if that revision does not exist
// yet.
func (g *registry) writeSince(b int, w http.ResponseWriter, since uint64) {
	g.mu.Lock()
	var list listing
	if since <= g.revision {
		list = g.listFor(b, func(e listEntry) bool { return e.revision > since })
		list.Complete = false
	} else {
		list = g.listFor(b, present)
	}
	notified := g.markDelivered(b, since)
	g.mu.Unlock()
	g.write(w, list, notified)
}

// markDelivered notes that balancer b gets the current revision. It returns an event for each entry that is newer than the
// revision since. The caller holds g.mu.
func (g *registry) markDelivered(b int, since uint64) []history.Event {
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

// write writes a list, and records that the balancer has been notified of its entries.
func (g *registry) write(w http.ResponseWriter, list listing, notified []history.Event) {
	text, err := json.Marshal(list)
	if err != nil {
		return
	}
	_, _ = w.Write(text) // the caller may have disconnected
	for _, e := range notified {
		g.run.recorder.record(e)
	}
}
