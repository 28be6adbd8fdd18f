// Package ring orders elements on a hash ring, and reads a ring from any place on it.
package ring

import "slices"

// Position returns the place of an ID on the ring: a fixed 64-bit hash, so that the order of the ring does not depend on that
// of the IDs.
func Position(id uint64) uint64 {
	id = (id + 1) * 0x9e3779b97f4a7c15
	id = (id ^ id>>29) * 0xbf58476d1ce4e5b9
	return id ^ id>>32
}

// From returns the elements of a ring in order, beginning at a place on it, a ratio from 0 (its first element) to 1
// (exclusive). It returns a new slice.
func From[T any](elements []T, place float64) []T {
	first := int(place * float64(len(elements)))
	return slices.Concat(elements[first:], elements[:first])
}
