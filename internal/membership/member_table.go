package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// confirmAfter is how long a departed process that is reported alive again must stay alive to be confirmed without an
// answer. If a replayed old message had reported it alive, memberlist would have detected it as failed again by then.
const confirmAfter = 3 * time.Second

// MemberTable holds what a balancer knows of the processes of its fleet, including its own. Its methods take the current
// time as the duration since a fixed start. It is not safe for concurrent use.
type MemberTable struct {
	self            ProcessID
	alive           map[ProcessID]*aliveProcess
	departed        map[ProcessID]*departedProcess
	agreedNames     map[string]bool          // names of the members in the last view that the fleet agreed on
	pendingChanges  []Change                 // not yet returned by TakeChanges
	activeCache     map[string]*aliveProcess // nil if invalid
	viewCache       *View                    // nil if invalid
	viewDigestCache uint64                   // digest of viewCache
}

// aliveProcess is a process that memberlist considers alive.
type aliveProcess struct {
	Member
	unconfirmed        bool          // had departed and is not confirmed since; not active
	aliveSince         time.Duration // when it joined or came back
	viewDigest         uint64        // digest of its own view, as last reported
	viewReportedAt     time.Duration // 0 if never
	supersededReported bool          // a ReplacedBySuccessor or ReplacedByDuplicate change has been recorded
}

// NewMemberTable returns a table that contains only this process.
func NewMemberTable(now time.Duration, self Member) *MemberTable {
	return &MemberTable{
		self:        self.ProcessID(),
		alive:       map[ProcessID]*aliveProcess{self.ProcessID(): {Member: self, aliveSince: now}},
		departed:    map[ProcessID]*departedProcess{},
		agreedNames: map[string]bool{self.Name: true},
	}
}

// invalidateCaches must be called on each change of the set of active processes or of a member's metadata.
func (t *MemberTable) invalidateCaches() {
	t.activeCache = nil
	t.viewCache = nil
}

func (t *MemberTable) recordChange(c Change) { t.pendingChanges = append(t.pendingChanges, c) }

// TakeChanges returns the changes since the last call.
func (t *MemberTable) TakeChanges() []Change {
	changes := t.pendingChanges
	t.pendingChanges = nil
	return changes
}

// ObserveAlive records that a process, which may be new, known or departed, is alive, and the metadata that it publishes.
func (t *MemberTable) ObserveAlive(now time.Duration, m Member) {
	id := m.ProcessID()
	if known := t.alive[id]; known != nil {
		t.update(known, m)
		return
	}
	_, hadDeparted := t.departed[id]
	t.invalidateCaches()
	t.alive[id] = &aliveProcess{Member: m, aliveSince: now, unconfirmed: hadDeparted}
	if !hadDeparted {
		t.recordChange(Change{Kind: Joined, Member: m})
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
	t.recordChange(Change{Kind: Updated, Member: m, PreviousState: previous.State})
}

// ObserveFailed records that a process was detected as failed. Its address is retried for rejoinPeriod.
func (t *MemberTable) ObserveFailed(now time.Duration, id ProcessID) { t.remove(now, id, Lost) }

// ObserveLeft records that a process announced its shutdown.
func (t *MemberTable) ObserveLeft(now time.Duration, id ProcessID) { t.remove(now, id, Left) }

func (t *MemberTable) remove(now time.Duration, id ProcessID, kind ChangeKind) {
	process := t.alive[id]
	if process == nil || id == t.self {
		return
	}
	t.invalidateCaches()
	delete(t.alive, id)
	if !process.unconfirmed { // otherwise its return has not been reported
		t.recordChange(Change{Kind: kind, Member: process.Member})
	}
	departed := &departedProcess{departedAt: now, lastAttemptAt: now}
	if kind == Lost {
		departed.address = process.Address
	}
	t.departed[id] = departed
	t.evictOldestDeparted()
}

// RecordAck records that a process answered this one, and the digest of its view.
func (t *MemberTable) RecordAck(now time.Duration, id ProcessID, viewDigest uint64) {
	if process := t.alive[id]; process != nil {
		process.viewDigest = viewDigest
		process.viewReportedAt = max(now, 1) // 0 means never
		t.confirm(process)
	}
}

// ConfirmAlive records that a process answered this one.
func (t *MemberTable) ConfirmAlive(id ProcessID) {
	if process := t.alive[id]; process != nil {
		t.confirm(process)
	}
}

// confirm confirms a process that had departed, so that it can be active again.
func (t *MemberTable) confirm(process *aliveProcess) {
	if !process.unconfirmed {
		return
	}
	t.invalidateCaches()
	process.unconfirmed = false
	delete(t.departed, process.ProcessID())
	t.recordChange(Change{Kind: Returned, Member: process.Member})
	t.recordSuperseded(process.Name)
}

// recordSuperseded records a change, once, for each process of a name that a newer one has replaced.
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
		kind := ReplacedByDuplicate
		if newest.Successor || older.State == Leaving {
			kind = ReplacedBySuccessor
		}
		t.recordChange(Change{Kind: kind, Member: older.Member})
	}
}

// confirmedProcesses returns the confirmed processes of a name, oldest first.
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

// compareProcessIDs compares by name, then by incarnation.
func compareProcessIDs(x, y ProcessID) int {
	return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.Incarnation, y.Incarnation))
}

// sortedAlive returns the processes that are alive, ordered by compareProcessIDs.
func (t *MemberTable) sortedAlive() []*aliveProcess {
	processes := make([]*aliveProcess, 0, len(t.alive))
	for _, id := range slices.SortedFunc(maps.Keys(t.alive), compareProcessIDs) {
		processes = append(processes, t.alive[id])
	}
	return processes
}

// Tick confirms the processes that have stayed alive for confirmAfter, and removes those that departed departedRetention ago
// or earlier.
func (t *MemberTable) Tick(now time.Duration) {
	for _, process := range t.sortedAlive() {
		if now-process.aliveSince >= confirmAfter {
			t.confirm(process)
		}
	}
	t.removeExpiredDeparted(now)
}

// Unconfirmed returns the processes that are alive but not confirmed.
func (t *MemberTable) Unconfirmed() []Member {
	var members []Member
	for _, process := range t.sortedAlive() {
		if process.unconfirmed {
			members = append(members, process.Member)
		}
	}
	return members
}

// AliveAddresses returns the set of the addresses, host:port, of all processes that are alive, including this one.
func (t *MemberTable) AliveAddresses() map[string]bool {
	addresses := map[string]bool{}
	for _, process := range t.alive {
		addresses[process.Address] = true
	}
	return addresses
}

// active returns the active process of each name: the newest confirmed one. Callers must not modify the map, which is
// cached.
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
	return t.viewDigestCache
}

// currentView returns the cached view, and computes it if the cache is invalid.
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
	t.viewDigestCache = view.Digest()
	return view
}

// Fenced returns the active process of this process's name, and whether that is another process, which fences this one.
func (t *MemberTable) Fenced() (active Member, fenced bool) {
	process := t.active()[t.self.Name]
	return process.Member, process.ProcessID() != t.self
}

// HighestIncarnation returns the highest incarnation seen among other processes of this process's name, or 0 if there are
// none.
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
