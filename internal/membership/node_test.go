package membership_test

import (
	"bytes"
	"flag"
	"strings"
	"testing"
	"time"

	"sprucehill/internal/lab/gossip"
	"sprucehill/internal/membership"
)

// All other members remove a member that fails without notice within 5 s, and one that leaves within 2 s.
func TestFailedAndLeavingMembersAreRemoved(t *testing.T) {
	runScenario(t, 12, func(f *testFleet) {
		t := f.t
		f.net.Kill(gossip.Address(5))
		rest := f.without(5)
		took := f.waitFor(5*time.Second, "the failed member is removed", func() bool { return f.viewsAgree(rest, 11) })
		t.Logf("all members removed the failed member after %v", took)
		if err := rest[0].Close(); err != nil {
			t.Fatal(err)
		}
		took = f.waitFor(2*time.Second, "the member that left is removed", func() bool { return f.viewsAgree(rest[1:], 10) })
		t.Logf("all members removed the member that left after %v", took)
	})
}

// In a partition into two or three equal sides, each side continues to serve with a view of its own members, which report
// that they have no majority. After the partition heals, all views agree again.
func TestPartitionsHeal(t *testing.T) {
	runScenario(t, 12, func(f *testFleet) {
		t := f.t
		for _, sides := range []int{2, 3} {
			testPartitionHeals(t, f, sides)
		}
	})
}

func testPartitionHeals(t *testing.T, f *testFleet, sides int) {
	t.Helper()
	size := len(f.nodes)
	side := func(i int) int { return i * sides / size }
	f.cut(func(i, j int) bool { return side(i) != side(j) })
	f.waitFor(10*time.Second, "the view of each member is its side of the partition", func() bool {
		return allNodes(f.nodes, func(s membership.Status) bool { return len(s.View.Members) == size/sides })
	})
	f.waitFor(time.Second, "all members report that their side has no majority", func() bool {
		return allNodes(f.nodes, func(s membership.Status) bool { return s.Minority })
	})
	if got := f.nodes[0].Status().FleetSize.BudgetDivisor; got != size {
		t.Errorf("the divisor of budgets is %d on one side of a partition, want %d", got, size)
	}
	time.Sleep(30 * time.Second)
	f.heal()
	took := f.waitFor(10*time.Second, "all views agree after the partition healed", func() bool { return f.viewsAgree(f.nodes, size) })
	t.Logf("%d sides: all views agree %v after the partition healed", sides, took)
}

// No member is considered failed while a tenth of all packets are lost, some are delayed and some are duplicated.
func TestPacketLossRemovesNobody(t *testing.T) {
	runScenario(t, 12, func(f *testFleet) {
		t := f.t
		f.setFault(allLinks, gossip.Fault{LossRate: 0.1, MaxJitter: 20 * time.Millisecond, DuplicateRate: 0.05})
		logStart := f.logLength()
		time.Sleep(*scenarioDuration)
		for _, line := range f.logSince(logStart) {
			if strings.Contains(line, "lost") || strings.Contains(line, "returned") {
				t.Error(line)
			}
		}
	})
}

// No member is removed because of a link that is cut in one direction or a member that only some others can reach. A frozen
// member is removed, and returns when it resumes.
func TestPartialConnectivityAndFrozenMember(t *testing.T) {
	runScenario(t, 12, func(f *testFleet) {
		t := f.t
		logStart := f.logLength()
		f.net.SetFault(gossip.Address(1), gossip.Address(2), gossip.Fault{Cut: true})
		f.cut(func(i, j int) bool { return i == 7 && j < 4 || j == 7 && i < 4 })
		time.Sleep(20 * time.Second)
		for _, line := range f.logSince(logStart) {
			if strings.Contains(line, "member lost") {
				t.Error(line)
			}
		}
		f.heal()
		f.net.Freeze(gossip.Address(3))
		rest := f.without(3)
		f.waitFor(5*time.Second, "the frozen member is removed", func() bool { return f.viewsAgree(rest, 11) })
		time.Sleep(20 * time.Second)
		f.net.Unfreeze(gossip.Address(3))
		t.Logf("the frozen member returned after %v", f.waitFor(10*time.Second, "the frozen member returns after it resumed", func() bool { return f.viewsAgree(f.nodes, 12) }))
	})
}

// Replayed packets of a dead member don't make it active again. Malformed packets are counted and otherwise ignored.
func TestReplayedAndMalformedPackets(t *testing.T) {
	runScenario(t, 5, func(f *testFleet) {
		t := f.t
		recorded := recordPacketsOfDeadMember(t, f)
		time.Sleep(*scenarioDuration)
		if len(recorded) < 10 {
			t.Fatalf("recorded only %d packets, want at least 10", len(recorded))
		}
		logStart := f.logLength()
		for i, packet := range recorded {
			f.net.Inject(packet, gossip.Address(5), gossip.Address(i%5))
		}
		for _, packet := range malformedPackets() {
			f.net.Inject(packet, gossip.Address(6), gossip.Address(0))
		}
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if !f.viewsAgree(f.nodes, 5) {
				t.Fatalf("views changed: %q", f.logSince(logStart))
			}
		}
		if f.nodes[0].Status().TransportErrors == 0 {
			t.Error("malformed packets were not counted")
		}
	})
}

