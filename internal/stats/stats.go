// Package stats computes statistics of samples. Its functions keep no state, and are safe for concurrent use on different
// data.
package stats

import (
	"math"
	"slices"
)

// UpdateEWMA adds a sample, with a weight from 0 to 1, to an exponentially weighted moving average. A mean of 0 stands for no
// samples yet, and is set to the sample.
func UpdateEWMA(mean *float64, sample, weight float64) {
	if *mean == 0 {
		*mean = sample
	}
	*mean += weight * (sample - *mean)
}

// MeanStdDev returns the mean and the population standard deviation of samples. Without samples both are 0.
func MeanStdDev(samples []float64) (mean, deviation float64) {
	for _, x := range samples {
		mean += x / float64(len(samples))
	}
	var variance float64
	for _, x := range samples {
		variance += (x - mean) * (x - mean) / float64(len(samples))
	}
	return mean, math.Sqrt(variance)
}

// Quantile returns the sample that is greater than one n-th of the samples: the upper median for n = 2, the lower quartile
// for n = 4. n must be at least 2. Without samples it returns 0. It sorts samples, and may overwrite the element beyond the
// end of the slice if there is capacity for one.
func Quantile(n int, samples []float64) float64 {
	slices.Sort(samples)
	return append(samples, 0)[len(samples)/n]
}
