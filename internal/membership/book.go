package membership

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// proveWithin is how long a process that is back from the dead may go without answering: by then memberlist would have
	// found it dead again, were it only an old message that somebody sent once more.
	proveWithin = 3 * time.Second
	// sought is how long the address of a lost process is tried, so that a cut network finds itself again.
	sought = time.Hour
	// remembered is how long a process that was lost has to answer before it counts again, if it is seen.
	remembered = 24 * time.Hour
	// maxLost bounds the lost ones that are remembered; beyond it the oldest is forgotten.
	maxLost = 1024
	// enough is how many others have to tell of the same view, in a fleet that has more, before it counts as agreed on.
	enough = 30
	// lastly is how long an answer of a member tells what it sees.
	lastly = 30 * time.Second
)

// ChangeKind is what has happened to a member.
type ChangeKind string

// The kinds of change.
const (
	Joined    ChangeKind = "joined"
	Returned  ChangeKind = "returned"  // one that was lost answers again
	Changed   ChangeKind = "changed"   // says something else of itself
	Lost      ChangeKind = "lost"      // gives no answers any more
	Left      ChangeKind = "left"      // has said that it goes
	Succeeded ChangeKind = "succeeded" // a newer process has taken over from it
	Doubled   ChangeKind = "doubled"   // a newer process runs beside it under its name
)

// Change is one change of what the book holds.
type Change struct {
	Kind   ChangeKind
	Member Member
	Was    State // of a Changed one
}

// entry is a process that memberlist holds alive.
type entry struct {
	Member
	doubtful bool          // it was lost before, and has not answered since
	since    time.Duration // when it came, or came back
	sees     uint64        // digest of its view
	seesAt   time.Duration // when it told; 0: never
	passed   bool          // a newer one of its name was told of
}

// gone is a process that was lost.
type gone struct {
	address string
	at      time.Duration
	triedAt time.Duration
}

// Book is what a balancer knows of the processes of its fleet, its own among them. All its methods take the time since
// some start as now. It is not safe for several callers at once.
type Book struct {
	self    process
	alive   map[process]*entry
	lost    map[process]*gone
	settled map[string]bool // names of the members that last agreed
	changes []Change
	counts  map[string]*entry // the process that counts of each name, as it is now; nil: to be made anew
	view    *View             // the same
	digest  uint64
}

// NewBook is a book that holds self alone.
func NewBook(now time.Duration, self Member) *Book {
	return &Book{self: self.process(), lost: map[process]*gone{}, settled: map[string]bool{self.Name: true},
		alive: map[process]*entry{self.process(): {Member: self, since: now}}}
}

// Seen takes what a process says of itself: a new one, one that is back, or one that says something else.
func (b *Book) Seen(now time.Duration, m Member) {
	p := m.process()
	if e := b.alive[p]; e != nil {
		if was := e.Member; was != m {
			b.view, b.counts, e.Member = nil, nil, m
			b.changes = append(b.changes, Change{Kind: Changed, Member: m, Was: was.State})
		}
		return
	}
	_, back := b.lost[p]
	b.view, b.counts = nil, nil
	b.alive[p] = &entry{Member: m, since: now, doubtful: back}
	if !back {
		b.changes = append(b.changes, Change{Kind: Joined, Member: m})
	}
	b.supersede(m.Name)
}

// Gone takes that a process is no longer there; left: it has said so before.
func (b *Book) Gone(now time.Duration, name string, incarnation uint64, left bool) {
	p := process{name, incarnation}
	e := b.alive[p]
	if e == nil || p == b.self {
		return
	}
	b.view, b.counts = nil, nil
	delete(b.alive, p)
	kind := Lost
	if left {
		kind = Left
	}
	if !e.doubtful { // else nobody was told that it had returned
		b.changes = append(b.changes, Change{Kind: kind, Member: e.Member})
	}
	b.lost[p] = &gone{address: e.Address, at: now, triedAt: now}
	if left {
		b.lost[p].address = ""
	}
	if len(b.lost) > maxLost {
		delete(b.lost, slices.MinFunc(slices.Collect(maps.Keys(b.lost)), func(x, y process) int {
			return cmp.Or(cmp.Compare(b.lost[x].at, b.lost[y].at), compare(x, y))
		}))
	}
}

// Answered takes that a process has answered this one, with the digest of what it sees.
func (b *Book) Answered(now time.Duration, name string, incarnation, sees uint64) {
	if e := b.alive[process{name, incarnation}]; e != nil {
		e.sees, e.seesAt = sees, max(now, 1)
		b.prove(e)
	}
}

// Proved takes that a process has answered this one, without a word on what it sees.
func (b *Book) Proved(name string, incarnation uint64) {
	if e := b.alive[process{name, incarnation}]; e != nil {
		b.prove(e)
	}
}

// prove takes a process that was lost as one that is there.
func (b *Book) prove(e *entry) {
	if !e.doubtful {
		return
	}
	b.view, b.counts, e.doubtful = nil, nil, false
	delete(b.lost, e.process())
	b.changes = append(b.changes, Change{Kind: Returned, Member: e.Member})
	b.supersede(e.Name)
}

// supersede tells, once, of each process that a newer one of its name replaces.
func (b *Book) supersede(name string) {
	var all []*entry // proved ones of the name, the oldest first
	for p, e := range b.alive {
		if p.name == name && !e.doubtful {
			all = append(all, e)
		}
	}
	if len(all) < 2 {
		return
	}
	slices.SortFunc(all, func(x, y *entry) int { return compare(x.process(), y.process()) })
	by := all[len(all)-1]
	for _, e := range all[:len(all)-1] {
		if e.passed {
			continue
		}
		e.passed = true
		kind := Doubled
		if by.Successor || e.State == Leaving {
			kind = Succeeded
		}
		b.changes = append(b.changes, Change{Kind: kind, Member: e.Member})
	}
}

