// Package explore is a model checker: it searches exhaustively, breadth first, all states that a small model can reach
// within a number of steps, and checks an invariant in each. It finds a shortest path to a violation.
//
// It promises nothing about states beyond the number of steps or the limit on states. A search owns all its state and
// starts no goroutine.
package explore

import (
	"fmt"
	"hash/maphash"
	"slices"
)

// Transition leads from one state to the next.
type Transition[S comparable] struct {
	Label string // what happens, for the trace
	To    S
}

// Model is the system under test. States that are equal must have the same future.
type Model[S comparable] interface {
	// Initial returns the state that the search starts from.
	Initial() S
	// Transitions lists all that may happen in a state.
	Transitions(s S) []Transition[S]
	// Check returns an error if a state violates the invariant.
	Check(s S) error
}

// Result is the result of a search. The JSON keys are those of balancerctl lab explore --json.
type Result struct {
	States    int      // number of distinct states found
	Depth     int      // all states within so many steps were checked
	Complete  bool     // the search ended at its depth or found all reachable states, rather than at the limit on states
	Violation error    `json:"-"` // nil: none found
	Trace     []string // labels of a shortest path to the violation
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

// Search checks all states within the limits until one violates the invariant. Of the states already expanded it keeps only
// a hash of 64 bits: the chance that two different ones are taken for one is about Limits.States^2 / 2^65.
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
		if len(next) == 0 { // all reachable states are known
			return s.result(depth, true)
		}
		frontier = next
	}
	return s.result(limits.Depth, true)
}

// initialParent stands for the parent of the initial state.
const initialParent = -1

// origin is how a state was reached first.
type origin struct {
	parent int32 // index into search.origins
	label  string
}

// foundState is a state of the search's frontier.
type foundState[S comparable] struct {
	state S
	index int32 // into search.origins
}

// search is the state of a search.
type search[S comparable] struct {
	model   Model[S]
	limits  Limits
	seed    maphash.Seed
	seen    map[uint64]bool // hashes of all states found
	origins []origin        // of all states found
}

// add records a state found for the first time.
func (s *search[S]) add(state S, parent int32, label string) foundState[S] {
	s.seen[maphash.Comparable(s.seed, state)] = true
	s.origins = append(s.origins, origin{parent: parent, label: label})
	return foundState[S]{state: state, index: int32(len(s.origins) - 1)}
}

// expand finds and checks all new states one step beyond the frontier, which is depth steps away from the initial state. A
// result that is not nil ends the search.
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

// trace lists the labels on the path from the initial state to one found.
func (s *search[S]) trace(index int32) []string {
	var labels []string
	for ; s.origins[index].parent != initialParent; index = s.origins[index].parent {
		labels = append(labels, s.origins[index].label)
	}
	slices.Reverse(labels)
	return labels
}
