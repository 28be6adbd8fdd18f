//go:build review

package stage

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is an entry of discovery's list.
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

// discovery is the agent on the balancer's machine.
type discovery struct {
	stage    *stage
	listener net.Listener

	mu       sync.Mutex
	takes    time.Duration // how long a call takes at least: discovery is slow
	revision uint64
	members  []member
	changed  map[string]uint64 // the revision of the last change, by ID
	news     chan struct{}     // closed at a change
}

// startDiscovery starts an agent that lists the upstreams.
func (s *stage) startDiscovery(upstreams ...*upstream) *discovery {
	d := &discovery{stage: s, listener: s.listen(), revision: 41, changed: map[string]uint64{}, news: make(chan struct{})}
	for _, u := range upstreams {
		d.members = append(d.members, u.entry)
		d.changed[u.entry.ID] = d.revision
	}
	go http.Serve(d.listener, d)
	return d
}

func (d *discovery) address() string { return d.listener.Addr().String() }

// list returns the whole list.
func (d *discovery) list() object {
	d.mu.Lock()
	defer d.mu.Unlock()
	return object{"revision": d.revision, "complete": true, "members": append([]member{}, d.members...)}
}

// setPhase changes the phase of an upstream.
func (d *discovery) setPhase(id, phase string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for i := range d.members {
		if d.members[i].ID == id {
			d.members[i].Phase = phase
		}
	}
	d.changed[id] = d.revision
	close(d.news)
	d.news = make(chan struct{})
	d.stage.log("discovery: %s is %s, revision %d", id, phase, d.revision)
}

// ServeHTTP answers a call.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	calledAt := time.Now()
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	d.mu.Lock()
	news, current, takes := d.news, d.revision, d.takes
	d.mu.Unlock()
	if err == nil && since >= current {
		timeout, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
		select {
		case <-news:
		case <-time.After(time.Duration(timeout) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	if !sleep(r.Context(), takes-time.Since(calledAt)) {
		d.stage.log("discovery: a call is given up after %.3f s", time.Since(calledAt).Seconds())
		return
	}
	answer := d.list()
	if err == nil && since > 0 {
		answer = d.changes(since)
	}
	text, _ := json.Marshal(answer)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text)
}

// setTakes makes each call from now on take at least so long.
func (d *discovery) setTakes(takes time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.takes = takes
	d.stage.log("discovery: each call takes %v at least", takes)
}

// sleep waits, and reports whether the context has not ended before.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

// changes returns the entries that have changed since a revision.
func (d *discovery) changes(since uint64) object {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := []member{}
	for _, m := range d.members {
		if d.changed[m.ID] > since {
			changed = append(changed, m)
		}
	}
	return object{"revision": d.revision, "complete": false, "members": changed}
}