// recordPacketsOfDeadMember starts member 5, records the packets that it sends to the others, and kills it.
func recordPacketsOfDeadMember(t *testing.T, f *testFleet) [][]byte {
	t.Helper()
	const maxRecorded = 1000
	var recorded [][]byte // needs no lock: the network calls one recorder at a time
	for i := range 5 {
		f.net.RecordPackets(gossip.Address(i), func(packet []byte, from string) {
			if from == gossip.Address(5) && len(recorded) < maxRecorded {
				recorded = append(recorded, packet)
			}
		})
	}
	member := f.start(f.options(5))
	f.waitFor(time.Minute, "member 5 has joined", func() bool { return f.viewsAgree(append(f.nodes, member), 6) })
	time.Sleep(10 * time.Second)
	f.net.Kill(gossip.Address(5))
	f.waitFor(5*time.Second, "member 5 is removed", func() bool { return f.viewsAgree(f.nodes, 5) })
	member.Close()
	return recorded
}

func malformedPackets() [][]byte {
	return [][]byte{
		{},
		{0},
		make([]byte, 70000),
		bytes.Repeat([]byte{255}, 1400),
		append([]byte{4}, make([]byte, 90)...),
	}
}

// Of two processes of the same name the newer is active, even if its clock is far behind. The older continues to
// run, fenced, until the newer leaves.
func TestDuplicateNameFencesOlderProcess(t *testing.T) {
	runScenario(t, 4, func(f *testFleet) {
		t := f.t
		older := f.nodes[2]
		options := f.options(4)
		options.Self.Name = "lb-2"
		options.Self.Incarnation = 5 // from a clock that is far behind
		newer := f.start(options)
		f.nodes = append(f.nodes, newer)
		f.waitFor(10*time.Second, "the older process is fenced", func() bool { return f.viewsAgree(f.nodes, 4) && older.Status().Fenced })
		if newer.Status().Fenced || newer.Status().Self.Incarnation <= older.Status().Self.Incarnation {
			t.Error("the newer process is fenced or doesn't have the higher incarnation")
		}
		newer.Close()
		f.nodes = f.nodes[:4]
		f.waitFor(10*time.Second, "the older process is active again", func() bool { return f.viewsAgree(f.nodes, 4) && !older.Status().Fenced })
	})
}

// The fleet recovers when all members but one, including the seeds, are killed and restarted at once. Then many members join
// at once.
func TestMassRestartAndMassJoin(t *testing.T) {
	runScenario(t, 12, func(f *testFleet) {
		t := f.t
		for i := range 11 {
			f.net.Kill(gossip.Address(i))
		}
		time.Sleep(time.Second)
		for i := range 11 {
			f.nodes[i].Close()
			f.nodes[i] = f.start(f.options(i))
		}
		took := f.waitFor(15*time.Second, "all restarted members have joined", func() bool { return f.viewsAgree(f.nodes, 12) })
		t.Logf("all views agree %v after the mass restart", took)
		for i := 12; i < 36; i++ {
			f.nodes = append(f.nodes, f.start(f.options(i)))
		}
		took = f.waitFor(15*time.Second, "all new members have joined", func() bool { return f.viewsAgree(f.nodes, 36) })
		t.Logf("24 more members joined within %v", took)
	})
}

var costTestFleetSize = flag.Int("members", 40, "size of the fleet that TestCost measures")

// In a large fleet the packets that each member sends stay below a limit in bytes per second, and all members remove a failed
// one within 20 s. The test logs both figures.
func TestCost(t *testing.T) {
	const (
		idlePeriod        = 10 * time.Second
		maxBytesPerSecond = 20_000
	)
	runScenario(t, *costTestFleetSize, func(f *testFleet) {
		t := f.t
		before := bytesSent(f)
		time.Sleep(idlePeriod)
		bytesPerSecond := float64(bytesSent(f)-before) / idlePeriod.Seconds() / float64(len(f.nodes))
		failed := len(f.nodes) / 2
		f.net.Kill(gossip.Address(failed))
		rest := f.without(failed)
		took := f.waitFor(20*time.Second, "the failed member is removed", func() bool { return f.viewsAgree(rest, len(rest)) })
		t.Logf("%d members: each sends %.0f bytes per second in packets; all removed a failed member after %v", len(f.nodes), bytesPerSecond, took)
		if bytesPerSecond > maxBytesPerSecond {
			t.Errorf("each member sends %.0f bytes per second, want at most %d", bytesPerSecond, maxBytesPerSecond)
		}
	})
}

// bytesSent returns the number of bytes that all members have sent in packets so far.
func bytesSent(f *testFleet) int {
	total := 0
	for i := range f.nodes {
		total += f.net.Sent(gossip.Address(i)).Bytes
	}
	return total
}
