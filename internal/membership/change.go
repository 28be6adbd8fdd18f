package membership

// ChangeKind is the kind of an event that happened to a member.
type ChangeKind string

// The kinds of changes.
const (
	Joined              ChangeKind = "joined"
	Returned            ChangeKind = "returned"  // was lost or had left, and is confirmed alive again
	Updated             ChangeKind = "updated"   // published metadata has changed
	Lost                ChangeKind = "lost"      // failed without announcing its shutdown
	Left                ChangeKind = "left"      // announced its shutdown
	ReplacedBySuccessor ChangeKind = "succeeded" // replaced by a newer process of its name in an upgrade or a restart
	ReplacedByDuplicate ChangeKind = "duplicate" // replaced by a newer process of its name that runs at the same time by mistake
)

// Change describes one change of the member table.
type Change struct {
	Kind          ChangeKind
	Member        Member // after the change, or as last seen; if replaced, the older process
	PreviousState State  // set if Kind is Updated; may equal Member.State
}
