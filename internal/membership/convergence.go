package membership

import "time"

const (
	// viewReportTTL is for how long a member's last report of its view digest is taken as its view.
	viewReportTTL = 30 * time.Second
	// maxReportsNeeded is how many other members must report the same view, in a fleet that has more, before the view is
	// agreed.
	maxReportsNeeded = 30
)

// Convergence is how many other members have reported their view within viewReportTTL.
type Convergence struct {
	Agreeing  int // with the same view as this process
	Diverging int // with another view
}

// Convergence compares the views that other members have reported with this process's.
func (t *MemberTable) Convergence(now time.Duration) Convergence {
	var c Convergence
	digest := t.Digest()
	for _, process := range t.active() {
		hasReported := process.viewReportedAt > 0 && now-process.viewReportedAt <= viewReportTTL
		if process.ProcessID() == t.self || !hasReported {
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

// DivergentAddresses lists the addresses of members that have reported another view within maxAge.
func (t *MemberTable) DivergentAddresses(now, maxAge time.Duration) []string {
	var addresses []string
	digest := t.Digest()
	for _, process := range t.sortedAlive() {
		hasReported := process.viewReportedAt > 0 && now-process.viewReportedAt < maxAge
		if hasReported && process.viewDigest != digest {
			addresses = append(addresses, process.Address)
		}
	}
	return addresses
}

// Quorum is how many of the members that were agreed last are in the view.
type Quorum struct {
	Present int // agreed members that are in the view
	Agreed  int // all agreed members
}

// HasMajority reports whether more than half of the agreed members are present.
func (q Quorum) HasMajority() bool { return 2*q.Present > q.Agreed }

// UpdateAgreedMembers returns the quorum, and makes the view the agreed membership if no recent report differs from it, enough members report it,
// and it has a majority of the agreed membership before; so a minority side of a partition never takes itself for the
// fleet. Members that departed rejoinPeriod ago or earlier are dropped from the agreed membership.
func (t *MemberTable) UpdateAgreedMembers(now time.Duration) Quorum {
	active := t.active()
	for id, departed := range t.departed {
		if active[id.Name] == nil && now-departed.departedAt >= rejoinPeriod {
			delete(t.agreedNames, id.Name)
		}
	}
	quorum := t.quorum()
	c := t.Convergence(now)
	reportsNeeded := min(len(active)-1, maxReportsNeeded)
	hasConverged := c.Diverging == 0 && c.Agreeing >= reportsNeeded
	if !hasConverged || !quorum.HasMajority() {
		return quorum
	}
	clear(t.agreedNames)
	for name := range active {
		t.agreedNames[name] = true
	}
	return Quorum{Present: len(active), Agreed: len(active)}
}

// quorum counts the agreed members that are in the view.
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
