package membership

import (
	"fmt"
	"log"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/memberlist"
)

// The settings of memberlist. A fleet of 12 detects a failed process within 1 to 2 s; docs/membership.md has measurements.
const (
	// probeInterval is the time between two probes by each member, so that each is probed about once in it, whatever the
	// size of the fleet.
	probeInterval = 200 * time.Millisecond
	// probeTimeout is for how long a direct ack is awaited before other members are requested to probe.
	probeTimeout = 100 * time.Millisecond
	// indirectProbes is the number of members that are requested to probe.
	indirectProbes = 3
	// suspicionMultiplier, times probeInterval and the logarithm of the fleet's size, is the least time in which a suspect
	// can refute that it is dead.
	suspicionMultiplier = 4
	// suspicionMaxMultiplier times that least time is the longest, while few others confirm the suspicion.
	suspicionMaxMultiplier = 2
	// gossipInterval is the time between two rounds of gossip.
	gossipInterval = 100 * time.Millisecond
	// deadGossipPeriod is for how long dead members still get gossip, so that one that was frozen learns that it is
	// considered dead.
	deadGossipPeriod = 30 * time.Second
	// pushPullInterval is the time between two exchanges of the full state; memberlist scales it up beyond 32 members.
	pushPullInterval = 10 * time.Second
	// streamTimeout bounds the establishment of a TCP connection and each read and write on it.
	streamTimeout = time.Second
	// broadcastTimeout bounds the wait until an update or a leave has been gossiped.
	broadcastTimeout = 500 * time.Millisecond
)

// createMemberlist binds the address and starts memberlist with an empty member table.
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
		return nil, fmt.Errorf("membership: listening at %s: %w", n.options.Listen, err)
	}
	return list, nil
}

// addresses parses the addresses to bind and to advertise.
func (o Options) addresses() (bind, advertise netip.AddrPort, err error) {
	bind, err = netip.ParseAddrPort(o.Listen)
	if err != nil {
		return bind, advertise, fmt.Errorf("membership: listen: %w", err)
	}
	if o.Advertise == "" {
		return bind, bind, nil
	}
	advertise, err = netip.ParseAddrPort(o.Advertise)
	if err != nil {
		return bind, advertise, fmt.Errorf("membership: tell: %w", err) // the key in the fleet file
	}
	return bind, advertise, nil
}

// checkAddressIsFree listens for a moment. memberlist's own error does not wrap EADDRINUSE, which Start tests for.
func checkAddressIsFree(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	listener.Close()
	return nil
}

// memberlistConfig is memberlist's configuration for a LAN with this package's settings and delegates.
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
