// Package stats computes small statistics of samples. It has no state of its own. Its functions are safe for concurrent use
// on different data.
package stats

import (
	"math"
	"slices"
)

// UpdateEWMA moves an exponentially weighted moving average towards a sample. The weight of the sample is a ratio from 0 to 1.
// A mean of 0 stands for no sample yet: it is set to the sample.
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

// ValueAbove returns the value that is above one in n of the samples: the median for n = 2, the lower quartile for n = 4. n is
// at least 2. Without samples it returns 0. It sorts samples, and may overwrite the capacity of the slice beyond them.
func ValueAbove(n int, samples []float64) float64 {
	slices.Sort(samples)
	return append(samples, 0)[len(samples)/n]
}
