package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// View is the fleet as one balancer sees it: the active process of each name, sorted by name.
type View struct {
	Members []Member
}

// Digest hashes the names and incarnations in the view. It excludes the members' states, because views that differ only in
// states, as during a drain, agree on the membership.
func (v View) Digest() uint64 {
	digest := xxhash.New()
	var incarnation [8]byte
	for _, m := range v.Members {
		_, _ = digest.WriteString(m.Name) // a hash never returns an error
		binary.BigEndian.PutUint64(incarnation[:], m.Incarnation)
		_, _ = digest.Write(incarnation[:])
	}
	return digest.Sum64()
}

// Has reports whether the view contains a member with a name.
func (v View) Has(name string) bool {
	_, found := slices.BinarySearchFunc(v.Members, name, func(m Member, name string) int { return cmp.Compare(m.Name, name) })
	return found
}

// Placement returns the rank of a balancer among the serving balancers, and their number. The balancer itself is included
// whatever its state.
//
// Ranks are assigned by rendezvous hashing: in ascending order, each to the remaining member with the highest hash of member
// and rank. This needs no history, so that all balancers with the same view compute the same ranks, and few ranks change when
// a member leaves: its rank goes to the member with the next highest hash, whose previous, higher rank is reassigned in the
// same way. About ln n of n ranks change.
func (v View) Placement(name string) Placement {
	remaining := v.rankCandidates(name)
	placement := Placement{Serving: len(remaining)}
	for rank := range placement.Serving {
		placement.Rank = rank
		best := bestCandidate(remaining, rank)
		if remaining[best].name == name {
			break
		}
		last := len(remaining) - 1
		remaining[best] = remaining[last]
		remaining = remaining[:last]
	}
	return placement
}

// rankCandidate is a balancer that a rank can be assigned to.
type rankCandidate struct {
	name string
	hash uint64
}

// rankCandidates returns the serving members and the named balancer.
func (v View) rankCandidates(name string) []rankCandidate {
	var candidates []rankCandidate
	for _, m := range v.Members {
		if m.State == Serving || m.Name == name {
			candidates = append(candidates, rankCandidate{m.Name, xxhash.Sum64String(m.Name)})
		}
	}
	if !v.Has(name) {
		candidates = append(candidates, rankCandidate{name, xxhash.Sum64String(name)})
	}
	return candidates
}

// bestCandidate returns the index of the candidate with the highest hash for a rank; the lowest name breaks ties.
func bestCandidate(candidates []rankCandidate, rank int) int {
	rankHash := mix64(uint64(rank) + 1)
	best := 0
	bestScore := uint64(0)
	for i, c := range candidates {
		score := mix64(c.hash ^ rankHash)
		if score > bestScore || score == bestScore && c.name < candidates[best].name {
			best = i
			bestScore = score
		}
	}
	return best
}

// mix64 is a bijection that spreads x over all 64 bits (the finalizer of MurmurHash3, by Austin Appleby).
func mix64(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
