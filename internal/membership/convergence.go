package membership

import "time"

const (
	// viewReportTTL is how long a member's last reported view digest is considered current.
	viewReportTTL = 30 * time.Second
	// maxRequiredReports caps the number of other members that must report the same view before the view is agreed. In a
	// fleet with fewer other members, all of them must.
	maxRequiredReports = 30
)

// Convergence counts the other members that reported their view within viewReportTTL.
type Convergence struct {
	Agreeing  int // same view as this process
	Diverging int // different view
}

// Convergence compares the views that other members reported with this process's view.
func (t *MemberTable) Convergence(now time.Duration) Convergence {
	var c Convergence
	digest := t.Digest()
	for _, process := range t.active() {
		reportIsRecent := process.viewReportedAt > 0 && now-process.viewReportedAt <= viewReportTTL
		if process.ProcessID() == t.self || !reportIsRecent {
			continue
		}
		if process.viewDigest == digest {
			c.Agreeing++
		} else {
			c.Diverging++
		}
	}
	return c
}

// DivergentAddresses returns the addresses of the members that reported a different view within maxAge.
func (t *MemberTable) DivergentAddresses(now, maxAge time.Duration) []string {
	var addresses []string
	digest := t.Digest()
	for _, process := range t.sortedAlive() {
		reportIsRecent := process.viewReportedAt > 0 && now-process.viewReportedAt < maxAge
		if reportIsRecent && process.viewDigest != digest {
			addresses = append(addresses, process.Address)
		}
	}
	return addresses
}

// Quorum compares the view with the agreed membership: the members of the last view that the fleet agreed on.
type Quorum struct {
	Present int // agreed members in the view
	Agreed  int // all agreed members
}

// HasMajority reports whether more than half of the agreed members are present.
func (q Quorum) HasMajority() bool { return 2*q.Present > q.Agreed }

// UpdateAgreedMembers makes the view the agreed membership if no recent report differs from it, enough members report the
// same view, and the view has a majority of the previous agreed membership. So the minority side of a partition never
// considers itself the whole fleet. Members that departed rejoinPeriod ago or earlier, and are not active again, are
// dropped from the agreed membership. It returns the resulting quorum.
func (t *MemberTable) UpdateAgreedMembers(now time.Duration) Quorum {
	active := t.active()
	for id, departed := range t.departed {
		if active[id.Name] == nil && now-departed.departedAt >= rejoinPeriod {
			delete(t.agreedNames, id.Name)
		}
	}
	quorum := t.quorum()
	c := t.Convergence(now)
	requiredReports := min(len(active)-1, maxRequiredReports)
	hasConverged := c.Diverging == 0 && c.Agreeing >= requiredReports
	if !hasConverged || !quorum.HasMajority() {
		return quorum
	}
	clear(t.agreedNames)
	for name := range active {
		t.agreedNames[name] = true
	}
	return Quorum{Present: len(active), Agreed: len(active)}
}

// quorum counts the agreed members, and those of them that are in the view.
func (t *MemberTable) quorum() Quorum {
	q := Quorum{Agreed: len(t.agreedNames)}
	active := t.active()
	for name := range t.agreedNames {
		if active[name] != nil {
			q.Present++
		}
	}
	return q
}
