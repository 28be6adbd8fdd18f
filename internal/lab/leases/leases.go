// Package leases models roles that at most one member may hold: the real voters and candidates of internal/membership, with
// all faults that may happen between them, for internal/lab/explore to search.
//
// A Model is immutable, and a World is a value: nothing is shared between states.
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
	// maxTerm bounds the terms that candidates request, which keeps the number of states finite.
	maxTerm = 3
	// tickDuration is how far real time advances in one step.
	tickDuration = membership.LeaseDuration / 2
	// overlongHold is for how long a holder with Mutations.OverlongHold overstays.
	overlongHold = membership.LeaseDuration * 7 / 10
)

// Mutations break rules of the protocol on purpose, to show that the search finds it.
type Mutations struct {
	SkipRestartWait bool // a restarted voter does not wait for a lease's duration
	OverlongHold    bool // a holder holds the role for longer than voters are bound
	RegrantTerm     bool // a voter grants the same term to another candidate
}

// World is a state of the model: all voters, which may be candidates too, with their clocks and the messages in transit.
type World struct {
	clocks      [MaxVoters]time.Duration
	voters      [MaxVoters]membership.Voter
	candidates  [MaxVoters]membership.Candidate
	inTransit   [maxInTransit]message
	incarnation [MaxVoters]uint8 // of the process; a restart raises it
	restarts    int8
	fence       uint64 // highest term of any holder so far
	fenceHolder string // its holder, as a process
	termReused  bool   // another process got the role in a term not above fence
}

// Model is a model of a fleet of voters. In each step of time its clocks advance at rates that differ as far as the
// protocol allows.
type Model struct {
	Voters      int  // 1 to MaxVoters
	Candidates  int  // the first so many voters want the role
	MaxRestarts int8 // of voters, in all
	Mutations
}

var _ explore.Model[World] = Model{}

// Initial returns a fleet that has just been started.
func (m Model) Initial() World {
	var w World
	for i := range m.Voters {
		w.candidates[i] = membership.NewCandidate(processName(i, 0))
		w.clocks[i] = membership.LeaseDuration
	}
	return w
}

// clockAdvance is how far the clock of a member advances in a tick. The fastest runs a tenth faster than the slowest.
func clockAdvance(i int) time.Duration {
	const slowest = tickDuration * 20 / 21
	const fastest = slowest * 11 / 10
	return []time.Duration{slowest, fastest, tickDuration}[i%3]
}

// memberName is the name of voter i in traces.
func memberName(i int) string { return string(rune('a' + i)) }

// processName is the name of a process of voter i, unique among its restarts.
func processName(i int, incarnation uint8) string { return fmt.Sprint(memberName(i), "/", incarnation) }

// holds reports whether member i takes itself for the holder.
func (m Model) holds(w *World, i int) bool {
	now := w.clocks[i]
	if m.OverlongHold {
		now -= overlongHold
	}
	return w.candidates[i].Holds(now)
}

// respond lets a voter decide on a request and returns its response.
func (m Model) respond(w *World, request message) message {
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

// handleResponse lets a candidate count a response, and checks the term if that makes it the holder.
func (m Model) handleResponse(w *World, response message) {
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

// Transitions lists what may happen in a state: time passes, a candidate starts a round, a message arrives, or a voter
// restarts.
func (m Model) Transitions(w World) []explore.Transition[World] {
	var transitions []explore.Transition[World]
	add := func(label string, apply func(next *World)) {
		next := w
		apply(&next)
		next.sortMessages()
		transitions = append(transitions, explore.Transition[World]{Label: label, To: next})
	}
	add("time", m.advanceClocks)
	for i := range m.Candidates {
		if w.candidates[i].Term() < maxTerm {
			add(memberName(i)+" asks", func(next *World) { m.startRound(next, i) })
		}
	}
	for _, msg := range w.inTransit {
		if msg != (message{}) {
			label := memberName(int(msg.from)) + " to " + memberName(int(msg.to))
			add(label, func(next *World) { m.deliver(next, msg) })
		}
	}
	if w.restarts < m.MaxRestarts {
		for i := range m.Voters {
			add(memberName(i)+" starts again", func(next *World) { m.restart(next, i) })
		}
	}
	return transitions
}

func (m Model) advanceClocks(w *World) {
	for i := range m.Voters {
		w.clocks[i] += clockAdvance(i)
	}
}

// startRound lets a candidate send its requests. The one to itself arrives at once.
func (m Model) startRound(w *World, i int) {
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

// deliver lets a message arrive. It stays in transit, since it may arrive again.
func (m Model) deliver(w *World, msg message) {
	if msg.isResponse {
		m.handleResponse(w, msg)
	} else {
		w.send(m.respond(w, msg))
	}
}

// restart replaces the process of a voter, which keeps only its persisted grant.
func (m Model) restart(w *World, i int) {
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

// Check returns an error if more than one member holds the role, or a term did not rise from holder to holder.
func (m Model) Check(w World) error {
	holders := 0
	for i := range m.Voters {
		if m.holds(&w, i) {
			holders++
		}
	}
	switch {
	case holders > 1:
		return fmt.Errorf("%d hold the role", holders)
	case w.termReused:
		return fmt.Errorf("a term is held that is not higher than %d", w.fence)
	}
	return nil
}
