package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// confirmAfter is for how long a process that came back after it had departed may go without an answer: had it been only an old
// message that somebody replayed, memberlist would have found it dead again by then.
const confirmAfter = 3 * time.Second

// MemberTable is what a balancer knows of the processes of its fleet, its own included. Its methods take the current time
// as the time since a fixed start. It is not safe for concurrent use.
type MemberTable struct {
	self          ProcessID
	alive         map[ProcessID]*aliveProcess
	departed      map[ProcessID]*departedProcess
	agreedNames   map[string]bool // names of the members in the last agreed view
	pending       []Change        // not yet returned by TakeChanges
	activeCache   map[string]*aliveProcess
	viewCache     *View
	viewCacheHash uint64 // digest of viewCache
}

// aliveProcess is a process that memberlist considers alive.
type aliveProcess struct {
	Member
	unconfirmed        bool          // it had departed and has not answered since; it is not active
	since              time.Duration // when it joined or came back
	viewDigest         uint64        // of its own view, as it reported last
	viewReportedAt     time.Duration // 0: never
	supersededReported bool          // a Succeeded or Duplicate change was recorded
}

// NewMemberTable returns a table with this process alone.
func NewMemberTable(now time.Duration, self Member) *MemberTable {
	return &MemberTable{
		self:        self.ProcessID(),
		alive:       map[ProcessID]*aliveProcess{self.ProcessID(): {Member: self, since: now}},
		departed:    map[ProcessID]*departedProcess{},
		agreedNames: map[string]bool{self.Name: true},
	}
}

// invalidateCaches must be called after each change of which processes are active or of what a member publishes.
func (t *MemberTable) invalidateCaches() {
	t.activeCache = nil
	t.viewCache = nil
}

func (t *MemberTable) record(c Change) { t.pending = append(t.pending, c) }

// TakeChanges returns the changes since the last call.
func (t *MemberTable) TakeChanges() []Change {
	changes := t.pending
	t.pending = nil
	return changes
}

// ObserveAlive records that a process is alive and what it publishes: a new one, one that came back, or an update.
func (t *MemberTable) ObserveAlive(now time.Duration, m Member) {
	id := m.ProcessID()
	if known := t.alive[id]; known != nil {
		t.update(known, m)
		return
	}
	_, hadDeparted := t.departed[id]
	t.invalidateCaches()
	t.alive[id] = &aliveProcess{Member: m, since: now, unconfirmed: hadDeparted}
	if !hadDeparted {
		t.record(Change{Kind: Joined, Member: m})
	}
	t.recordSuperseded(m.Name)
}

func (t *MemberTable) update(known *aliveProcess, m Member) {
	previous := known.Member
	if previous == m {
		return
	}
	t.invalidateCaches()
	known.Member = m
	t.record(Change{Kind: Updated, Member: m, PreviousState: previous.State})
}

// ObserveFailed records that a process was found dead. Its address is tried again for a while.
func (t *MemberTable) ObserveFailed(now time.Duration, id ProcessID) { t.remove(now, id, Lost) }

// ObserveLeft records that a process has announced its shutdown.
func (t *MemberTable) ObserveLeft(now time.Duration, id ProcessID) { t.remove(now, id, Left) }

func (t *MemberTable) remove(now time.Duration, id ProcessID, kind ChangeKind) {
	process := t.alive[id]
	if process == nil || id == t.self {
		return
	}
	t.invalidateCaches()
	delete(t.alive, id)
	if !process.unconfirmed { // otherwise its return was never reported
		t.record(Change{Kind: kind, Member: process.Member})
	}
	departed := &departedProcess{departedAt: now, lastTriedAt: now}
	if kind == Lost {
		departed.address = process.Address
	}
	t.departed[id] = departed
	t.limitDeparted()
}

// RecordAck records that a process has answered this one and which digest its own view has.
func (t *MemberTable) RecordAck(now time.Duration, id ProcessID, viewDigest uint64) {
	if process := t.alive[id]; process != nil {
		process.viewDigest = viewDigest
		process.viewReportedAt = max(now, 1) // 0 stands for never
		t.confirm(process)
	}
}

// ConfirmAlive records that a process has answered this one.
func (t *MemberTable) ConfirmAlive(id ProcessID) {
	if process := t.alive[id]; process != nil {
		t.confirm(process)
	}
}

// confirm makes a process that had departed active again.
func (t *MemberTable) confirm(process *aliveProcess) {
	if !process.unconfirmed {
		return
	}
	t.invalidateCaches()
	process.unconfirmed = false
	delete(t.departed, process.ProcessID())
	t.record(Change{Kind: Returned, Member: process.Member})
	t.recordSuperseded(process.Name)
}

