package proxy

import (
	"sprucehill/balancer"
)

// endpoint is what the loop knows of an upstream: its address, its state and its connections.
type endpoint struct {
	id       balancer.EndpointID
	address  string // host:port
	state    balancer.EndpointState
	idle     []*upstreamConn // the most recently used last; the connection pool's
	inFlight map[*attempt]struct{}
}

// endpointTable is the loop's table of upstreams. It is used on the loop's goroutine only. An endpoint that discovery
// has removed stays in it until its last attempt has ended.
type endpointTable map[balancer.EndpointID]*endpoint

// unknownAddress stands in the log for the address of an endpoint that is not in the table.
const unknownAddress = "unknown"

// addressOf returns the address (host:port) of an endpoint for the log.
func (t endpointTable) addressOf(id balancer.EndpointID) string {
	if e := t[id]; e != nil {
		return e.address
	}
	return unknownAddress
}

// update applies an entry of discovery's list, an endpoint that it adds included, and returns the endpoint; nil: a
// removed one that was not known. stale tells that idle connections to it must not be used any more.
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

// removeUnlisted marks all endpoints but those listed as removed, and returns them.
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

// dropMisdirected drops the attempts that wait for a connection to an endpoint that is not active any more, or to an
// address that it has left: another upstream may have that address now. It returns them.
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

// forget deletes an endpoint that is removed and has no attempt in flight.
func (t endpointTable) forget(e *endpoint) {
	if e.state == balancer.Removed && len(e.inFlight) == 0 && t[e.id] == e {
		delete(t, e.id)
	}
}

// forgetRemoved deletes all endpoints that are removed and have no attempt in flight.
func (t endpointTable) forgetRemoved() {
	for _, e := range t {
		t.forget(e)
	}
}
