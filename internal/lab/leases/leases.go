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
	clocks      [MaxVoters]time.Duration
	voters      [MaxVoters]membership.Voter
	candidates  [MaxVoters]membership.Candidate
	inTransit   [maxInTransit]message
	incarnation [MaxVoters]uint8 // of the voter's process; a restart raises it
	restarts    int8
	fence       uint64 // highest term of any holder so far
	fenceHolder string // process that held fence
	termReused  bool   // another process became holder in a term not above fence
}

// Model describes a fleet of voters. Their clocks run at rates that differ by as much as the protocol allows.
type Model struct {
	Voters      int  // 1 to MaxVoters
	Candidates  int  // how many voters request the role, from the first on
	MaxRestarts int8 // total over all voters
	Mutations
}

var _ explore.Model[State] = Model{}

// Initial returns the state in which every member has just started and no voter has granted a lease.
func (m Model) Initial() State {
	var w State
	for i := range m.Voters {
		w.candidates[i] = membership.NewCandidate(processName(i, 0))
		w.clocks[i] = membership.LeaseDuration
	}
	return w
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
func (m Model) holds(w *State, i int) bool {
	now := w.clocks[i]
	if m.OverlongHold {
		now -= overlongHold
	}
	return w.candidates[i].Holds(now)
}

// respond applies a lease request to its voter and returns the response.
func (m Model) respond(w *State, request message) message {
	voter := &w.voters[request.to]
	if m.RegrantTerm && request.term == voter.Term {
		voter.Term--
	}
	requester := processName(int(request.from), request.incarnation)
	decision := voter.RequestLease(w.clocks[request.to], requester, request.term)
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

// handleResponse applies a response to its candidate. If that makes the candidate the holder, it records the term, and sets
// termReused if the term did not rise.
func (m Model) handleResponse(w *State, response message) {
	i := int(response.to)
	process := processName(i, response.incarnation)
	candidate := &w.candidates[i]
	heldBefore := m.holds(w, i)
	candidate.HandleResponse(membership.LeaseResponse{
		Voter:       int(response.from),
		Requester:   process,
		Round:       response.round,
		Granted:     response.granted,
		HighestTerm: response.highestTerm,
	}, m.Voters)
	if heldBefore || !m.holds(w, i) {
		return
	}
	term := candidate.Term()
	if term < w.fence || term == w.fence && process != w.fenceHolder {
		w.termReused = true
	}
	w.fence = term
	w.fenceHolder = process
}

// Transitions lists the possible next states: time passes, a candidate starts a round, a message arrives, or a voter
// restarts.
func (m Model) Transitions(w State) []explore.Transition[State] {
	var transitions []explore.Transition[State]
	add := func(label string, apply func(next *State)) {
		next := w
		apply(&next)
		next.sortMessages()
		transitions = append(transitions, explore.Transition[State]{Label: label, To: next})
	}
	add("time", m.advanceClocks)
	for i := range m.Candidates {
		if w.candidates[i].Term() < maxTerm {
			add(memberName(i)+" starts a round", func(next *State) { m.startRound(next, i) })
		}
	}
	for _, msg := range w.inTransit {
		if msg != (message{}) {
			label := memberName(int(msg.from)) + " to " + memberName(int(msg.to))
			add(label, func(next *State) { m.deliver(next, msg) })
		}
	}
	if w.restarts < m.MaxRestarts {
		for i := range m.Voters {
			add(memberName(i)+" restarts", func(next *State) { m.restart(next, i) })
		}
	}
	return transitions
}

func (m Model) advanceClocks(w *State) {
	for i := range m.Voters {
		w.clocks[i] += clockAdvance(i)
	}
}

// startRound sends a candidate's requests to all voters. The one to itself is answered at once.
func (m Model) startRound(w *State, i int) {
	request := w.candidates[i].StartRound(w.clocks[i])
	for voter := range m.Voters {
		msg := message{from: int8(i), to: int8(voter), term: request.Term, incarnation: w.incarnation[i], round: request.Round}
		if voter == i {
			m.handleResponse(w, m.respond(w, msg))
		} else {
			w.send(msg)
		}
	}
}

// deliver delivers a message. It stays in transit, since it may be delivered again.
func (m Model) deliver(w *State, msg message) {
	if msg.isResponse {
		m.handleResponse(w, msg)
	} else {
		w.send(m.respond(w, msg))
	}
}

// restart replaces the process of a voter. Only the persisted grant survives.
func (m Model) restart(w *State, i int) {
	w.restarts++
	w.incarnation[i]++
	w.candidates[i] = membership.NewCandidate(processName(i, w.incarnation[i]))
	grant := w.voters[i].Grant
	if m.SkipRestartWait {
		w.voters[i] = membership.Voter{Grant: grant}
	} else {
		w.voters[i] = membership.NewVoter(w.clocks[i], grant)
	}
}

// Check returns an error if more than one member holds the role, or if terms did not rise from holder to holder.
func (m Model) Check(w State) error {
	holders := 0
	for i := range m.Voters {
		if m.holds(&w, i) {
			holders++
		}
	}
	switch {
	case holders > 1:
		return fmt.Errorf("%d members hold the role, want at most 1", holders)
	case w.termReused:
		return fmt.Errorf("%s holds the role in term %d, which is not higher than the previous holder's", w.fenceHolder, w.fence)
	}
	return nil
}
