package membership

import (
	"fmt"
	"math/bits"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func viewOf(size int) View {
	var v View
	for i := range size {
		v.Members = append(v.Members, testMember(fmt.Sprintf("lb-%04d", i), 1))
	}
	return v
}

// The ranks of n members are 0 to n-1, each once, and about ln n of them change when one member leaves.
func TestRanksAreStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := viewOf(rapid.IntRange(2, 60).Draw(t, "members"))
		size := len(before.Members)
		leaver := rapid.IntRange(0, size-1).Draw(t, "leaver")
		after := View{Members: slices.Delete(slices.Clone(before.Members), leaver, leaver+1)}
		seen := map[int]bool{}
		changed := 0
		for i, m := range before.Members {
			placement := before.Placement(m.Name)
			rank := placement.Rank
			if seen[rank] || rank < 0 || rank >= placement.Serving || placement.Serving != size {
				t.Fatalf("%s has placement %+v in a view of %d members, which is out of range or a duplicate", m.Name, placement, size)
			}
			seen[rank] = true
			if i != leaver && after.Placement(m.Name).Rank != rank {
				changed++
			}
		}
		if limit := 4 * bits.Len(uint(size)); changed > limit {
			t.Fatalf("%d of %d ranks changed, want at most %d", changed, size, limit)
		}
	})
}
