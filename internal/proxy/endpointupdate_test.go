package proxy

import (
	"io"
	"testing"

	"sprucehill/balancer"
	"sprucehill/internal/discovery"
)

// If a list changes an endpoint's address, drains it or removes it while an attempt is waiting for its connection, the
// attempt is dropped and nothing is sent to the old address. Guards against an attempt that was sent to the old address if
// only the address had changed.
func TestMovedEndpointGetsNothingAtItsOldAddress(t *testing.T) {
	for _, phase := range []string{"up", "draining", "removed"} {
		t.Run(phase, func(t *testing.T) {
			before := newTestUpstream(t, respondOK)
			after := newTestUpstream(t, respondOK)
			dials := newDialGate(t)
			b := newBalancerWith(t, newTestDiscovery(t), func(c *Config) { c.openConn = dials.open }, activeMember("s-00000001", before))
			client := b.sendRaw(t, "checkin", "")
			first := dials.next(t)
			entry := activeMember("s-00000001", after)
			entry.Phase = phase
			list := discovery.List{Revision: 12, Members: []discovery.Entry{entry}}
			if phase != "up" {
				list.Members = append(list.Members, activeMember("s-00000002", after))
			}
			<-b.discovery.calls
			b.discovery.answers <- list
			<-b.discovery.calls // the list has been applied
			second := dials.next(t)
			assertEqual(t, "address of the next attempt", second.address, after.addr)
			close(first.connect) // after the list has been applied
			close(second.connect)
			if _, err := io.ReadAtLeast(client, make([]byte, 12), 12); err != nil {
				t.Fatal(err)
			}
			b.awaitSettled(t)
			assertEqual(t, "requests at the old address", len(before.arrivals), 0)
			assertEqual(t, "requests at the new one", len(after.arrivals), 1)
		})
	}
}

// The entries of a list update the endpoint table, and update reports which endpoints' idle connections are stale.
func TestEndpointTableUpdate(t *testing.T) {
	const address, other = "127.0.0.1:1", "127.0.0.1:2"
	tests := []struct {
		name        string
		known       *endpoint // nil: the endpoint is new
		state       balancer.EndpointState
		address     string
		stale       bool
		stays       bool   // in the table after deleteUnused
		wantAddress string // its address after the update
	}{
		{"new", nil, balancer.Active, address, false, true, address},
		{"new and removed", nil, balancer.Removed, "", false, false, ""},
		{"unchanged", &endpoint{id: 1, address: address}, balancer.Active, address, false, true, address},
		{"moved", &endpoint{id: 1, address: address}, balancer.Active, other, true, true, other},
		{"draining", &endpoint{id: 1, address: address}, balancer.Draining, address, true, true, address},
		{"removed", &endpoint{id: 1, address: address}, balancer.Removed, "", true, false, ""},
		{"removed with an attempt in flight", &endpoint{id: 1, address: address, inFlight: map[*attempt]struct{}{{}: {}}}, balancer.Removed,
			"", true, true, address},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := endpointTable{}
			if test.known != nil {
				table[1] = test.known
			}
			_, stale := table.update(balancer.Endpoint{ID: 1, State: test.state}, test.address)
			table.deleteUnused()
			assertEqual(t, "idle connections are stale", stale, test.stale)
			assertEqual(t, "stays", table[1] != nil, test.stays)
			if test.stays {
				assertEqual(t, "state", table[1].state, test.state)
				assertEqual(t, "address", table[1].address, test.wantAddress)
			}
		})
	}
}
