package stats

import (
	"math"
	"testing"
)

func TestUpdateEWMA(t *testing.T) {
	var mean float64
	for i, step := range []struct{ sample, want float64 }{{8, 8}, {16, 10}, {10, 10}, {0, 7.5}} {
		UpdateEWMA(&mean, step.sample, 0.25)
		if mean != step.want {
			t.Errorf("sample %d: mean %v, want %v", i, mean, step.want)
		}
	}
}

func TestMeanDeviation(t *testing.T) {
	for _, c := range []struct {
		name            string
		samples         []float64
		mean, deviation float64
	}{
		{"none", nil, 0, 0},
		{"one", []float64{0.5}, 0.5, 0},
		{"two", []float64{0, 1}, 0.5, 0.5},
		{"population deviation, not sample deviation", []float64{2, 4, 4, 4, 5, 5, 7, 9}, 5, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			mean, deviation := MeanStdDev(c.samples)
			if math.Abs(mean-c.mean) > 1e-12 || math.Abs(deviation-c.deviation) > 1e-12 {
				t.Errorf("got %v and %v, want %v and %v", mean, deviation, c.mean, c.deviation)
			}
		})
	}
}

func TestValueAbove(t *testing.T) {
	for _, c := range []struct {
		name    string
		n       int
		samples []float64
		want    float64
	}{
		{"none", 2, nil, 0},
		{"median of one", 2, []float64{3}, 3},
		{"median of three", 2, []float64{9, 1, 5}, 5},
		{"upper median of four", 2, []float64{4, 1, 3, 2}, 3},
		{"lower quartile", 4, []float64{8, 7, 6, 5, 4, 3, 2, 1}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Quantile(c.n, c.samples); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
