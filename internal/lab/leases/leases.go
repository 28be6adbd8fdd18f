// Package leases models the lease on a role that at most one member may hold. It runs the voters and candidates of
// internal/membership under lost, delayed and duplicated messages, restarts and clock skew, for internal/lab/explore to check.
//
// A Model is immutable, and a State is a value: nothing is shared between states.
package leases

import (
	"fmt"
	"time"

	"sprucehill/internal/lab/explore"
	"sprucehill/internal/membership"
)

const (
	// MaxVoters bounds the voters of a model.
	MaxVoters = 5
	// maxTerm is the highest term that candidates request. It keeps the number of states finite.
	maxTerm = 3
	// tickDuration is how much real time one step takes.
	tickDuration = membership.LeaseDuration / 2
	// overlongHold is how long a holder with Mutations.OverlongHold keeps the role after its lease has expired.
	overlongHold = membership.LeaseDuration * 7 / 10
)

// Mutations are deliberate protocol bugs that show whether the search finds violations.
type Mutations struct {
	SkipRestartWait bool // a restarted voter grants at once instead of waiting for LeaseDuration
	OverlongHold    bool // a holder keeps the role longer than its voters' grants last
	RegrantTerm     bool // a voter grants a term again to another candidate
}

// State is a state of the model: the voters, some of which are candidates too, their clocks, and the messages in transit.
type State struct {
	clocks          [MaxVoters]time.Duration
	voters          [MaxVoters]membership.Voter
	candidates      [MaxVoters]membership.Candidate
	inTransit       [maxInTransit]message
	incarnation     [MaxVoters]uint8 // of the voter's process; a restart raises it
	restarts        int8
	fence           uint64 // term of the process that became holder last
	fenceHolder     string // that process
	fencingViolated bool   // a process became holder in a term below fence, or in the same term as another process
}

// Model describes a fleet of voters. Their clocks run at rates that differ by as much as the protocol allows.
type Model struct {
	Voters      int  // 1 to MaxVoters
	Candidates  int  // number of candidates: the voters with the lowest indexes request the role
	MaxRestarts int8 // total over all voters
	Mutations
}

var _ explore.Model[State] = Model{}

// Initial returns the state in which every member has just started and no voter has granted a lease.
func (m Model) Initial() State {
	var state State
	for i := range m.Voters {
		state.candidates[i] = membership.NewCandidate(processName(i, 0))
		state.clocks[i] = membership.LeaseDuration
	}
	return state
}

// clockAdvance returns how far the clock of member i advances in a tick. The fastest runs a tenth faster than the slowest.
func clockAdvance(i int) time.Duration {
	const slowest = tickDuration * 20 / 21
	const fastest = slowest * 11 / 10
	return []time.Duration{slowest, fastest, tickDuration}[i%3]
}

// memberName returns the name of voter i in traces.
func memberName(i int) string { return string(rune('a' + i)) }

// processName returns the name of a process of voter i, unique across its restarts.
func processName(i int, incarnation uint8) string { return fmt.Sprint(memberName(i), "/", incarnation) }

// holds reports whether member i considers itself the holder.
func (m Model) holds(state *State, i int) bool {
	now := state.clocks[i]
	if m.OverlongHold {
		now -= overlongHold
	}
	return state.candidates[i].Holds(now)
}

// respond applies a lease request to its voter and returns the response.
func (m Model) respond(state *State, request message) message {
	voter := &state.voters[request.to]
	if m.RegrantTerm && request.term == voter.Term {
		voter.Term--
	}
	requester := processName(int(request.from), request.incarnation)
	decision := voter.RequestLease(state.clocks[request.to], requester, request.term)
	return message{
		isResponse:  true,
		from:        request.to,
		to:          request.from,
		term:        request.term,
		incarnation: request.incarnation,
		round:       request.round,
		granted:     decision.Granted,
		highestTerm: voter.Term,
	}
}

