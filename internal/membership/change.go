package membership

// ChangeKind is what has happened to a member.
type ChangeKind string

// The kinds of change.
const (
	Joined    ChangeKind = "joined"
	Returned  ChangeKind = "returned"  // it was lost or had left, and answers again
	Updated   ChangeKind = "updated"   // it publishes something else about itself
	Lost      ChangeKind = "lost"      // it no longer answers
	Left      ChangeKind = "left"      // it has announced its shutdown
	Succeeded ChangeKind = "succeeded" // a newer process has taken over from it
	Duplicate ChangeKind = "duplicate" // a newer process runs beside it under its name
)

// Change is one change of the member table.
type Change struct {
	Kind          ChangeKind
	Member        Member // after the change, or as seen last; of Succeeded and Duplicate the older process
	PreviousState State  // if Kind is Updated; it may equal Member.State
}
