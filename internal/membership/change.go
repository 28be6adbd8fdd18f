package membership

// ChangeKind is what has happened to a member. The values appear in the log.
type ChangeKind string

// The kinds of change.
const (
	Joined    ChangeKind = "joined"
	Returned  ChangeKind = "returned"  // it was lost and answers again
	Updated   ChangeKind = "changed"   // it publishes something else about itself
	Lost      ChangeKind = "lost"      // it no longer answers
	Left      ChangeKind = "left"      // it has announced its shutdown
	Succeeded ChangeKind = "succeeded" // a newer process has taken over from it
	Duplicate ChangeKind = "doubled"   // a newer process runs beside it under its name
)

// Change is one change of the member table.
type Change struct {
	Kind          ChangeKind
	Member        Member
	PreviousState State // if Kind is Updated
}
