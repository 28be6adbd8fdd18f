package membership

import (
	"math/bits"
	"time"
)

// A lease gives a role, such as the execution of a release, to at most one member at a time. Each of the voters, whose names
// operators configure, grants it to one process at a time, for LeaseDuration by the voter's own clock. The process with
// grants from a majority of the voters holds the lease for a shorter time by its own clock, counted from before it sent its
// requests. So its lease has expired before enough voters can grant the role to another process, as long as no clock runs
// faster than another by more than maxClockSkewRate. Clocks need not be synchronized. Each voter grants each term once, in
// ascending order, which makes the term a fencing token: a process that executes the commands of holders rejects those with
// a lower term than it has already seen.
//
// Any majorities of two lists of voters that differ by one name have a voter in common, so the list may change by one name
// at a time. A voter must persist its grant across restarts. A voter that has lost its grant must not vote under its name
// again.
const (
	// LeaseDuration is how long a grant is valid, by the voter's clock.
	LeaseDuration = 5 * time.Second
	// maxClockSkewRate is the maximum fraction by which one clock may run faster than another.
	maxClockSkewRate = 0.1
	// holdFraction is the ratio of holdDuration to LeaseDuration; the rest is the margin for differing clock rates.
	holdFraction = 1 - 2*maxClockSkewRate
	// holdDuration is how long a holder may rely on its grants, from the start of the round, by its own clock.
	holdDuration = time.Duration(holdFraction * float64(LeaseDuration))
)

// Grant is the state that a voter must persist.
type Grant struct {
	Term   uint64 // highest term granted; 0 if none
	Holder string // process that the term was granted to; a later process of the same name is a different holder
}

// Voter grants the lease of one role. All times are by its own clock. It is not safe for concurrent use.
type Voter struct {
	Grant
	grantExpiresAt time.Duration // until then it grants the role to no other process
}

// NewVoter restores a voter from its persisted grant. The grant may not have expired, so the voter waits for LeaseDuration
// before it grants the role to another process, unless it has never granted a term.
func NewVoter(now time.Duration, last Grant) Voter {
	v := Voter{Grant: last}
	if last.Term > 0 {
		v.grantExpiresAt = now + LeaseDuration
	}
	return v
}

// Decision is a voter's decision on a request.
type Decision struct {
	Granted bool
	// GrantChanged means that the voter's Grant must be persisted before the response is sent.
	GrantChanged bool
}

// RequestLease decides on a process's request for a term, which must be at least 1. The response to a rejected request must
// contain the highest term granted.
func (v *Voter) RequestLease(now time.Duration, requester string, term uint64) Decision {
	isRenewal := term == v.Term && requester == v.Holder && term > 0
	if isRenewal {
		v.grantExpiresAt = max(v.grantExpiresAt, now+LeaseDuration)
		return Decision{Granted: true}
	}
	grantedToOther := now < v.grantExpiresAt && requester != v.Holder
	if term <= v.Term || grantedToOther {
		return Decision{}
	}
	v.Grant = Grant{Term: term, Holder: requester}
	v.grantExpiresAt = max(v.grantExpiresAt, now+LeaseDuration)
	return Decision{Granted: true, GrantChanged: true}
}

// Candidate is a process that requests or holds a lease. All times are by its own clock. It is not safe for concurrent use.
type Candidate struct {
	self           string
	term           uint64 // term of the lease, or last requested term
	highestTerm    uint64 // highest term that a voter has reported
	round          uint32
	roundStartedAt time.Duration
	grants         uint64 // bit set of the voters that granted the current round; bit i is voter i
	leaseExpiresAt time.Duration
}

// NewCandidate returns the candidate of a process. The name must be unique among all processes that are ever started.
func NewCandidate(self string) Candidate { return Candidate{self: self} }

// LeaseRequest is the request that a candidate sends to all voters in a round.
type LeaseRequest struct {
	Term  uint64
	Round uint32 // echoed in the response
}

// StartRound starts a round of requests to all voters. A holder requests its current term again, to renew the lease. Any
// other candidate requests a term that is higher than every term it has requested or a voter has reported to it.
func (c *Candidate) StartRound(now time.Duration) LeaseRequest {
	if !c.Holds(now) {
		c.term = max(c.highestTerm, c.term) + 1
	}
	c.round++
	c.roundStartedAt = now
	c.grants = 0
	return LeaseRequest{Term: c.term, Round: c.round}
}

// LeaseResponse is a voter's response to a request.
type LeaseResponse struct {
	Voter       int    // 0-based index in the list of voters, at most 63
	Requester   string // process that sent the request
	Round       uint32 // round of the request
	Granted     bool
	HighestTerm uint64 // highest term that the voter has granted
}

// HandleResponse records a voter's response. voters is the number of voters, 1 to 64. A grant to an earlier process of the
// same name is ignored: that process started its round before the grant, but this one may have started its round long after.
func (c *Candidate) HandleResponse(r LeaseResponse, voters int) {
	c.highestTerm = max(c.highestTerm, r.HighestTerm)
	if r.Requester != c.self || r.Round != c.round || !r.Granted {
		return
	}
	c.grants |= 1 << r.Voter
	hasMajority := 2*bits.OnesCount64(c.grants) > voters
	if hasMajority {
		c.leaseExpiresAt = max(c.leaseExpiresAt, c.roundStartedAt+holdDuration)
	}
}

// Holds reports whether the process holds the lease. If so, Term is its fencing token.
func (c *Candidate) Holds(now time.Duration) bool { return now < c.leaseExpiresAt }

// Term returns the term of the lease, or else the last requested term; 0 if there is none.
func (c *Candidate) Term() uint64 { return c.term }

// Release gives up the lease. The voters are not notified; their grants expire.
func (c *Candidate) Release() { c.leaseExpiresAt = 0 }
