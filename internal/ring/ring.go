// Package ring places things on a ring by a fixed hash, and reads a ring from any place on it.
package ring

import "slices"

// Position is a fixed 64-bit hash of an id, so that neither numbering nor the order of listing orders the ring.
func Position(id uint64) uint64 {
	id = (id + 1) * 0x9e3779b97f4a7c15
	id = (id ^ id>>29) * 0xbf58476d1ce4e5b9
	return id ^ id>>32
}

// From returns the elements of a ring in order, beginning at a place on it between 0 (its first element) and 1 (not
// included). The ring itself stays as it is.
func From[T any](elements []T, place float64) []T {
	first := int(place * float64(len(elements)))
	return slices.Concat(elements[first:], elements[:first])
}
