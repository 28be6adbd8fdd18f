package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// discoveryRetryDelay is the wait between a failed call to discovery and the next one.
const discoveryRetryDelay = 100 * time.Millisecond

// watchEndpoints polls discovery for updates of the endpoint list, starting after the given revision. It never returns.
func (b *balancer) watchEndpoints(address string, revision uint64) {
	for {
		resp, err := http.Get(fmt.Sprintf("http://%s/v1/servers?since=%d&timeout_ms=1000", address, revision))
		if err != nil {
			time.Sleep(discoveryRetryDelay)
			continue
		}
		var list listing
		err = json.NewDecoder(resp.Body).Decode(&list)
		resp.Body.Close()
		if err != nil {
			continue
		}
		revision = list.Revision
		b.update(list)
	}
}

// update applies an answer of discovery: a complete list replaces the known endpoints, a partial one updates them.
func (b *balancer) update(list listing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if list.Complete {
		b.members = nil
	}
	for _, m := range list.Members {
		i := slices.IndexFunc(b.members, func(known member) bool { return known.ID == m.ID })
		if i < 0 {
			b.members = append(b.members, m)
		} else {
			b.members[i] = m
		}
	}
}

// pick returns the address of the next upstream in round-robin order, skipping the given number of upstreams.
func (b *balancer) pick(skip int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	var up []member
	for _, m := range b.members {
		if m.Phase == "up" || b.mode == modeIgnoreDraining {
			up = append(up, m)
		}
	}
	if b.mode == modeNoSlowStart {
		if i := slices.IndexFunc(up, func(m member) bool { return m.UpSince > 0 }); i >= 0 {
			return up[i].HostPort
		}
	}
	return up[(b.next+skip)%len(up)].HostPort
}
