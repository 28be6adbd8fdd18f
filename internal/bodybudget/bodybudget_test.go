package bodybudget

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// Buffered bodies stay within the budget.
func TestReadBodyStaysWithinBudget(t *testing.T) {
	b := New(20 << 10)
	for _, c := range []struct {
		size, length int64
		buffered     int
		complete     bool
	}{{0, 0, 0, true}, {300, 300, 300, true}, {300, -1, 300, true}, {16 << 10, 16 << 10, 16 << 10, true},
		{40 << 10, 40 << 10, 16 << 10, false}, {1 << 20, -1, 16 << 10, false}} {
		body, complete, err := b.ReadBody(strings.NewReader(strings.Repeat("x", int(c.size))), c.length)
		if err != nil || len(body) != c.buffered || complete != c.complete {
			t.Errorf("%d bytes of length %d: %d buffered, complete %v, %v", c.size, c.length, len(body), complete, err)
		}
		b.Release(cap(body))
	}
	if _, _, err := b.ReadBody(strings.NewReader("0123456789"), 20); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("body shorter than its length: got %v, want %v", err, io.ErrUnexpectedEOF)
	}
}
