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
			t.Errorf("at %v: %v at %v, want %v", step.now, b.Level, b.At, step.want)
		}
	}
	b.Add(2)
	if b.Level != 2 {
		t.Errorf("level %v after 2 were added to an empty bucket", b.Level)
	}
}
