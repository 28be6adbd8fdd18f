package membership_test

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/memberlist"

	"sprucehill/internal/lab/gossip"
	"sprucehill/internal/membership"
)

// Tests with a testFleet run nodes with the real memberlist on an emulated network, in virtual time.

var (
	seedCount        = flag.Uint64("plays", 1, "number of seeds that each scenario of the emulated fleet runs with")
	scenarioDuration = flag.Duration("span", 40*time.Second, "duration of the scenario with packet loss, and age of replayed packets")
)

const (
	// networkDelay is the one-way latency of the emulated network.
	networkDelay = 500 * time.Microsecond
	// settleTime is long enough for all members to report to each other that their views agree.
	settleTime = 10 * time.Second
)

// testFleet is a fleet of nodes on one emulated network.
type testFleet struct {
	t     *testing.T
	net   *gossip.Network
	nodes []*membership.Node

	mu  sync.Mutex
	log []string
}

// runScenario runs a scenario, once for each seed, in virtual time with a fleet of size members whose views agree.
func runScenario(t *testing.T, size int, scenario func(f *testFleet)) {
	t.Helper()
	for seed := range *seedCount {
		synctest.Test(t, func(t *testing.T) {
			f := &testFleet{t: t, net: gossip.New(seed+1, networkDelay)}
			defer f.close(seed + 1)
			for i := range size {
				f.nodes = append(f.nodes, f.start(f.options(i)))
			}
			if size > 0 {
				f.waitFor(time.Minute, "the fleet agrees", func() bool { return f.viewsAgree(f.nodes, size) })
			}
			time.Sleep(settleTime)
			scenario(f)
		})
	}
}

// close closes all nodes and, if the test has failed, shows the last lines of the nodes' logs.
func (f *testFleet) close(seed uint64) {
	var closing sync.WaitGroup
	for _, n := range f.nodes {
		closing.Go(func() { n.Close() })
	}
	closing.Wait()
	time.Sleep(10 * time.Second) // outstanding probes must time out before the end of the synctest bubble
	if f.t.Failed() {
		const shownLines = 30
		f.t.Logf("seed %d, last log lines: %q", seed, f.logSince(max(0, f.logLength()-shownLines)))
	}
}

// options returns the options of member i, which is in state Serving and has members 0 and 1 as seeds.
func (f *testFleet) options(i int) membership.Options {
	return membership.Options{
		Self: membership.Member{
			Name:        fmt.Sprintf("lb-%d", i),
			Incarnation: uint64(time.Now().UnixMilli()),
			Zone:        "z",
			State:       membership.Serving,
		},
		Listen:       gossip.Address(i),
		Seeds:        []string{gossip.Address(0), gossip.Address(1)},
		Configured:   membership.Placement{Serving: 3, Rank: 0},
		NewTransport: func() memberlist.Transport { return f.net.Join(gossip.Address(i)) },
		CurrentState: func() membership.State { return membership.Serving },
		OnFleetSize:  func(uint64, membership.FleetSize) error { return nil },
		Log: func(text string, keys ...any) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.log = append(f.log, fmt.Sprint(time.Now().Format("05.000 "), i, " ", text, keys))
		},
	}
}

func (f *testFleet) start(o membership.Options) *membership.Node {
	f.t.Helper()
	n, err := membership.Start(o)
	if err != nil {
		f.t.Fatal(err)
	}
	return n
}

// without returns all nodes except node i.
func (f *testFleet) without(i int) []*membership.Node {
	return slices.Delete(slices.Clone(f.nodes), i, i+1)
}

func (f *testFleet) logLength() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.log)
}

// logSince returns the lines of all nodes' logs, starting at index from.
func (f *testFleet) logSince(from int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.log[from:])
}

// waitFor waits until a condition holds and returns how long that took. It fails the test after limit.
func (f *testFleet) waitFor(limit time.Duration, what string, condition func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	pollInterval := time.Duration(max(20, len(f.nodes))) * time.Millisecond
	for !condition() {
		if time.Since(start) > limit {
			f.t.Fatalf("timed out after %v waiting for this condition: %s", limit, what)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(start)
}

// viewsAgree reports whether all nodes have the same view, and it contains size members.
func (f *testFleet) viewsAgree(nodes []*membership.Node, size int) bool {
	first := nodes[0].Status().View
	return len(first.Members) == size && allNodes(nodes, func(s membership.Status) bool {
		return s.View.Digest() == first.Digest()
	})
}

// allNodes reports whether a condition holds for the status of each node.
func allNodes(nodes []*membership.Node, condition func(s membership.Status) bool) bool {
	return !slices.ContainsFunc(nodes, func(n *membership.Node) bool { return !condition(n.Status()) })
}

// linkFilter reports whether the directed link from member i to member j is selected.
type linkFilter func(i, j int) bool

func allLinks(int, int) bool { return true }

// cut cuts the selected links.
func (f *testFleet) cut(selected linkFilter) { f.setFault(selected, gossip.Fault{Cut: true}) }

// heal removes all faults.
func (f *testFleet) heal() { f.setFault(allLinks, gossip.Fault{}) }

func (f *testFleet) setFault(selected linkFilter, fault gossip.Fault) {
	for i := range f.nodes {
		for j := range f.nodes {
			if i != j && selected(i, j) {
				f.net.SetFault(gossip.Address(i), gossip.Address(j), fault)
			}
		}
	}
}
