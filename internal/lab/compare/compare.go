// Package compare runs scenarios with the same seeds on two sides alternately, and reports which differences are
// statistically significant.
//
// The values are paired by seed, so that the effect of a seed on both sides cancels. A difference is significant, or beyond
// noise, if Student's confidence interval of the mean paired difference does not contain zero. The error rate is that of
// all measures together (Bonferroni correction): with ten measures, each has a chance of 1 in 200 of a false positive.
package compare

import (
	"context"
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"sprucehill/internal/lab/measure"
)

// familyError is the family-wise error rate: the chance of at least one false positive if the sides do not differ.
const familyError = 0.05

// Side is one of the two variants that are compared. Run runs its scenario once with a seed.
type Side interface {
	Name() string
	Run(ctx context.Context, seed uint64) (*measure.Summary, error)
}

// Measure is a figure of a run by which sides are compared.
type Measure struct {
	Name         string
	Unit         string
	Value        func(*measure.Summary) float64
	MoreIsBetter bool
}

// Measures lists all measures, in the order of reports.
var Measures = []Measure{
	{"score", "", func(s *measure.Summary) float64 { return s.Score }, true},
	{"worth served", "", func(s *measure.Summary) float64 { return s.Main.ServedRatio }, true},
	{"worst 10 s", "", func(s *measure.Summary) float64 { return s.WorstStretchRatio }, true},
	{"refused", "", func(s *measure.Summary) float64 { return s.Main.ShareByOutcome[measure.Rejected.String()] }, false},
	{"failed", "", func(s *measure.Summary) float64 { return s.Main.ShareByOutcome[measure.Failed.String()] }, false},
	{"late", "", func(s *measure.Summary) float64 { return s.Main.ShareByOutcome[measure.ServedLate.String()] }, false},
	{"p50", "ms", func(s *measure.Summary) float64 { return s.Main.Latency.P50 }, false},
	{"p99", "ms", func(s *measure.Summary) float64 { return s.Main.Latency.P99 }, false},
	{"attempts a request", "", func(s *measure.Summary) float64 { return s.AttemptsPerRequest }, false},
	{"cross-zone share", "", func(s *measure.Summary) float64 { return s.CrossZoneRatio }, false},
	{"recovery", "s", totalRecoverySeconds, false},
	{"10 s from a fault", "", func(s *measure.Summary) float64 {
		return worstOf(s, func(r measure.Recovery) float64 { return r.ServedRatioFirst10s })
	}, true},
	{"5 s after a fault", "", func(s *measure.Summary) float64 {
		return worstOf(s, func(r measure.Recovery) float64 { return r.ServedRatioNext5s })
	}, true},
	{"after it was back", "", func(s *measure.Summary) float64 {
		return worstOf(s, func(r measure.Recovery) float64 { return r.SecondDipRatio })
	}, true},
	{"fullest zone", "", fullestZone, false},
	{"swing of zones", "", zoneSwing, false},
	{"rules broken", "", rulesBroken, false},
}

// fullestZone returns the highest utilization of a zone over that of the fleet, or 0 if it is unknown.
func fullestZone(s *measure.Summary) float64 {
	if s.Zones == nil {
		return 0
	}
	return s.Zones.PeakUtilizationRatio
}

// zoneSwing returns how much a zone's share of the attempts varies, or 0 if it is unknown.
func zoneSwing(s *measure.Summary) float64 {
	if s.Zones == nil {
		return 0
	}
	return s.Zones.AttemptShareSwing
}

// rulesBroken returns the number of violations of all rules.
func rulesBroken(s *measure.Summary) float64 {
	violations := 0
	for _, n := range s.Broken {
		violations += n
	}
	return float64(violations)
}

// worstOf returns the lowest value of a ratio over all faults, or 1 if there are none.
func worstOf(s *measure.Summary, ratio func(measure.Recovery) float64) float64 {
	worst := 1.0
	for _, r := range s.Recoveries {
		worst = min(worst, ratio(r))
	}
	return worst
}

// totalRecoverySeconds returns the sum of the recovery times from all faults that end. Without a recovery, the time from the
// fault's end to the end of the run counts.
func totalRecoverySeconds(s *measure.Summary) float64 {
	var sum float64
	for _, r := range s.Recoveries {
		switch {
		case r.RecoverySeconds != nil:
			sum += *r.RecoverySeconds
		case r.EndSeconds >= 0:
			sum += max(0, s.LengthSeconds-r.EndSeconds)
		}
	}
	return sum
}

