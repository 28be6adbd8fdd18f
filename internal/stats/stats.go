// Package stats has the small statistics that the balancer keeps of a stream of samples. It holds no state of its own and
// decides nothing.
package stats

import (
	"math"
	"slices"
)

// UpdateEWMA moves an exponentially weighted moving average towards a sample. The weight of the sample is between 0 and 1.
// A mean of 0 has no sample yet: it takes the first one whole.
func UpdateEWMA(mean *float64, sample, weight float64) {
	if *mean == 0 {
		*mean = sample
	}
	*mean += weight * (sample - *mean)
}

// MeanDeviation returns the mean and the population standard deviation of samples; both are 0 for none.
func MeanDeviation(samples []float64) (mean, deviation float64) {
	for _, x := range samples {
		mean += x / float64(len(samples))
	}
	var variance float64
	for _, x := range samples {
		variance += (x - mean) * (x - mean) / float64(len(samples))
	}
	return mean, math.Sqrt(variance)
}

// ValueAbove returns the value that stands over one in n of the samples: the median for n = 2, the lower quartile for n = 4.
// Without samples it is 0. It sorts samples, and may use the room behind them.
func ValueAbove(n int, samples []float64) float64 {
	slices.Sort(samples)
	return append(samples, 0)[len(samples)/n]
}
