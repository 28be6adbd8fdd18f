// Package link emulates a network on top of TCP connections over loopback. Bytes on a connection are delayed by the link
// between its two parties as its condition is at that moment. While the link is cut, established connections carry no data
// but are not reset, and new connections are not established. Buffering and ordering are the kernel's: this package only
// delays the bytes.
package link

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"sprucehill/internal/lab/scenario"
)

// lossStream separates the random stream of packet losses from other uses of the scenario's seed.
const lossStream = 0x6c696e6b

// Network is the emulated network of one run.
type Network struct {
	mu        sync.Mutex
	paths     *scenario.Paths
	rng       *rand.Rand
	vanished  map[scenario.Party]bool // machines that are off the network
	changed   chan struct{}           // closed and replaced when a link's condition changes
	conns     map[*Conn]struct{}
	listeners map[*Listener]struct{}
}

// New returns a network with the links of paths. seed determines its packet losses.
func New(paths *scenario.Paths, seed uint64) *Network {
	return &Network{
		paths:     paths,
		rng:       rand.New(rand.NewPCG(seed, lossStream)),
		vanished:  map[scenario.Party]bool{},
		changed:   make(chan struct{}),
		conns:     map[*Conn]struct{}{},
		listeners: map[*Listener]struct{}{},
	}
}

// Apply begins or ends fault i of the scenario. A fault that resets connections does so when it begins.
func (n *Network) Apply(i int, transition scenario.Transition) {
	n.mu.Lock()
	n.paths.Apply(i, transition)
	var affected []*Conn
	if transition == scenario.Begin && n.paths.ResetsConns(i) {
		affected = n.connsWhere(func(c *Conn) bool { return n.paths.Affects(i, c.near, c.far) || n.paths.Affects(i, c.far, c.near) })
	}
	n.notifyChange()
	n.mu.Unlock()
	resetConns(affected)
	n.updateListeners()
}

// Disconnect takes a machine off the network: no byte reaches or leaves it, and its connections are not reset.
func (n *Network) Disconnect(p scenario.Party) { n.setVanished(p, true) }

// Reconnect puts a machine back on the network after Disconnect. It first resets the connections that the other parties
// still have open, so that no delayed data arrives on them.
func (n *Network) Reconnect(p scenario.Party) {
	n.ResetAll(p)
	n.setVanished(p, false)
}

func (n *Network) setVanished(p scenario.Party, vanished bool) {
	n.mu.Lock()
	n.vanished[p] = vanished
	n.notifyChange()
	n.mu.Unlock()
	n.updateListeners()
}

// ResetAll resets every connection of a party, as when its process dies.
func (n *Network) ResetAll(p scenario.Party) {
	n.mu.Lock()
	conns := n.connsWhere(func(c *Conn) bool { return c.near == p || c.far == p })
	n.mu.Unlock()
	resetConns(conns)
}

// connsWhere returns the open connections that match a predicate. n.mu must be held.
func (n *Network) connsWhere(matches func(*Conn) bool) []*Conn {
	var conns []*Conn
	for c := range n.conns {
		if matches(c) {
			conns = append(conns, c)
		}
	}
	return conns
}

func resetConns(conns []*Conn) {
	for _, c := range conns {
		c.Reset()
	}
}

// notifyChange wakes the goroutines that wait for a link's condition to change. n.mu must be held.
func (n *Network) notifyChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// updateListeners blocks or unblocks each listener by the condition of its link.
func (n *Network) updateListeners() {
	n.mu.Lock()
	all := make([]*Listener, 0, len(n.listeners))
	for l := range n.listeners {
		all = append(all, l)
	}
	n.mu.Unlock()
	for _, l := range all {
		l.update()
	}
}

// isCut reports whether a connection between two parties can't be established. n.mu must be held.
func (n *Network) isCut(a, b scenario.Party) bool {
	return n.vanished[a] || n.vanished[b] || n.paths.Condition(a, b).Cut || n.paths.Condition(b, a).Cut
}

// transit is how a link treats a message that is sent now.
type transit struct {
	delay   time.Duration
	cut     bool            // the message is held back
	changed <-chan struct{} // closed when a link's condition changes
}

// transit returns how the link from one party to another treats a message of size bytes. It draws whether the message is
// lost and retransmitted.
func (n *Network) transit(from, to scenario.Party, size int) transit {
	n.mu.Lock()
	defer n.mu.Unlock()
	condition := n.paths.Condition(from, to)
	if condition.Cut || n.vanished[from] || n.vanished[to] {
		return transit{cut: true, changed: n.changed}
	}
	return transit{delay: condition.TransferTime(float64(size), n.rng.Float64), changed: n.changed}
}

// Dial opens a connection from near to an address of far's. While the link is cut it waits, until ctx is done.
func (n *Network) Dial(ctx context.Context, near, far scenario.Party, address string) (*Conn, error) {
	for {
		n.mu.Lock()
		cut := n.isCut(near, far)
		changed := n.changed
		n.mu.Unlock()
		if !cut {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return n.Wrap(c, near, far), nil
}
