package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// rejoinInterval is the mean time between two calls of Node.rejoin.
	rejoinInterval = 500 * time.Millisecond
	// minRetryInterval is the minimum time between two attempts to reach a lost process, and how long a report of a different
	// view is a reason to exchange state.
	minRetryInterval = time.Second
)

// rejoin joins the fleet if the address was in use before. Otherwise it reloads the keys and exchanges state, which heals
// partitions.
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

// reloadKeys applies a change of the key file, and logs the change or the error.
func (n *Node) reloadKeys() {
	changed, err := n.keys.reload()
	switch {
	case err != nil:
		n.options.Log("membership key reload failed", "file", n.options.KeyFile, "err", err)
	case changed:
		n.options.Log("membership keys reloaded", "file", n.options.KeyFile)
	}
}

// exchangeState exchanges the full state with one seed and one lost process that are not alive in the member table, and with
// one member that reported a different view.
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
		_, _ = list.Join(targets) // addresses that don't answer are retried in a later call
	}
}

func pickRandom(addresses []string) string { return addresses[rand.N(len(addresses))] }
