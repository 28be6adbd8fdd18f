// Package compare plays the same days and seeds on two sides in alternation, and reports which differences are beyond
// noise.
//
// Each play gives one pair of figures, so that the effect of a seed on both sides cancels. A difference is beyond noise if
// Student's confidence interval of the mean of the pairs' differences does not contain zero. The confidence level is for
// all measures together (Bonferroni correction). With ten measures, each alone has one chance in 200 of being called
// different by accident.
package compare

import (
	"context"
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"sprucehill/internal/lab/measure"
)

// familyError is the chance that any measure at all is called different though none is.
const familyError = 0.05

// Side plays a day, drawn by a seed.
type Side interface {
	Name() string
	Play(ctx context.Context, seed uint64) (*measure.Summary, error)
}

// Measure is one figure of a day.
type Measure struct {
	Name         string
	Unit         string
	Value        func(*measure.Summary) float64
	MoreIsBetter bool
}

// Measures is what sides are compared by.
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
	{"recovery", "s", recovery, false},
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

// fullestZone is the highest utilization of a zone over the fleet's. It is 0 if it is not known.
func fullestZone(s *measure.Summary) float64 {
	if s.Zones == nil {
		return 0
	}
	return s.Zones.PeakUtilizationRatio
}

// zoneSwing is how far a zone's share of the attempts moves. It is 0 if it is not known.
func zoneSwing(s *measure.Summary) float64 {
	if s.Zones == nil {
		return 0
	}
	return s.Zones.AttemptShareSwing
}

// rulesBroken is how many violations there were.
func rulesBroken(s *measure.Summary) float64 {
	violations := 0
	for _, n := range s.Broken {
		violations += n
	}
	return float64(violations)
}

// worstOf is the lowest value of a ratio over all faults. It is 1 if there are none.
func worstOf(s *measure.Summary, of func(measure.Recovery) float64) float64 {
	worst := 1.0
	for _, r := range s.Recoveries {
		worst = min(worst, of(r))
	}
	return worst
}

// recovery is the sum of the recovery times of all faults that end, in seconds. A fault without recovery counts the rest
// of the day.
func recovery(s *measure.Summary) float64 {
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

// Row is one measure on both sides. Ratios are of side B to side A.
type Row struct {
	Measure          string
	Unit             string
	MeanA            float64 `json:"A"`
	MeanB            float64 `json:"B"`
	RatioOfMeans     float64 `json:"Ratio"` // 0: MeanA is 0
	LowestRatio      float64 `json:"Low"`   // of one play
	HighestRatio     float64 `json:"High"`  // of one play
	MeanDiff         float64 `json:"Diff"`  // of B less A
	DiffHalfInterval float64 `json:"Half"`  // half of the confidence interval of MeanDiff
	IsBeyondNoise    bool    `json:"Beyond"`
	IsBetter         bool    `json:"Better"` // IsBeyondNoise, and B is the better side
}

// Result is the comparison of two sides.
type Result struct {
	A, B  string
	Plays int
	Seeds []uint64
	Rows  []Row
}

// Same reports whether no measure differs beyond noise.
func (r *Result) Same() bool {
	for _, row := range r.Rows {
		if row.IsBeyondNoise {
			return false
		}
	}
	return true
}

// Run plays both sides in alternation. Which side goes first changes with every play. progress is called after each play.
// Run returns an error if a play fails or is void.
func Run(ctx context.Context, a, b Side, seed uint64, plays int, progress func(play int, side string, s *measure.Summary)) (*Result, error) {
	r := &Result{A: a.Name(), B: b.Name(), Plays: plays}
	sides := [2]Side{a, b}
	var summaries [2][]*measure.Summary // by side
	for play := range plays {
		playSeed := seed + uint64(play)
		r.Seeds = append(r.Seeds, playSeed)
		for turn := range sides {
			which := (play + turn) % len(sides)
			side := sides[which]
			summary, err := side.Play(ctx, playSeed)
			if err != nil {
				return nil, fmt.Errorf("%s, seed %d: %w", side.Name(), playSeed, err)
			}
			progress(play, side.Name(), summary)
			if summary.Lab != nil && summary.Lab.VoidReason != "" {
				return nil, fmt.Errorf("%s, seed %d: void: %s", side.Name(), playSeed, summary.Lab.VoidReason)
			}
			summaries[which] = append(summaries[which], summary)
		}
	}
	for _, m := range Measures {
		r.Rows = append(r.Rows, compareMeasure(m, summaries[0], summaries[1]))
	}
	return r, nil
}

// compareMeasure compares one measure of the plays of both sides.
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
	if math.IsInf(row.LowestRatio, 1) { // A had 0 in every play
		row.LowestRatio = 0
		row.HighestRatio = 0
	}
	row.MeanDiff, row.DiffHalfInterval = interval(diffs, familyError/float64(len(Measures)))
	row.IsBeyondNoise = math.Abs(row.MeanDiff) > row.DiffHalfInterval
	row.IsBetter = row.IsBeyondNoise && (row.MeanDiff > 0) == m.MoreIsBetter
	return row
}

// interval is the mean of some figures and half of Student's confidence interval about it. The interval does not contain the
// true mean with a probability of alpha. It is infinite for one figure.
func interval(xs []float64, alpha float64) (mean, half float64) {
	if len(xs) < 2 {
		return stat.Mean(xs, nil), math.Inf(1)
	}
	mean, dev := stat.MeanStdDev(xs, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(xs) - 1)}.Quantile(1 - alpha/2)
	return mean, t * dev / math.Sqrt(float64(len(xs)))
}
