package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecorded is the longest duration that a histogram counts.
	maxRecorded = 10 * time.Minute
	// histogramDigits is how many significant decimal digits of a duration a histogram keeps.
	histogramDigits = 3
)

// Latency summarizes a distribution of durations, in milliseconds.
type Latency struct {
	P50, P90, P99, P999, Max float64
	Count                    int64
}

// histogram counts durations, in microseconds.
type histogram struct{ counts *hdrhistogram.Histogram }

func newHistogram() *histogram {
	return &histogram{hdrhistogram.New(1, maxRecorded.Microseconds(), histogramDigits)}
}

// record counts a duration. Durations over maxRecorded are not counted.
func (h *histogram) record(d time.Duration) {
	_ = h.counts.RecordValue(d.Microseconds()) // fails only for a value over maxRecorded
}

// percentile returns the pth percentile of the recorded durations, in milliseconds.
func (h *histogram) percentile(p float64) float64 {
	return milliseconds(h.counts.ValueAtPercentile(p))
}

// latency summarizes the recorded durations.
func (h *histogram) latency() Latency {
	return Latency{
		P50:   h.percentile(50),
		P90:   h.percentile(90),
		P99:   h.percentile(99),
		P999:  h.percentile(99.9),
		Max:   milliseconds(h.counts.Max()),
		Count: h.counts.TotalCount(),
	}
}

// milliseconds converts from microseconds.
func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }
