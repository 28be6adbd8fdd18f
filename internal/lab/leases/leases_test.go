package leases

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"sprucehill/internal/lab/explore"
)

// mutants are models with one protocol bug each.
var mutants = []struct {
	name  string
	model Model
}{
	{"skip restart wait", Model{Voters: 3, Candidates: 2, MaxRestarts: 1, Mutations: Mutations{SkipRestartWait: true}}},
	{"overlong hold", Model{Voters: 3, Candidates: 2, Mutations: Mutations{OverlongHold: true}}},
	{"regrant term", Model{Voters: 3, Candidates: 2, MaxRestarts: 1, Mutations: Mutations{RegrantTerm: true}}},
}

// With any messages lost, delayed or duplicated, voters restarted, and clocks skewed within the bound, at most one member
// holds the role and terms rise from holder to holder.
func TestAtMostOneHolder(t *testing.T) {
	for _, voters := range []int{3, 5} {
		result := explore.Search(Model{Voters: voters, Candidates: 2, MaxRestarts: 1}, explore.Limits{Depth: 11, States: 60_000})
		t.Logf("%d voters: %v", voters, result)
		if result.Violation != nil || result.States < 1000 {
			t.Errorf("%d voters: %v", voters, result)
		}
	}
}

// Guards against a search or an invariant that misses violations: each protocol bug must be found.
func TestSearchFindsMutants(t *testing.T) {
	for _, mutant := range mutants {
		t.Run(mutant.name, func(t *testing.T) {
			result := explore.Search(mutant.model, explore.Limits{Depth: 14, States: 3_000_000})
			t.Log(result)
			if result.Violation == nil {
				t.Errorf("violation not found: %v", result)
			}
		})
	}
}

// Checks the same invariant on random walks longer than the search reaches.
func TestAtMostOneHolderOnRandomWalks(t *testing.T) {
	model := Model{Voters: 5, Candidates: 5, MaxRestarts: 3}
	rapid.Check(t, func(t *rapid.T) {
		world := model.Initial()
		for range 120 {
			transitions := model.Transitions(world)
			world = transitions[rapid.IntRange(0, len(transitions)-1).Draw(t, "step")].To
			if err := model.Check(world); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Random walks find each protocol bug too.
func TestRandomWalksFindMutants(t *testing.T) {
	const maxWalks = 100_000
	for _, mutant := range mutants {
		t.Run(mutant.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(5, 0))
			for walk := range maxWalks {
				if violatesOnWalk(mutant.model, rng) {
					t.Logf("violation found on walk %d", walk+1)
					return
				}
			}
			t.Fatalf("violation not found in %d walks", maxWalks)
		})
	}
}

// violatesOnWalk reports whether a random walk of 25 steps reaches a state that violates the invariant.
func violatesOnWalk(model Model, rng *rand.Rand) bool {
	world := model.Initial()
	for range 25 {
		transitions := model.Transitions(world)
		world = transitions[rng.IntN(len(transitions))].To
		if model.Check(world) != nil {
			return true
		}
	}
	return false
}
