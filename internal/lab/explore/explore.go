// Package explore is an explicit-state model checker. It visits, breadth first, all states that a small model can reach
// within a number of steps, checks an invariant in each, and returns a shortest path to a violation.
//
// States beyond the limits on steps and on states are not checked. A search starts no goroutine and shares no state with
// other searches.
package explore

import (
	"fmt"
	"hash/maphash"
	"slices"
)

// Transition is a step from one state to the next.
type Transition[S comparable] struct {
	Label string // describes the step in a trace
	To    S
}

// Model is the system under test. Equal states must have the same transitions.
type Model[S comparable] interface {
	// Initial returns the state that the search starts from.
	Initial() S
	// Transitions lists all steps that are possible in a state.
	Transitions(s S) []Transition[S]
	// Check returns an error if a state violates the invariant.
	Check(s S) error
}

// Result is the result of a search. The JSON keys are those of balancerctl lab explore --json.
type Result struct {
	States    int      // number of distinct states found
	Depth     int      // all states within this many steps were checked
	Complete  bool     // the search reached its depth or all reachable states, and did not stop at Limits.States
	Violation error    `json:"-"` // nil if none was found
	Trace     []string // labels on a shortest path to the violation
}

func (r Result) String() string {
	text := fmt.Sprintf("%d states, depth %d, complete: %t", r.States, r.Depth, r.Complete)
	if r.Violation != nil {
		text += fmt.Sprintf(", %v after %q", r.Violation, r.Trace)
	}
	return text
}

// Limits bound a search.
type Limits struct {
	Depth  int // steps, at least 1
	States int // distinct states, at least 1
}

// Search checks all states within the limits until one violates the invariant. Of states already
// expanded it keeps only a 64-bit hash: the chance that two different states collide, so that one is not checked, is about
// Limits.States^2 / 2^65.
func Search[S comparable](model Model[S], limits Limits) Result {
	s := &search[S]{model: model, limits: limits, seed: maphash.MakeSeed(), seen: map[uint64]bool{}}
	initial := model.Initial()
	frontier := []foundState[S]{s.add(initial, initialParent, "")}
	if err := model.Check(initial); err != nil {
		return Result{States: 1, Complete: true, Violation: err}
	}
	for depth := range limits.Depth {
		next, end := s.expand(frontier, depth)
		if end != nil {
			return *end
		}
		if len(next) == 0 { // all reachable states were checked
			return s.result(depth, true)
		}
		frontier = next
	}
	return s.result(limits.Depth, true)
}

// initialParent is the parent index of the initial state, which has no parent.
const initialParent = -1

// origin is the step by which a state was first reached.
type origin struct {
	parent int32 // index into search.origins
	label  string
}

// foundState is a state on the search's frontier.
type foundState[S comparable] struct {
	state S
	index int32 // into search.origins
}

// search is a search in progress.
type search[S comparable] struct {
	model   Model[S]
	limits  Limits
	seed    maphash.Seed
	seen    map[uint64]bool // hashes of all states found
	origins []origin        // of all states found
}

// add records a new state.
func (s *search[S]) add(state S, parent int32, label string) foundState[S] {
	s.seen[maphash.Comparable(s.seed, state)] = true
	s.origins = append(s.origins, origin{parent: parent, label: label})
	return foundState[S]{state: state, index: int32(len(s.origins) - 1)}
}

// expand finds and checks all new states one step beyond the frontier, which is depth steps from the initial state. If end
// is not nil, the search ends with that result.
func (s *search[S]) expand(frontier []foundState[S], depth int) (next []foundState[S], end *Result) {
	for _, from := range frontier {
		for _, transition := range s.model.Transitions(from.state) {
			if s.seen[maphash.Comparable(s.seed, transition.To)] {
				continue
			}
			found := s.add(transition.To, from.index, transition.Label)
			next = append(next, found)
			if err := s.model.Check(found.state); err != nil {
				violated := s.result(depth+1, false)
				violated.Violation = err
				violated.Trace = s.trace(found.index)
				return nil, &violated
			}
			if len(s.origins) >= s.limits.States {
				limited := s.result(depth, false)
				return nil, &limited
			}
		}
	}
	return next, nil
}

func (s *search[S]) result(depth int, complete bool) Result {
	return Result{States: len(s.origins), Depth: depth, Complete: complete}
}

// trace returns the labels on the path from the initial state to the state at index.
func (s *search[S]) trace(index int32) []string {
	var labels []string
	for ; s.origins[index].parent != initialParent; index = s.origins[index].parent {
		labels = append(labels, s.origins[index].label)
	}
	slices.Reverse(labels)
	return labels
}
