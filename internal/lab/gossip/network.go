// Package gossip emulates the network between members of a fleet in memory: packets and streams, with partitions, loss,
// jitter, duplication and replay. Under testing/synctest its time is virtual, so that large fleets of the real protocol run
// in little time; nothing in it depends on that.
//
// Network owns all state and is safe for concurrent use. Packet faults are drawn from a seeded generator, but the order in
// which goroutines send is not controlled, so runs are not reproducible bit by bit.
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
	// inboxSize bounds the packets and the streams that wait for one member. Packets beyond it are dropped and connections
	// refused, as by a kernel.
	inboxSize = 512
	// port is the port of all members; they differ by IP address.
	port = 7946
)

// Fault is what happens to packets on the link from one member to another. The zero value is a link without faults.
type Fault struct {
	Cut           bool          // no packet and no stream gets through
	LossRate      float64       // fraction of packets lost, 0 to 1
	MaxJitter     time.Duration // each packet is delayed by up to this in addition, so that packets overtake each other
	DuplicateRate float64       // fraction of packets delivered twice, 0 to 1
}

// Traffic is what a member has sent in packets.
type Traffic struct {
	Packets int
	Bytes   int
}

// link is the directed link between two addresses.
type link struct{ from, to string }

func (l link) reversed() link { return link{from: l.to, to: l.from} }

// PacketRecorder receives the packets that reach a member. It must not call the network.
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
	streams   map[net.Conn]link // open streams, by the caller's end
	recorders map[string]PacketRecorder
}

// New returns a network whose packets take delay one way.
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

// Address returns the address, as host:port, of member i.
func Address(i int) string { return fmt.Sprintf("10.0.%d.%d:%d", i/250, i%250+1, port) }

// SetFault sets the fault of the link from one address to another. A cut closes the open streams between them.
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

// Kill takes a member off the network without notice.
func (n *Network) Kill(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.members, address)
}

// Freeze drops what a member sends and what is sent to it, as if its process were stopped.
func (n *Network) Freeze(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[address] = true
}

// Unfreeze ends the effect of Freeze.
func (n *Network) Unfreeze(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.frozen, address)
}

// RecordPackets passes each packet that reaches a member from now on to a function as well.
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

// Inject delivers a packet to a member at once, as if from had sent it.
func (n *Network) Inject(packet []byte, from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if t := n.members[to]; t != nil {
		t.receive(packet, from)
	}
}

// Join returns a new transport of the member at an address, in place of the one that had it before.
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

// deliverLater delivers a packet after the delay of its link.
func (n *Network) deliverLater(packet []byte, on link, delay time.Duration) {
	time.AfterFunc(delay, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		receiver := n.members[on.to]
		if receiver != nil && !n.frozen[on.to] {
			receiver.receive(packet, on.from)
		}
	})
}

// randomDelay draws a packet's delay on a link with a fault. n.mu is held.
func (n *Network) randomDelay(f Fault) time.Duration {
	if f.MaxJitter <= 0 {
		return n.delay
	}
	return n.delay + time.Duration(n.rng.Int64N(int64(f.MaxJitter)))
}
