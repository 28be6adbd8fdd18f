package proxy

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"sprucehill/balancer"
)

// endpointList is a list of upstreams, as discovery answers it, the configuration names it and the state saver keeps it.
type endpointList struct {
	Revision uint64          `json:"revision"`
	Complete bool            `json:"complete"` // false: only the entries that changed
	Members  []endpointEntry `json:"members"`
}

// endpointEntry is an entry of an endpoint list.
type endpointEntry struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"` // the zone, with or without its region
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"` // a key of phases
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"` // Unix time; 0: long ago
}

// phases maps discovery's phases to the decision module's states.
var phases = map[string]balancer.EndpointState{
	"up":       balancer.Active,
	"draining": balancer.Draining,
	"removed":  balancer.Removed,
}

// errNoEntryID says that an entry of an endpoint list names no endpoint.
var errNoEntryID = errors.New("an entry has no id")

// validate returns an error that says what makes the entry unusable.
func (m *endpointEntry) validate() error {
	if m.ID == "" {
		return errNoEntryID
	}
	state, ok := phases[m.Phase]
	if !ok {
		return fmt.Errorf("%s: phase %q is unknown", m.ID, m.Phase)
	}
	if state == balancer.Removed { // it needs no address
		return nil
	}
	if _, err := netip.ParseAddrPort(m.HostPort); err != nil {
		return fmt.Errorf("%s: %w", m.ID, err)
	}
	return nil
}

// toEndpoint returns the entry as the decision module takes it, under an ID of the module's.
func (m *endpointEntry) toEndpoint(id balancer.EndpointID) balancer.Endpoint {
	return balancer.Endpoint{
		ID:     id,
		Zone:   m.Locality,
		Cell:   m.Cell,
		Weight: m.Size,
		State:  phases[m.Phase],
		// The loop's clock is Unix time at its start, so this needs no conversion, and 0 stays 0.
		StartedAt: time.Duration(m.UpSinceMS) * time.Millisecond,
	}
}
