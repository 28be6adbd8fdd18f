package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// rejoinInterval is the mean time between two rounds of rejoining.
	rejoinInterval = 500 * time.Millisecond
	// minRetryInterval is the least time between two attempts at a lost process, and for how long a report of another view
	// is a reason to exchange state.
	minRetryInterval = time.Second
)

// rejoin joins the fleet if the address was taken before; otherwise it reloads the keys and heals partitions.
func (n *Node) rejoin() {
	n.mu.Lock()
	joined := n.list != nil
	n.mu.Unlock()
	if !joined {
		if err := n.join(); err == nil {
			n.options.Log("membership address bound", "listen", n.options.Listen)
		}
		return
	}
	n.reloadKeys()
	n.exchangeState()
}

// reloadKeys applies a change of the key file and logs it.
func (n *Node) reloadKeys() {
	changed, err := n.keys.reload()
	switch {
	case err != nil:
		n.options.Log("membership key reload failed", "file", n.options.KeyFile, "err", err)
	case changed:
		n.options.Log("membership keys reloaded", "file", n.options.KeyFile)
	}
}

// exchangeState exchanges the full state with a seed and a lost process that are not in the member table, and with a member
// that has reported another view.
func (n *Node) exchangeState() {
	n.mu.Lock()
	now := n.now()
	list := n.list
	lostAddress := n.table.NextRejoinAddress(now, minRetryInterval)
	divergent := n.table.DivergentAddresses(now, minRetryInterval)
	alive := n.table.AliveAddresses()
	n.mu.Unlock()

	var targets []string
	missingSeeds := slices.DeleteFunc(slices.Clone(n.options.Seeds), func(seed string) bool { return alive[seed] })
	if len(missingSeeds) > 0 {
		targets = append(targets, pickRandom(missingSeeds))
	}
	if lostAddress != "" && !alive[lostAddress] {
		targets = append(targets, lostAddress)
	}
	if len(divergent) > 0 {
		targets = append(targets, pickRandom(divergent))
	}
	if len(targets) > 0 {
		_, _ = list.Join(targets) // whoever doesn't answer is tried again in a later round
	}
}

func pickRandom(addresses []string) string { return addresses[rand.N(len(addresses))] }
