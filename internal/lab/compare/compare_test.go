package compare

import (
	"context"
	"math/rand/v2"
	"testing"

	"sprucehill/internal/lab/measure"
)

// noisySide is a side whose score is a mean, plus an effect of the seed that is the same on every side, plus its own noise.
type noisySide struct {
	mean, noise float64
	rng         *rand.Rand
	runOrder    *[]string
	name        string
}

func (n *noisySide) Name() string { return n.name }

func (n *noisySide) Run(_ context.Context, seed uint64) (*measure.Summary, error) {
	*n.runOrder = append(*n.runOrder, n.name)
	shared := rand.New(rand.NewPCG(seed, 1)).Float64()
	return &measure.Summary{Score: n.mean + shared + n.noise*n.rng.NormFloat64()}, nil
}

func runComparison(t *testing.T, a, b float64, salt uint64) *Result {
	t.Helper()
	var runOrder []string
	sides := [2]*noisySide{}
	for i, mean := range []float64{a, b} {
		sides[i] = &noisySide{mean, 0.01, rand.New(rand.NewPCG(salt, uint64(i))), &runOrder, string(rune('a' + i))}
	}
	r, err := Run(context.Background(), sides[0], sides[1], 1, 10, func(int, string, *measure.Summary) {})
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(runOrder); i += 4 {
		if runOrder[i] != "a" || runOrder[i+1] != "b" || runOrder[i+2] != "b" || runOrder[i+3] != "a" {
			t.Fatalf("sides do not alternate: %v", runOrder)
		}
	}
	return r
}

// Ten pairs of runs reveal a difference of five times the noise although seeds differ by far more, and false positives stay
// within the family-wise error rate.
func TestDifferencesBeyondNoise(t *testing.T) {
	falsePositives := 0
	for salt := range uint64(200) {
		if r := runComparison(t, 0.5, 0.55, salt); !r.Rows[0].IsBeyondNoise || !r.Rows[0].IsBetter {
			t.Errorf("salt %d: difference of 0.05 not found: %+v", salt, r.Rows[0])
		}
		if !runComparison(t, 0.5, 0.5, salt).Same() {
			falsePositives++
		}
	}
	if share := float64(falsePositives) / 200; share > familyError {
		t.Errorf("equal sides differ in %.0f%% of comparisons, want at most %.0f%%", 100*share, 100*familyError)
	}
}
