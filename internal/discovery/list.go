package discovery

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"sprucehill/balancer"
)

// List is a list of upstreams, in the form of discovery's answers. The configuration and saved state have the same form.
type List struct {
	Revision uint64  `json:"revision"` // rises with each change; 0: of none
	Complete bool    `json:"complete"` // false: only the entries that changed
	Members  []Entry `json:"members"`
}

// Entry is an entry of a List: one upstream.
type Entry struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"` // the zone, with or without its region
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`       // a key of phases
	Size      float64 `json:"size"`        // its weight against others
	UpSinceMS int64   `json:"up_since_ms"` // Unix time, in milliseconds; 0: long ago
}

// phases maps discovery's phases to the decision module's states.
var phases = map[string]balancer.EndpointState{
	"up":       balancer.Active,
	"draining": balancer.Draining,
	"removed":  balancer.Removed,
}

// errNoEntryID says that an entry of an endpoint list names no endpoint.
var errNoEntryID = errors.New("an entry has no id")

// Validate returns an error that says what makes the entry unusable: no ID, an unknown phase, or an address that is not an
// IP address with a port. A removed entry needs no address.
func (m *Entry) Validate() error {
	if m.ID == "" {
		return errNoEntryID
	}
	state, ok := phases[m.Phase]
	if !ok {
		return fmt.Errorf("%s: phase %q is unknown", m.ID, m.Phase)
	}
	if state == balancer.Removed {
		return nil
	}
	if _, err := netip.ParseAddrPort(m.HostPort); err != nil {
		return fmt.Errorf("%s: %w", m.ID, err)
	}
	return nil
}

// IsRemoved reports whether the entry says that its upstream is gone.
func (m *Entry) IsRemoved() bool { return phases[m.Phase] == balancer.Removed }

// ToEndpoint returns the entry as the decision module takes it, under an ID of the module's. StartedAt is Unix time.
func (m *Entry) ToEndpoint(id balancer.EndpointID) balancer.Endpoint {
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
