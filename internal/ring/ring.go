// Package ring places elements on a hash ring, and iterates over a ring from any position.
package ring

import "slices"

// Position returns the position of an ID on the ring. It is a 64-bit hash that never changes, so that the order on the ring
// is unrelated to the order of the IDs.
func Position(id uint64) uint64 {
	id = (id + 1) * 0x9e3779b97f4a7c15
	id = (id ^ id>>29) * 0xbf58476d1ce4e5b9
	return id ^ id>>32
}

// Rotate returns the elements of a ring in a new slice, in ring order, beginning at start: a fraction of the ring from 0, its
// first element, to 1 (exclusive).
func Rotate[T any](elements []T, start float64) []T {
	first := int(start * float64(len(elements)))
	return slices.Concat(elements[first:], elements[:first])
}
