package membership

import (
	"math/bits"
	"time"
)

// A lease gives a role, such as that of carrying out a release, to at most one member. Voters, whose names operators
// configure, each grant it to one process at a time, for LeaseDuration by the voter's own clock. The process with grants of
// a majority has the lease for a shorter time by its own clock, counted from before it sent its requests. So its lease has
// expired before enough voters are free to grant the role to another, as long as no clock runs more than
// maxClockSkewRate faster than another; clocks need not agree on the time. Each voter grants each term once, in rising
// order, which makes the term a fencing token: whoever carries out a holder's orders rejects those of a lower term.
//
// Two lists of voters that differ by one name have majorities with a voter in common, so the list may change by one name at
// a time. A voter's grant outlives its process; a voter that has lost its grant must not vote under its name again.
const (
	// LeaseDuration is for how long a grant binds its voter, by the voter's clock.
	LeaseDuration = 5 * time.Second
	// maxClockSkewRate is the fraction by which one clock may run faster than another.
	maxClockSkewRate = 0.1
	// holdFraction is the ratio of holdDuration to LeaseDuration; the rest is the margin for clocks.
	holdFraction = 1 - 2*maxClockSkewRate
	// holdDuration is for how long a holder relies on its grants.
	holdDuration = time.Duration(holdFraction * float64(LeaseDuration))
)

// Grant is what a voter has to persist.
type Grant struct {
	Term   uint64 // highest term granted; 0: none
	Holder string // process that it was granted to; a later process of the same name is a different one
}

// Voter grants one role. All times are by its own clock. It is not safe for concurrent use.
type Voter struct {
	Grant
	boundUntil time.Duration // it grants the role to no other process before
}

// NewVoter restores a voter with its persisted grant. The lease it granted before may not have expired, so it waits for a
// LeaseDuration before it grants the role to another; a voter that never granted anything need not.
func NewVoter(now time.Duration, last Grant) Voter {
	v := Voter{Grant: last}
	if last.Term > 0 {
		v.boundUntil = now + LeaseDuration
	}
	return v
}

// Decision is a voter's decision on a request.
type Decision struct {
	Granted bool
	// GrantChanged means that the voter's Grant must be persisted before the response is sent.
	GrantChanged bool
}

// RequestLease decides on the request of a process for a term, which is at least 1. A rejection is to be answered with the
// highest term granted.
func (v *Voter) RequestLease(now time.Duration, requester string, term uint64) Decision {
	isRenewal := term == v.Term && requester == v.Holder && term > 0
	if isRenewal {
		v.boundUntil = max(v.boundUntil, now+LeaseDuration)
		return Decision{Granted: true}
	}
	boundToOther := now < v.boundUntil && requester != v.Holder
	if term <= v.Term || boundToOther {
		return Decision{}
	}
	v.Grant = Grant{Term: term, Holder: requester}
	v.boundUntil = max(v.boundUntil, now+LeaseDuration)
	return Decision{Granted: true, GrantChanged: true}
}

// Candidate is a process that requests a lease or has it. All times are by its own clock. It is not safe for concurrent use.
type Candidate struct {
	self           string
	term           uint64 // of the lease, or requested last
	highestTerm    uint64 // highest term that a voter has reported
	round          uint32
	roundStartedAt time.Duration
	grants         uint64        // received in the round; bit i is voter i
	holdsUntil     time.Duration // when its lease expires
}

// NewCandidate returns the candidate of a process, whose name must be unique among all processes ever started.
func NewCandidate(self string) Candidate { return Candidate{self: self} }

// LeaseRequest is what a candidate sends to all voters in a round.
type LeaseRequest struct {
	Term  uint64
	Round uint32 // to be returned in the response
}

// StartRound begins a round of requests to all voters. A holder requests its own term again, others a term above all that
// they know of.
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
	Voter       int    // index in the list of voters, 0 to 63
	Requester   string // process that sent the request
	Round       uint32 // of the request
	Granted     bool
	HighestTerm uint64 // highest term that the voter has granted
}

// HandleResponse records a response of one of the voters, whose number is 1 to 64. A grant to an earlier process of the same
// name is ignored: that process's round began before the grant, whereas this one's may have begun long after.
func (c *Candidate) HandleResponse(r LeaseResponse, voters int) {
	c.highestTerm = max(c.highestTerm, r.HighestTerm)
	if r.Requester != c.self || r.Round != c.round || !r.Granted {
		return
	}
	c.grants |= 1 << r.Voter
	hasMajority := 2*bits.OnesCount64(c.grants) > voters
	if hasMajority {
		c.holdsUntil = max(c.holdsUntil, c.roundStartedAt+holdDuration)
	}
}

// Holds reports whether the process has the lease now; its Term is the fencing token.
func (c *Candidate) Holds(now time.Duration) bool { return now < c.holdsUntil }

// Term returns the term of the lease, or the one requested last; 0: none.
func (c *Candidate) Term() uint64 { return c.term }

// Release gives the lease up. The voters learn of it when their grants expire.
func (c *Candidate) Release() { c.holdsUntil = 0 }
