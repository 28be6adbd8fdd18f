package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func testMember(name string, incarnation uint64) Member {
	return Member{Name: name, Incarnation: incarnation, State: Serving, Address: "10.0.0.1:1"}
}

// tableModel is a simplified model of a MemberTable. The test applies the same random operations to both.
type tableModel struct {
	table       *MemberTable
	now         time.Duration
	alive       map[ProcessID]bool
	lost        map[ProcessID]bool
	unconfirmed map[ProcessID]time.Duration // time at which each unconfirmed process was alive again
}

func newTableModel(self Member) *tableModel {
	return &tableModel{
		table:       NewMemberTable(0, self),
		alive:       map[ProcessID]bool{},
		lost:        map[ProcessID]bool{},
		unconfirmed: map[ProcessID]time.Duration{},
	}
}

func drawProcessID(t *rapid.T) ProcessID {
	return ProcessID{
		Name:        rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"),
		Incarnation: uint64(rapid.IntRange(1, 4).Draw(t, "incarnation")),
	}
}

func (m *tableModel) observeAlive(t *rapid.T) {
	id := drawProcessID(t)
	if id == m.table.self {
		return
	}
	m.table.ObserveAlive(m.now, testMember(id.Name, id.Incarnation))
	if !m.alive[id] && m.lost[id] {
		m.unconfirmed[id] = m.now
	}
	m.alive[id] = true
}

func (m *tableModel) observeGone(t *rapid.T) {
	id := drawProcessID(t)
	if rapid.Bool().Draw(t, "left") {
		m.table.ObserveLeft(m.now, id)
	} else {
		m.table.ObserveFailed(m.now, id)
	}
	if id != m.table.self && m.alive[id] {
		m.lost[id] = true
		delete(m.alive, id)
		delete(m.unconfirmed, id)
	}
}

func (m *tableModel) recordAck(t *rapid.T) {
	id := drawProcessID(t)
	m.table.RecordAck(m.now, id, 7)
	if _, ok := m.unconfirmed[id]; ok {
		m.confirm(id)
	}
}

func (m *tableModel) advanceTime(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond
	m.table.Tick(m.now)
	for id, since := range m.unconfirmed {
		if m.now-since >= confirmAfter {
			m.confirm(id)
		}
	}
}

func (m *tableModel) confirm(id ProcessID) {
	delete(m.unconfirmed, id)
	delete(m.lost, id)
}

// check fails the test if the table differs from the model.
func (m *tableModel) check(t *rapid.T) {
	self := m.table.self
	want := map[string]uint64{self.Name: self.Incarnation}
	for id := range m.alive {
		if _, ok := m.unconfirmed[id]; !ok {
			want[id.Name] = max(want[id.Name], id.Incarnation)
		}
	}
	view := m.table.View()
	if len(view.Members) != len(want) {
		t.Fatalf("the view is %v, want %v", view.Members, want)
	}
	for _, member := range view.Members {
		if want[member.Name] != member.Incarnation {
			t.Fatalf("the active incarnation of %s is %d, want %d", member.Name, member.Incarnation, want[member.Name])
		}
	}
	wantActiveIncarnation := want[self.Name]
	if active, fenced := m.table.Fenced(); fenced != (wantActiveIncarnation > self.Incarnation) || active.Incarnation != wantActiveIncarnation {
		t.Fatalf("fenced %v, active incarnation %d, want active incarnation %d", fenced, active.Incarnation, wantActiveIncarnation)
	}
	if got := len(m.table.Unconfirmed()); got != len(m.unconfirmed) {
		t.Fatalf("%d unconfirmed processes, want %d", got, len(m.unconfirmed))
	}
}

// For any sequence of events, the newest confirmed process of each name is active, this process is never removed from the
// table, and a departed process is active again only after it has answered or has been alive again for confirmAfter.
func TestTableCountsNewestConfirmedProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTableModel(testMember("a", 2))
		t.Repeat(map[string]func(*rapid.T){
			"alive": m.observeAlive,
			"gone":  m.observeGone,
			"ack":   m.recordAck,
			"time":  m.advanceTime,
			"":      m.check,
		})
	})
}

// A successor in an upgrade and a duplicate started by mistake are reported as different changes, each once.
func TestSuccessorAndDuplicateAreDistinguished(t *testing.T) {
	for _, c := range []struct {
		name      string
		successor bool
		want      ChangeKind
	}{
		{"successor", true, ReplacedBySuccessor},
		{"duplicate", false, ReplacedByDuplicate},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := NewMemberTable(0, testMember("a", 2))
			newer := testMember("a", 3)
			newer.Successor = c.successor
			table.ObserveAlive(0, newer)
			table.Tick(time.Second)
			table.Tick(5 * time.Second)
			var kinds []ChangeKind
			for _, change := range table.TakeChanges() {
				kinds = append(kinds, change.Kind)
			}
			if !slices.Equal(kinds, []ChangeKind{Joined, c.want}) {
				t.Errorf("got changes %v, want joined and %v", kinds, c.want)
			}
		})
	}
}

// Lost processes are retried in turn, at most once per interval. Processes that left are not retried.
func TestLostProcessesAreRetriedInTurn(t *testing.T) {
	table := NewMemberTable(0, testMember("a", 1))
	for i := range 3 {
		m := testMember(fmt.Sprint("m", i), 1)
		m.Address = fmt.Sprint(i)
		table.ObserveAlive(0, m)
		lostAt := time.Duration(i)
		if i == 2 {
			table.ObserveLeft(lostAt, m.ProcessID())
		} else {
			table.ObserveFailed(lostAt, m.ProcessID())
		}
	}
	var tried []string
	for i := range 4 {
		tried = append(tried, table.NextRejoinAddress(time.Second+time.Duration(i), time.Second))
	}
	if want := []string{"0", "1", "", ""}; !slices.Equal(tried, want) {
		t.Errorf("retried addresses %q, want %q", tried, want)
	}
}

// The number of remembered lost processes is bounded in a fleet with high churn, and they are removed after
// departedRetention.
func TestLostProcessesAreBounded(t *testing.T) {
	table := NewMemberTable(0, testMember("a", 1))
	for i := range 2 * maxDepartedProcesses {
		m := testMember(fmt.Sprint("n", i), 1)
		table.ObserveAlive(time.Second, m)
		table.ObserveFailed(time.Second+time.Duration(i), m.ProcessID())
	}
	if len(table.departed) > maxDepartedProcesses {
		t.Errorf("%d lost processes are remembered, want at most %d", len(table.departed), maxDepartedProcesses)
	}
	end := 2 * departedRetention
	table.Tick(end)
	if table.LostCount(end) != 0 || len(table.departed) > 0 {
		t.Errorf("%d lost processes are remembered after %v, want none", len(table.departed), end)
	}
}