// Row is one measure on both sides. Ratios are of B to A.
type Row struct {
	Measure          string
	Unit             string
	MeanA            float64 `json:"A"`
	MeanB            float64 `json:"B"`
	RatioOfMeans     float64 `json:"Ratio"` // 0 if MeanA is 0
	LowestRatio      float64 `json:"Low"`   // over the pairs of runs
	HighestRatio     float64 `json:"High"`  // over the pairs of runs
	MeanDiff         float64 `json:"Diff"`  // mean of B minus A
	DiffHalfInterval float64 `json:"Half"`  // half the width of the confidence interval of MeanDiff
	IsBeyondNoise    bool    `json:"Beyond"`
	IsBetter         bool    `json:"Better"` // IsBeyondNoise, and B is the better side
}

// Result is the comparison of two sides over pairs of runs.
type Result struct {
	A, B  string
	Plays int
	Seeds []uint64
	Rows  []Row
}

// Same reports whether no measure differs significantly.
func (r *Result) Same() bool {
	for _, row := range r.Rows {
		if row.IsBeyondNoise {
			return false
		}
	}
	return true
}

// Run runs each side once per pair, alternately, with seeds counted up from seed. The side that goes first changes with every
// pair. progress is called after each run. Run returns an error if a run fails or is void.
func Run(ctx context.Context, a, b Side, seed uint64, pairs int, progress func(pair int, side string, s *measure.Summary)) (*Result, error) {
	r := &Result{A: a.Name(), B: b.Name(), Plays: pairs}
	sides := [2]Side{a, b}
	var summaries [2][]*measure.Summary // by side
	for pair := range pairs {
		pairSeed := seed + uint64(pair)
		r.Seeds = append(r.Seeds, pairSeed)
		for turn := range sides {
			sideIndex := (pair + turn) % len(sides)
			side := sides[sideIndex]
			summary, err := side.Run(ctx, pairSeed)
			if err != nil {
				return nil, fmt.Errorf("running side %s with seed %d: %w", side.Name(), pairSeed, err)
			}
			progress(pair, side.Name(), summary)
			if summary.Lab != nil && summary.Lab.VoidReason != "" {
				return nil, fmt.Errorf("running side %s with seed %d: run is void: %s", side.Name(), pairSeed, summary.Lab.VoidReason)
			}
			summaries[sideIndex] = append(summaries[sideIndex], summary)
		}
	}
	for _, m := range Measures {
		r.Rows = append(r.Rows, compareMeasure(m, summaries[0], summaries[1]))
	}
	return r, nil
}

// compareMeasure compares one measure over the runs of both sides, which are paired by index.
func compareMeasure(m Measure, as, bs []*measure.Summary) Row {
	row := Row{Measure: m.Name, Unit: m.Unit, LowestRatio: math.Inf(1), HighestRatio: math.Inf(-1)}
	var a, b, diffs []float64
	for i := range as {
		x := m.Value(as[i])
		y := m.Value(bs[i])
		a = append(a, x)
		b = append(b, y)
		diffs = append(diffs, y-x)
		if x != 0 {
			row.LowestRatio = min(row.LowestRatio, y/x)
			row.HighestRatio = max(row.HighestRatio, y/x)
		}
	}
	row.MeanA = stat.Mean(a, nil)
	row.MeanB = stat.Mean(b, nil)
	if row.MeanA != 0 {
		row.RatioOfMeans = row.MeanB / row.MeanA
	}
	if math.IsInf(row.LowestRatio, 1) { // A was 0 in every run
		row.LowestRatio = 0
		row.HighestRatio = 0
	}
	row.MeanDiff, row.DiffHalfInterval = confidenceInterval(diffs, familyError/float64(len(Measures)))
	row.IsBeyondNoise = math.Abs(row.MeanDiff) > row.DiffHalfInterval
	row.IsBetter = row.IsBeyondNoise && (row.MeanDiff > 0) == m.MoreIsBetter
	return row
}

// confidenceInterval returns the mean of a sample and half the width of Student's confidence interval around it, which
// misses the true mean with probability alpha. half is infinite for a sample of one.
func confidenceInterval(xs []float64, alpha float64) (mean, half float64) {
	if len(xs) < 2 {
		return stat.Mean(xs, nil), math.Inf(1)
	}
	mean, dev := stat.MeanStdDev(xs, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(xs) - 1)}.Quantile(1 - alpha/2)
	return mean, t * dev / math.Sqrt(float64(len(xs)))
}
