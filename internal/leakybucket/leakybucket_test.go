package leakybucket

import (
	"testing"
	"time"
)

func TestBucketLeaksDownToEmpty(t *testing.T) {
	b := Bucket{Level: 3, At: time.Second}
	for _, step := range []struct {
		now  time.Duration
		want float64
	}{
		{time.Second, 3},
		{2 * time.Second, 2.5},
		{6 * time.Second, 0.5},
		{60 * time.Second, 0},
	} {
		b.Leak(step.now, 0.5)
		if b.Level != step.want || b.At != step.now {
			t.Errorf("after a leak until %v: got level %v at %v, want %v", step.now, b.Level, b.At, step.want)
		}
	}
	b.Add(2)
	if b.Level != 2 {
		t.Errorf("got level %v after adding 2 to an empty bucket, want 2", b.Level)
	}
}