// handleResponse applies a response to its candidate. If that makes the candidate the holder, it sets fence to its term. It
// sets fencingViolated if that term is lower than the previous fence, or equal to it although another process held it. A
// process may become holder again in the same term.
func (m Model) handleResponse(state *State, response message) {
	i := int(response.to)
	process := processName(i, response.incarnation)
	candidate := &state.candidates[i]
	heldBefore := m.holds(state, i)
	candidate.HandleResponse(membership.LeaseResponse{
		Voter:       int(response.from),
		Requester:   process,
		Round:       response.round,
		Granted:     response.granted,
		HighestTerm: response.highestTerm,
	}, m.Voters)
	if heldBefore || !m.holds(state, i) {
		return
	}
	term := candidate.Term()
	if term < state.fence || term == state.fence && process != state.fenceHolder {
		state.fencingViolated = true
	}
	state.fence = term
	state.fenceHolder = process
}

// Transitions lists the possible next states: time passes, a candidate starts a round, a message arrives, or a voter
// restarts.
func (m Model) Transitions(state State) []explore.Transition[State] {
	var transitions []explore.Transition[State]
	add := func(label string, apply func(next *State)) {
		next := state
		apply(&next)
		next.sortMessages()
		transitions = append(transitions, explore.Transition[State]{Label: label, To: next})
	}
	add("time", m.advanceClocks)
	for i := range m.Candidates {
		if state.candidates[i].Term() < maxTerm {
			add(memberName(i)+" starts a round", func(next *State) { m.startRound(next, i) })
		}
	}
	for _, msg := range state.inTransit {
		if msg != (message{}) {
			label := memberName(int(msg.from)) + " to " + memberName(int(msg.to))
			add(label, func(next *State) { m.deliver(next, msg) })
		}
	}
	if state.restarts < m.MaxRestarts {
		for i := range m.Voters {
			add(memberName(i)+" restarts", func(next *State) { m.restart(next, i) })
		}
	}
	return transitions
}

func (m Model) advanceClocks(state *State) {
	for i := range m.Voters {
		state.clocks[i] += clockAdvance(i)
	}
}

// startRound sends a candidate's requests to all voters. The one to itself is answered at once.
func (m Model) startRound(state *State, i int) {
	request := state.candidates[i].StartRound(state.clocks[i])
	for voter := range m.Voters {
		msg := message{from: int8(i), to: int8(voter), term: request.Term, incarnation: state.incarnation[i], round: request.Round}
		if voter == i {
			m.handleResponse(state, m.respond(state, msg))
		} else {
			state.send(msg)
		}
	}
}

// deliver delivers a message. It stays in transit, since it may be delivered again.
func (m Model) deliver(state *State, msg message) {
	if msg.isResponse {
		m.handleResponse(state, msg)
	} else {
		state.send(m.respond(state, msg))
	}
}

// restart replaces the process of a voter. Only the persisted grant survives.
func (m Model) restart(state *State, i int) {
	state.restarts++
	state.incarnation[i]++
	state.candidates[i] = membership.NewCandidate(processName(i, state.incarnation[i]))
	grant := state.voters[i].Grant
	if m.SkipRestartWait {
		state.voters[i] = membership.Voter{Grant: grant}
	} else {
		state.voters[i] = membership.NewVoter(state.clocks[i], grant)
	}
}

// Check returns an error if more than one member holds the role, or if terms did not rise from holder to holder.
func (m Model) Check(state State) error {
	holders := 0
	for i := range m.Voters {
		if m.holds(&state, i) {
			holders++
		}
	}
	switch {
	case holders > 1:
		return fmt.Errorf("%d members hold the role, want at most 1", holders)
	case state.fencingViolated:
		return fmt.Errorf("%s holds the role in term %d, which is not higher than the previous holder's",
			state.fenceHolder, state.fence)
	}
	return nil
}
