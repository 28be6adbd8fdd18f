package compare

import (
	"context"
	"math/rand/v2"
	"testing"

	"sprucehill/internal/lab/measure"
)

// noisy is a side whose score is drawn about a mean; the seed's own part is the same on every side.
type noisy struct {
	mean, noise float64
	rng         *rand.Rand
	played      *[]string
	name        string
}

func (n *noisy) Name() string { return n.name }

func (n *noisy) Play(_ context.Context, seed uint64) (*measure.Summary, error) {
	*n.played = append(*n.played, n.name)
	shared := rand.New(rand.NewPCG(seed, 1)).Float64()
	return &measure.Summary{Score: n.mean + shared + n.noise*n.rng.NormFloat64()}, nil
}

func run(t *testing.T, a, b float64, salt uint64) *Result {
	t.Helper()
	var played []string
	sides := [2]*noisy{}
	for i, mean := range []float64{a, b} {
		sides[i] = &noisy{mean, 0.01, rand.New(rand.NewPCG(salt, uint64(i))), &played, string(rune('a' + i))}
	}
	r, err := Run(context.Background(), sides[0], sides[1], 1, 10, func(int, string, *measure.Summary) {})
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(played); i += 4 {
		if played[i] != "a" || played[i+1] != "b" || played[i+2] != "b" || played[i+3] != "a" {
			t.Fatalf("not in alternation: %v", played)
		}
	}
	return r
}

// A difference of five times the noise is found in ten plays although seeds differ by far more; none is found where
// there is none, in at least the share of comparisons that is promised.
func TestDifferencesBeyondNoise(t *testing.T) {
	called := 0
	for salt := range uint64(200) {
		if r := run(t, 0.5, 0.55, salt); !r.Rows[0].IsBeyondNoise || !r.Rows[0].IsBetter {
			t.Errorf("salt %d: a difference of 0.05 was not found: %+v", salt, r.Rows[0])
		}
		if !run(t, 0.5, 0.5, salt).Same() {
			called++
		}
	}
	if share := float64(called) / 200; share > familyError {
		t.Errorf("sides that are the same were called different in %.0f%% of comparisons", 100*share)
	}
}