func compare(x, y process) int {
	return cmp.Or(cmp.Compare(x.name, y.name), cmp.Compare(x.incarnation, y.incarnation))
}

// newest is the process that counts of each name. It is the book's own, to be read only.
func (b *Book) newest() map[string]*entry {
	if b.counts != nil {
		return b.counts
	}
	b.counts = map[string]*entry{}
	for _, e := range b.alive {
		if other := b.counts[e.Name]; !e.doubtful && (other == nil || e.Incarnation > other.Incarnation) {
			b.counts[e.Name] = e
		}
	}
	return b.counts
}

// Tick does what time brings: it takes those back that are still there, and forgets the long lost.
func (b *Book) Tick(now time.Duration) {
	for _, p := range slices.SortedFunc(maps.Keys(b.alive), compare) {
		if e := b.alive[p]; now-e.since >= proveWithin {
			b.prove(e)
		}
	}
	maps.DeleteFunc(b.lost, func(p process, g *gone) bool { return b.alive[p] == nil && now-g.at >= remembered })
}

// Ask lists the nodes that have to answer before they count.
func (b *Book) Ask() []Member {
	var all []Member
	for _, p := range slices.SortedFunc(maps.Keys(b.alive), compare) {
		if e := b.alive[p]; e.doubtful {
			all = append(all, e.Member)
		}
	}
	return all
}

// Seek is the address of a lost process to try again, the one whose last try is longest ago; none more than once in
// spacing. An empty one: nobody is to be tried.
func (b *Book) Seek(now, spacing time.Duration) string {
	var next *gone
	for _, p := range slices.SortedFunc(maps.Keys(b.lost), compare) {
		g := b.lost[p]
		if b.sought(now, p, g) && now-g.triedAt >= spacing && (next == nil || g.triedAt < next.triedAt) {
			next = g
		}
	}
	if next == nil {
		return ""
	}
	next.triedAt = now
	return next.address
}

// Changes is what has happened since the last call.
func (b *Book) Changes() []Change {
	all := b.changes
	b.changes = nil
	return all
}

// View is the members that count.
func (b *Book) View() View {
	if b.view == nil {
		b.view = &View{}
		for _, e := range b.newest() {
			b.view.Members = append(b.view.Members, e.Member)
		}
		slices.SortFunc(b.view.Members, func(x, y Member) int { return cmp.Compare(x.Name, y.Name) })
		b.digest = b.view.Digest()
	}
	return View{slices.Clone(b.view.Members)}
}

// Digest is that of the view.
func (b *Book) Digest() uint64 {
	if b.view == nil {
		b.View()
	}
	return b.digest
}

// Fenced tells whether a newer process of this one's name counts in its place, and which.
func (b *Book) Fenced() (by Member, fenced bool) {
	e := b.newest()[b.self.name]
	return e.Member, e.process() != b.self
}

// Highest is the highest incarnation that this name has been seen with, other than by this process itself.
func (b *Book) Highest() uint64 {
	most := uint64(0)
	for p := range b.alive {
		if p.name == b.self.name && p != b.self {
			most = max(most, p.incarnation)
		}
	}
	for p := range b.lost {
		if p.name == b.self.name {
			most = max(most, p.incarnation)
		}
	}
	return most
}

// Agreement counts, among the other members that count, those that have told of late what they see: how many see the same
// as this one, and how many something else.
func (b *Book) Agreement(now time.Duration) (same, other int) {
	digest := b.Digest()
	for _, e := range b.newest() {
		switch {
		case e.process() == b.self || e.seesAt == 0 || now-e.seesAt > lastly:
		case e.sees == digest:
			same++
		default:
			other++
		}
	}
	return same, other
}

// Settle notes the view as the membership that was agreed on, where all members that told lately see the same, they are
// enough, and it holds a majority of the one before; so no smaller side of a cut takes itself for the fleet. seen is how many of the agreed
// membership count at the moment. Those that have been lost for too long to be sought are no longer of it.
func (b *Book) Settle(now time.Duration) (seen, of int) {
	newest := b.newest()
	for p, g := range b.lost {
		if newest[p.name] == nil && now-g.at >= sought {
			delete(b.settled, p.name)
		}
	}
	for name := range b.settled {
		if newest[name] != nil {
			seen++
		}
	}
	if same, other := b.Agreement(now); other == 0 && same >= min(len(newest)-1, enough) && 2*seen > len(b.settled) {
		clear(b.settled)
		for name := range newest {
			b.settled[name] = true
		}
		seen = len(newest)
	}
	return seen, len(b.settled)
}

// Differs lists the addresses of members that told within a span that they see something else.
func (b *Book) Differs(now, span time.Duration) []string {
	var all []string
	digest := b.Digest()
	for _, p := range slices.SortedFunc(maps.Keys(b.alive), compare) {
		if e := b.alive[p]; e.seesAt > 0 && now-e.seesAt < span && e.sees != digest {
			all = append(all, e.Address)
		}
	}
	return all
}

// sought tells whether a process that was lost is still tried.
func (b *Book) sought(now time.Duration, p process, g *gone) bool {
	return g.address != "" && b.alive[p] == nil && now-g.at < sought
}

// Lost is how many processes are lost and still sought.
func (b *Book) Lost(now time.Duration) int {
	n := 0
	for p, g := range b.lost {
		if b.sought(now, p, g) {
			n++
		}
	}
	return n
}
