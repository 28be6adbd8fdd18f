package discovery

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"sprucehill/balancer"
)

// List is a list of upstreams, in the JSON form of the service's responses. The configuration and saved state use it too.
type List struct {
	Revision uint64  `json:"revision"` // increases with each change; 0: none
	Complete bool    `json:"complete"` // false: the list has only the entries that changed
	Members  []Entry `json:"members"`
}

// Entry describes one upstream of a List.
type Entry struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"` // the zone, with or without its region
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`       // lifecycle phase: a key of phaseStates
	Size      float64 `json:"size"`        // weight relative to other upstreams
	UpSinceMS int64   `json:"up_since_ms"` // start time, in Unix milliseconds; 0: long ago
}

// phaseStates maps the phases that the service reports to the endpoint states of the decision module.
var phaseStates = map[string]balancer.EndpointState{
	"up":       balancer.Active,
	"draining": balancer.Draining,
	"removed":  balancer.Removed,
}

// errMissingEntryID is the error of an entry without an ID.
var errMissingEntryID = errors.New("entry without an id")

// Validate returns an error if the entry has no ID, an unknown phase, or an address that is not an IP address with a port.
// The address of a removed entry is not checked.
func (m *Entry) Validate() error {
	if m.ID == "" {
		return errMissingEntryID
	}
	state, ok := phaseStates[m.Phase]
	if !ok {
		return fmt.Errorf("%s: unknown phase %q", m.ID, m.Phase)
	}
	if state == balancer.Removed {
		return nil
	}
	if _, err := netip.ParseAddrPort(m.HostPort); err != nil {
		return fmt.Errorf("%s: invalid host_port: %w", m.ID, err)
	}
	return nil
}

// IsRemoved reports whether the upstream of the entry has been removed.
func (m *Entry) IsRemoved() bool { return phaseStates[m.Phase] == balancer.Removed }

// ToEndpoint converts the entry to an endpoint of the decision module, which has the given ID there. StartedAt is Unix
// time.
func (m *Entry) ToEndpoint(id balancer.EndpointID) balancer.Endpoint {
	return balancer.Endpoint{
		ID:     id,
		Zone:   m.Locality,
		Cell:   m.Cell,
		Weight: m.Size,
		State:  phaseStates[m.Phase],
		// The event loop's clock starts at Unix time, so this needs no conversion, and 0 stays 0.
		StartedAt: time.Duration(m.UpSinceMS) * time.Millisecond,
	}
}
