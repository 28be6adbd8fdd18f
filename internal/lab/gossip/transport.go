package gossip

import (
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"
)

// Transport connects one member to the network.
type Transport struct {
	network *Network
	address string
	packets chan *memberlist.Packet
	streams chan net.Conn
}

var _ memberlist.Transport = (*Transport)(nil)

// FinalAdvertiseAddr returns this member's address. It ignores the configured one.
func (t *Transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	address, err := net.ResolveUDPAddr("udp", t.address)
	if err != nil {
		return nil, 0, err
	}
	return address.IP.To4(), address.Port, nil
}

// isOffline reports whether the member was killed, replaced or frozen. The caller holds the network's lock.
func (t *Transport) isOffline() bool {
	return t.network.members[t.address] != t || t.network.frozen[t.address]
}

// WriteTo sends a packet. As with UDP, a lost packet is not an error.
func (t *Transport) WriteTo(packet []byte, to string) (time.Time, error) {
	n := t.network
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	if t.isOffline() {
		return now, nil
	}
	sent := n.sent[t.address]
	n.sent[t.address] = Traffic{Packets: sent.Packets + 1, Bytes: sent.Bytes + len(packet)}
	path := link{from: t.address, to: to}
	fault := n.faults[path]
	if fault.Cut || n.rng.Float64() < fault.LossRate {
		return now, nil
	}
	copies := 1
	if n.rng.Float64() < fault.DuplicateRate {
		copies = 2
	}
	packet = slices.Clone(packet)
	for range copies {
		n.deliverLater(packet, path, n.randomDelay(fault))
	}
	return now, nil
}

// receive queues a packet for the member, or drops it if the queue is full. The caller holds the network's lock.
func (t *Transport) receive(packet []byte, from string) {
	sender, err := net.ResolveUDPAddr("udp", from)
	if err != nil {
		return
	}
	if record := t.network.recorders[t.address]; record != nil {
		record(packet, from)
	}
	select {
	case t.packets <- &memberlist.Packet{Buf: slices.Clone(packet), From: sender, Timestamp: time.Now()}:
	default:
	}
}

// PacketCh returns the channel on which packets arrive.
func (t *Transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// DialTimeout opens a stream to a member. Streams have no loss and no delay; a cut closes them.
func (t *Transport) DialTimeout(to string, timeout time.Duration) (net.Conn, error) {
	n := t.network
	n.mu.Lock()
	defer n.mu.Unlock()
	receiver := n.members[to]
	switch {
	case t.isOffline():
		return nil, fmt.Errorf("dialing %s: %s is off the network", to, t.address)
	case t.isUnreachable(to):
		n.mu.Unlock()
		time.Sleep(timeout)
		n.mu.Lock()
		return nil, fmt.Errorf("dialing %s from %s: no connection within %v", to, t.address, timeout)
	case receiver == nil:
		return nil, fmt.Errorf("dialing %s from %s: no member at that address", to, t.address)
	}
	dialerEnd, receiverEnd := net.Pipe()
	select {
	case receiver.streams <- receiverEnd:
	default:
		dialerEnd.Close()
		return nil, fmt.Errorf("dialing %s from %s: %d connections are already waiting to be accepted", to, t.address, inboxSize)
	}
	n.streams[dialerEnd] = link{from: t.address, to: to}
	return &stream{Conn: dialerEnd, network: n}, nil
}

// isUnreachable reports whether a dial of an address gets no reply. The caller holds the network's lock.
func (t *Transport) isUnreachable(to string) bool {
	n := t.network
	path := link{from: t.address, to: to}
	return n.faults[path].Cut || n.faults[path.reversed()].Cut || n.frozen[to]
}

// StreamCh returns the channel on which streams arrive.
func (t *Transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown removes the member from the network, unless another transport has replaced it.
func (t *Transport) Shutdown() error {
	n := t.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.members[t.address] == t {
		delete(n.members, t.address)
	}
	return nil
}

// stream is the dialer's end of a stream.
type stream struct {
	net.Conn
	network *Network
}

func (s *stream) Close() error {
	s.network.mu.Lock()
	delete(s.network.streams, s.Conn)
	s.network.mu.Unlock()
	return s.Conn.Close()
}
