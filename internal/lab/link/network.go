// Package link carries the connections of an emulated network. Bytes on a connection take as long as the link between its
// two parties takes at that moment. While the link is cut, the connection is silent without being reset, and new
// connections are not established. Buffers and order are the kernel's own. This package only delays the bytes.
package link

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"sprucehill/internal/lab/scenario"
)

// lossStream sets the network's random draws apart from other uses of the day's seed.
const lossStream = 0x6c696e6b

// Network is the network of one day.
type Network struct {
	mu        sync.Mutex
	paths     *scenario.Paths
	rng       *rand.Rand
	vanished  map[scenario.Party]bool // machines
	changed   chan struct{}           // closed at the next change
	conns     map[*Conn]struct{}
	listeners map[*Listener]struct{}
}

// New returns a network whose links are as paths has them.
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

// Apply begins or ends fault i of the day. A fault that resets connections does so when it begins.
func (n *Network) Apply(i int, transition scenario.Transition) {
	n.mu.Lock()
	n.paths.Apply(i, transition)
	var hit []*Conn
	if transition == scenario.Begin && n.paths.ResetsConns(i) {
		hit = n.connsWhere(func(c *Conn) bool { return n.paths.Hits(i, c.near, c.far) || n.paths.Hits(i, c.far, c.near) })
	}
	n.notifyChange()
	n.mu.Unlock()
	resetConns(hit)
	n.updateListeners()
}

// Disconnect takes a machine off the network. No byte reaches it or leaves it.
func (n *Network) Disconnect(p scenario.Party) { n.setVanished(p, true) }

// Reconnect brings a machine back that Disconnect has taken off. Connections that others still have open to it are reset
// before any delayed data could arrive.
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
	hit := n.connsWhere(func(c *Conn) bool { return c.near == p || c.far == p })
	n.mu.Unlock()
	resetConns(hit)
}

// connsWhere is the open connections that a function selects. n.mu is held.
func (n *Network) connsWhere(selected func(*Conn) bool) []*Conn {
	var conns []*Conn
	for c := range n.conns {
		if selected(c) {
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

// notifyChange wakes those who wait for a change. n.mu is held.
func (n *Network) notifyChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// updateListeners makes listeners take connections or not, as the links are now.
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

// isCut reports whether a connection between two parties can't be established. n.mu is held.
func (n *Network) isCut(a, b scenario.Party) bool {
	return n.vanished[a] || n.vanished[b] || n.paths.Condition(a, b).Cut || n.paths.Condition(b, a).Cut
}

// transit is what the network does to a message that is sent now.
type transit struct {
	delay   time.Duration
	cut     bool            // it does not pass before a change
	changed <-chan struct{} // closed at the next change
}

// transit is how a message of size bytes passes one way.
func (n *Network) transit(from, to scenario.Party, size int) transit {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.paths.Condition(from, to)
	if c.Cut || n.vanished[from] || n.vanished[to] {
		return transit{cut: true, changed: n.changed}
	}
	return transit{delay: c.Lag(float64(size), n.rng.Float64), changed: n.changed}
}

// Dial opens a connection from near to far at an address. It waits while the link is cut, until ctx ends.
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
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return n.Wrap(c, near, far), nil
}
