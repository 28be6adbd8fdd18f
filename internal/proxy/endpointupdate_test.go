package proxy

import (
	"io"
	"testing"

	"sprucehill/balancer"
)

// A list gives an endpoint another address, or takes it away, while an attempt waits for its connection: the attempt is
// dropped, and nothing of it goes to the old address. Once, where only the address had changed, it was sent there.
func TestMovedEndpointGetsNothingAtItsOldAddress(t *testing.T) {
	for _, phase := range []string{"up", "draining", "removed"} {
		t.Run(phase, func(t *testing.T) {
			before := newServer(t, okAll)
			after := newServer(t, okAll)
			dials := newGate(t)
			b := newBalancerWith(t, newRegistry(t), func(c *Config) { c.open = dials.open }, up("s-00000001", before))
			client := b.raw(t, "checkin", "", "")
			first := dials.next(t)
			entry := up("s-00000001", after)
			entry.Phase = phase
			list := listing{Revision: 12, Members: []member{entry}}
			if phase != "up" {
				list.Members = append(list.Members, up("s-00000002", after))
			}
			<-b.registry.calls
			b.registry.answers <- list
			<-b.registry.calls // the list has been applied
			second := dials.next(t)
			want(t, "goes on to", second.address, after.addr)
			close(first.up) // after the list
			close(second.up)
			if _, err := io.ReadAtLeast(client, make([]byte, 12), 12); err != nil {
				t.Fatal(err)
			}
			b.settled(t)
			want(t, "requests at the old address", len(before.arrivals), 0)
			want(t, "requests at the new one", len(after.arrivals), 1)
		})
	}
}

// A list's entries change the endpoint table, and report which endpoints' idle connections no longer fit.
func TestEndpointTableUpdate(t *testing.T) {
	const address, other = "127.0.0.1:1", "127.0.0.1:2"
	tests := []struct {
		name    string
		known   *peer // nil: the endpoint is new
		state   balancer.EndpointState
		address string
		stale   bool
		stays   bool   // in the table, also after forgetRemoved
		at      string // its address then
	}{
		{"new", nil, balancer.Active, address, false, true, address},
		{"new and removed", nil, balancer.Removed, "", false, false, ""},
		{"unchanged", &peer{id: 1, address: address}, balancer.Active, address, false, true, address},
		{"moved", &peer{id: 1, address: address}, balancer.Active, other, true, true, other},
		{"draining", &peer{id: 1, address: address}, balancer.Draining, address, true, true, address},
		{"removed", &peer{id: 1, address: address}, balancer.Removed, "", true, false, ""},
		{"removed with an attempt in flight", &peer{id: 1, address: address, out: map[*attempt]struct{}{{}: {}}}, balancer.Removed,
			"", true, true, address},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := endpointTable{}
			if test.known != nil {
				table[1] = test.known
			}
			_, stale := table.update(balancer.Endpoint{ID: 1, State: test.state}, test.address)
			table.forgetRemoved()
			want(t, "idle connections are stale", stale, test.stale)
			want(t, "stays", table[1] != nil, test.stays)
			if test.stays {
				want(t, "state", table[1].state, test.state)
				want(t, "address", table[1].address, test.at)
			}
		})
	}
}
