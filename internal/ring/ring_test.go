package ring

import (
	"slices"
	"testing"
)

func TestPositionsAreFixedAndSpread(t *testing.T) {
	for id, want := range map[uint64]uint64{0: 0xca009717f87d8879, 1: 0x6c3247d3eded6346, 41: 0xb041aa6b281cfef6} {
		if got := Position(id); got != want {
			t.Errorf("id %d: %#x, want %#x", id, got, want)
		}
	}
	const ids, quarters = 4000, 4
	var count [quarters]int
	seen := map[uint64]bool{}
	for id := range uint64(ids) {
		at := Position(id)
		if seen[at] {
			t.Fatalf("id %d has the same position as a smaller id", id)
		}
		seen[at] = true
		count[at>>62]++
	}
	for i, n := range count {
		if n < ids/quarters*9/10 || n > ids/quarters*11/10 {
			t.Errorf("quarter %d of the ring has %d of %d ids", i, n, ids)
		}
	}
}

func TestFrom(t *testing.T) {
	elements := []string{"a", "b", "c", "d"}
	for _, c := range []struct {
		start float64
		want  []string
	}{
		{0, []string{"a", "b", "c", "d"}},
		{0.25, []string{"b", "c", "d", "a"}},
		{0.99, []string{"d", "a", "b", "c"}},
	} {
		if got := Rotate(elements, c.start); !slices.Equal(got, c.want) {
			t.Errorf("from %v: got %v, want %v", c.start, got, c.want)
		}
	}
	if got := Rotate([]string(nil), 0.5); len(got) != 0 {
		t.Errorf("got %v from an empty ring, want none", got)
	}
}
