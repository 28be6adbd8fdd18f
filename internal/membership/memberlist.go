package membership

import (
	"fmt"
	"log"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/memberlist"
)

// Settings of memberlist. With them a fleet of 12 detects a failed process within 1 to 2 s; see docs/membership.md for
// measurements.
const (
	// probeInterval is the time between two probes sent by a member. Each member is probed about once per interval, whatever
	// the size of the fleet.
	probeInterval = 200 * time.Millisecond
	// probeTimeout is how long a member waits for a direct ack before it requests indirect probes.
	probeTimeout = 100 * time.Millisecond
	// indirectProbes is the number of other members that are requested to probe indirectly.
	indirectProbes = 3
	// suspicionMultiplier, times probeInterval and the logarithm of the fleet size, is the minimum time for a suspected member
	// to refute the suspicion.
	suspicionMultiplier = 4
	// suspicionMaxMultiplier, times that minimum, is the maximum time, which applies while few other members confirm the
	// suspicion.
	suspicionMaxMultiplier = 2
	// gossipInterval is the time between two gossip rounds.
	gossipInterval = 100 * time.Millisecond
	// deadGossipPeriod is how long dead members are still sent gossip, so that a member that was frozen learns that it is
	// considered dead.
	deadGossipPeriod = 30 * time.Second
	// pushPullInterval is the time between two exchanges of the full state. Memberlist increases it for more than 32 members.
	pushPullInterval = 10 * time.Second
	// streamTimeout limits the time to establish a TCP connection, and each read and write on it.
	streamTimeout = time.Second
	// broadcastTimeout limits the wait until an update or a leave has been sent to other members.
	broadcastTimeout = 500 * time.Millisecond
)

// createMemberlist binds the address and starts memberlist with a member table that contains only this process.
func (n *Node) createMemberlist() (*memberlist.Memberlist, error) {
	bind, advertise, err := n.options.addresses()
	if err != nil {
		return nil, err
	}
	if n.options.NewTransport == nil {
		if err := checkAddressIsFree(n.options.Listen); err != nil {
			return nil, err
		}
	}
	n.mu.Lock()
	n.self.Address = advertise.String()
	self := n.self
	n.table = NewMemberTable(n.now(), self)
	n.mu.Unlock()
	list, err := memberlist.Create(n.memberlistConfig(self, bind, advertise))
	if err != nil {
		return nil, fmt.Errorf("membership: listening on %s: %w", n.options.Listen, err)
	}
	return list, nil
}

// addresses parses the address to bind and the address to advertise.
func (o Options) addresses() (bind, advertise netip.AddrPort, err error) {
	bind, err = netip.ParseAddrPort(o.Listen)
	if err != nil {
		return bind, advertise, fmt.Errorf("membership: parsing listen address: %w", err)
	}
	if o.Advertise == "" {
		return bind, bind, nil
	}
	advertise, err = netip.ParseAddrPort(o.Advertise)
	if err != nil {
		return bind, advertise, fmt.Errorf("membership: parsing advertised address (key tell): %w", err)
	}
	return bind, advertise, nil
}

// checkAddressIsFree listens on an address and closes the listener again. Start tests for EADDRINUSE, which memberlist's own
// error doesn't wrap.
func checkAddressIsFree(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("membership: checking that the listen address is free: %w", err)
	}
	listener.Close()
	return nil
}

// memberlistConfig returns memberlist's default configuration for a LAN with this package's settings and delegates.
func (n *Node) memberlistConfig(self Member, bind, advertise netip.AddrPort) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name = self.ProcessID().nodeName()
	c.BindAddr = bind.Addr().String()
	c.BindPort = int(bind.Port())
	c.AdvertiseAddr = advertise.Addr().String()
	c.AdvertisePort = int(advertise.Port())
	if n.options.NewTransport != nil {
		c.Transport = n.options.NewTransport()
	}
	c.ProbeInterval = probeInterval
	c.ProbeTimeout = probeTimeout
	c.IndirectChecks = indirectProbes
	c.SuspicionMult = suspicionMultiplier
	c.SuspicionMaxTimeoutMult = suspicionMaxMultiplier
	c.GossipInterval = gossipInterval
	c.GossipToTheDeadTime = deadGossipPeriod
	c.PushPullInterval = pushPullInterval
	c.TCPTimeout = streamTimeout
	c.Keyring = n.keys.memberlistRing()
	c.Delegate = metadataDelegate{n}
	c.Events = eventDelegate{n}
	c.Ping = pingDelegate{n}
	c.Alive = aliveDelegate{n}
	c.Logger = log.New(logWriter{n}, "", 0)
	return c
}
