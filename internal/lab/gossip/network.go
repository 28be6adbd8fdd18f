// Package gossip emulates in memory the network between members of a fleet: packets and streams, with partitions, loss,
// jitter, duplication and replay. It works in real time and under testing/synctest, where virtual time lets large fleets of
// the real protocol run quickly.
//
// Network owns all state and is safe for concurrent use. Packet faults come from a seeded generator, but the order in which
// goroutines send is not controlled, so runs are not exactly reproducible.
package gossip

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	// inboxSize bounds the packets, and the streams, that are queued for one member. Further packets are dropped and further
	// connections refused, as a kernel does.
	inboxSize = 512
	// port is the same for all members; they differ by IP address.
	port = 7946
)

// Fault is the condition of the link from one member to another. The zero value is a link without faults.
type Fault struct {
	Cut           bool          // no packet and no stream gets through
	LossRate      float64       // fraction of packets lost, 0 to 1
	MaxJitter     time.Duration // upper bound of a random extra delay per packet, which reorders packets
	DuplicateRate float64       // fraction of packets delivered twice, 0 to 1
}

// Traffic counts the packets that a member has sent.
type Traffic struct {
	Packets int
	Bytes   int
}

// link is the directed link between two addresses.
type link struct{ from, to string }

func (l link) reversed() link { return link{from: l.to, to: l.from} }

// PacketRecorder is called with each packet that reaches a member, while the network is locked. It must not call the network.
type PacketRecorder func(packet []byte, from string)

// Network connects all members.
type Network struct {
	delay time.Duration

	mu        sync.Mutex
	rng       *rand.Rand
	members   map[string]*Transport // by address
	faults    map[link]Fault
	frozen    map[string]bool
	sent      map[string]Traffic
	streams   map[net.Conn]link // open streams, by the dialer's end
	recorders map[string]PacketRecorder
}

// New returns a network on which a packet takes delay one way. seed is that of the random packet faults.
func New(seed uint64, delay time.Duration) *Network {
	return &Network{
		delay:     delay,
		rng:       rand.New(rand.NewPCG(seed, seed)),
		members:   map[string]*Transport{},
		faults:    map[link]Fault{},
		frozen:    map[string]bool{},
		sent:      map[string]Traffic{},
		streams:   map[net.Conn]link{},
		recorders: map[string]PacketRecorder{},
	}
}

// Address returns the address of member i as host:port.
func Address(i int) string { return fmt.Sprintf("10.0.%d.%d:%d", i/250, i%250+1, port) }

// SetFault replaces the fault of the link from one address to another. A cut also closes all streams between the two.
func (n *Network) SetFault(from, to string, f Fault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	changed := link{from: from, to: to}
	n.faults[changed] = f
	if !f.Cut {
		return
	}
	for conn, streamLink := range n.streams {
		if streamLink == changed || streamLink == changed.reversed() {
			conn.Close()
			delete(n.streams, conn)
		}
	}
}

// Kill removes a member from the network without notice to the others.
func (n *Network) Kill(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.members, address)
}

// Freeze drops all that a member sends and all that is sent to it, as if its process had been stopped with SIGSTOP.
func (n *Network) Freeze(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[address] = true
}

// Unfreeze undoes Freeze.
func (n *Network) Unfreeze(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.frozen, address)
}

// RecordPackets also passes to recorder each packet that reaches a member from now on.
func (n *Network) RecordPackets(address string, recorder PacketRecorder) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recorders[address] = recorder
}

// Sent returns what a member has sent so far.
func (n *Network) Sent(address string) Traffic {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[address]
}

// Inject delivers a packet to a member at once, with from as its sender.
func (n *Network) Inject(packet []byte, from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t := n.members[to]; t != nil {
		t.receive(packet, from)
	}
}

// Join returns a new transport for the member at an address. It replaces any earlier transport at that address.
func (n *Network) Join(address string) *Transport {
	n.mu.Lock()
	defer n.mu.Unlock()
	t := &Transport{
		network: n,
		address: address,
		packets: make(chan *memberlist.Packet, inboxSize),
		streams: make(chan net.Conn, inboxSize),
	}
	n.members[address] = t
	return t
}

// deliverLater delivers a packet after a delay, unless the receiver is gone or frozen by then.
func (n *Network) deliverLater(packet []byte, path link, delay time.Duration) {
	time.AfterFunc(delay, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		receiver := n.members[path.to]
		if receiver != nil && !n.frozen[path.to] {
			receiver.receive(packet, path.from)
		}
	})
}

// randomDelay draws the delay of a packet on a link with a fault. The caller holds n.mu.
func (n *Network) randomDelay(f Fault) time.Duration {
	if f.MaxJitter <= 0 {
		return n.delay
	}
	return n.delay + time.Duration(n.rng.Int64N(int64(f.MaxJitter)))
}
