package proxy

import (
	"sprucehill/balancer"
)

// endpoint is the loop's record of an upstream: its address, its state and its connections.
type endpoint struct {
	id       balancer.EndpointID
	address  string // host:port
	state    balancer.EndpointState
	idle     []*upstreamConn // the most recently used last; managed by the connection pool
	inFlight map[*attempt]struct{}
}

// endpointTable is the loop's table of upstreams. It is used on the loop's goroutine only. An endpoint that discovery
// has removed stays in the table until its last attempt has ended.
type endpointTable map[balancer.EndpointID]*endpoint

// unknownAddress is logged as the address of an endpoint that is not in the table.
const unknownAddress = "unknown"

// addressOf returns the address (host:port) of an endpoint for logging.
func (t endpointTable) addressOf(id balancer.EndpointID) string {
	if e := t[id]; e != nil {
		return e.address
	}
	return unknownAddress
}

// update applies an entry of discovery's list, which may add an endpoint, and returns the endpoint. It returns nil if the
// entry removes an endpoint that is not in the table. stale reports that idle connections to it must no longer be used.
func (t endpointTable) update(entry balancer.Endpoint, address string) (e *endpoint, stale bool) {
	e = t[entry.ID]
	if e == nil {
		if entry.State == balancer.Removed {
			return nil, false
		}
		e = &endpoint{id: entry.ID, inFlight: map[*attempt]struct{}{}}
		t[entry.ID] = e
	}
	e.state = entry.State
	moved := address != e.address && e.address != ""
	stale = entry.State != balancer.Active || moved
	if entry.State != balancer.Removed {
		e.address = address
	}
	return e, stale
}

// removeUnlisted marks all endpoints that are not listed as removed, and returns them.
func (t endpointTable) removeUnlisted(listed map[balancer.EndpointID]bool) []*endpoint {
	var removed []*endpoint
	for id, e := range t {
		if !listed[id] {
			e.state = balancer.Removed
			removed = append(removed, e)
		}
	}
	return removed
}

// dropMisdirected drops and returns the attempts that are waiting for a connection to an endpoint that is no longer active,
// or to a former address of an endpoint: another upstream may have that address now.
func (t endpointTable) dropMisdirected() []*attempt {
	var dropped []*attempt
	for _, e := range t {
		for a := range e.inFlight {
			misdirected := e.state != balancer.Active || a.address != e.address
			if misdirected && a.drop() {
				dropped = append(dropped, a)
			}
		}
	}
	return dropped
}

// deleteIfUnused deletes an endpoint from the table if discovery has removed it and it has no attempt in flight.
func (t endpointTable) deleteIfUnused(e *endpoint) {
	if e.state == balancer.Removed && len(e.inFlight) == 0 && t[e.id] == e {
		delete(t, e.id)
	}
}

// deleteUnused deletes all endpoints that discovery has removed and that have no attempt in flight.
func (t endpointTable) deleteUnused() {
	for _, e := range t {
		t.deleteIfUnused(e)
	}
}