// recordSuperseded records a change, once, for each process of a name that a newer one replaces.
func (t *MemberTable) recordSuperseded(name string) {
	confirmed := t.confirmedProcesses(name)
	if len(confirmed) < 2 {
		return
	}
	last := len(confirmed) - 1
	newest := confirmed[last]
	for _, older := range confirmed[:last] {
		if older.supersededReported {
			continue
		}
		older.supersededReported = true
		kind := Duplicate
		if newest.Successor || older.State == Leaving {
			kind = Succeeded
		}
		t.record(Change{Kind: kind, Member: older.Member})
	}
}

// confirmedProcesses lists the confirmed processes of a name, the oldest first.
func (t *MemberTable) confirmedProcesses(name string) []*aliveProcess {
	var confirmed []*aliveProcess
	for id, process := range t.alive {
		if id.Name == name && !process.unconfirmed {
			confirmed = append(confirmed, process)
		}
	}
	slices.SortFunc(confirmed, func(x, y *aliveProcess) int { return compareProcessIDs(x.ProcessID(), y.ProcessID()) })
	return confirmed
}

// compareProcessIDs orders by name, then by incarnation.
func compareProcessIDs(x, y ProcessID) int {
	return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Incarnation, y.Incarnation))
}

// sortedAlive lists the processes that are alive in a fixed order.
func (t *MemberTable) sortedAlive() []*aliveProcess {
	processes := make([]*aliveProcess, 0, len(t.alive))
	for _, id := range slices.SortedFunc(maps.Keys(t.alive), compareProcessIDs) {
		processes = append(processes, t.alive[id])
	}
	return processes
}

// Tick confirms processes that have stayed alive for confirmAfter and forgets those that departed before departedRetention.
func (t *MemberTable) Tick(now time.Duration) {
	for _, process := range t.sortedAlive() {
		if now-process.since >= confirmAfter {
			t.confirm(process)
		}
	}
	t.forgetDeparted(now)
}

// Unconfirmed returns the processes that must answer before they are active.
func (t *MemberTable) Unconfirmed() []Member {
	var members []Member
	for _, process := range t.sortedAlive() {
		if process.unconfirmed {
			members = append(members, process.Member)
		}
	}
	return members
}

// AliveAddresses returns the set of the addresses, host:port, of all processes that are alive, this one's included.
func (t *MemberTable) AliveAddresses() map[string]bool {
	addresses := map[string]bool{}
	for _, process := range t.alive {
		addresses[process.Address] = true
	}
	return addresses
}

// active returns the active process of each name: the newest confirmed one. The map is the table's own and must not be
// changed.
func (t *MemberTable) active() map[string]*aliveProcess {
	if t.activeCache != nil {
		return t.activeCache
	}
	t.activeCache = map[string]*aliveProcess{}
	for _, process := range t.alive {
		if process.unconfirmed {
			continue
		}
		other := t.activeCache[process.Name]
		if other == nil || process.Incarnation > other.Incarnation {
			t.activeCache[process.Name] = process
		}
	}
	return t.activeCache
}

// View returns the view: the active process of each name.
func (t *MemberTable) View() View {
	return View{Members: slices.Clone(t.currentView().Members)}
}

// Digest returns the digest of the view.
func (t *MemberTable) Digest() uint64 {
	t.currentView()
	return t.viewCacheHash
}

// currentView returns the view from the cache, which it fills if need be.
func (t *MemberTable) currentView() *View {
	if t.viewCache != nil {
		return t.viewCache
	}
	view := &View{}
	for _, process := range t.active() {
		view.Members = append(view.Members, process.Member)
	}
	slices.SortFunc(view.Members, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
	t.viewCache = view
	t.viewCacheHash = view.Digest()
	return view
}

// Fenced returns the active process of this process's name, and true if it is another one.
func (t *MemberTable) Fenced() (active Member, fenced bool) {
	process := t.active()[t.self.Name]
	return process.Member, process.ProcessID() != t.self
}

// HighestIncarnation returns the highest incarnation seen of this process's name, other than its own; 0: none.
func (t *MemberTable) HighestIncarnation() uint64 {
	highest := uint64(0)
	for id := range t.alive {
		if id.Name == t.self.Name && id != t.self {
			highest = max(highest, id.Incarnation)
		}
	}
	for id := range t.departed {
		if id.Name == t.self.Name {
			highest = max(highest, id.Incarnation)
		}
	}
	return highest
}
