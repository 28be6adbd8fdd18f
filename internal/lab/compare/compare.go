// Package compare plays the same days and seeds on two sides in alternation, and tells which differences are beyond
// noise.
//
// Each play gives one pair, so what a seed does to both sides falls out. A difference is beyond noise if Student's
// interval of the mean of the pairs' differences leaves zero out, at a level that holds for all measures together
// (Bonferroni): with ten measures each alone has one chance in 200 of being called different by accident.
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
	Name string
	Unit string
	Of   func(*measure.Summary) float64
	More bool // more of it is better
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

// fullestZone is the use of the fullest zone over the fleet's; 0: it is not known.
func fullestZone(s *measure.Summary) float64 {
	if s.Zones == nil {
		return 0
	}
	return s.Zones.PeakUtilizationRatio
}

// zoneSwing is how far a zone's share of the attempts moves; 0: it is not known.
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

// worstOf is the least of a figure over all faults; 1: there are none.
func worstOf(s *measure.Summary, of func(measure.Recovery) float64) float64 {
	worst := 1.0
	for _, r := range s.Recoveries {
		worst = min(worst, of(r))
	}
	return worst
}

// recovery is the time that service took to come back, over all faults that end; where it did not, the rest of the day.
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

// Row is one measure on both sides.
type Row struct {
	Measure   string
	Unit      string
	A, B      float64 // means
	Ratio     float64 // of B's mean to A's; 0: A's is 0
	Low, High float64 // least and greatest ratio of one play
	Diff      float64 // mean of B less A
	Half      float64 // half of the interval of Diff
	Beyond    bool    // noise
	Better    bool    // B, if Beyond
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
		if row.Beyond {
			return false
		}
	}
	return true
}

// Run plays both sides in alternation; which goes first changes with every play. progress is called after each play.
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
	row := Row{Measure: m.Name, Unit: m.Unit, Low: math.Inf(1), High: math.Inf(-1)}
	var a, b, diffs []float64
	for i := range as {
		x := m.Of(as[i])
		y := m.Of(bs[i])
		a = append(a, x)
		b = append(b, y)
		diffs = append(diffs, y-x)
		if x != 0 {
			row.Low = min(row.Low, y/x)
			row.High = max(row.High, y/x)
		}
	}
	row.A = stat.Mean(a, nil)
	row.B = stat.Mean(b, nil)
	if row.A != 0 {
		row.Ratio = row.B / row.A
	}
	if math.IsInf(row.Low, 1) { // A had 0 in every play
		row.Low = 0
		row.High = 0
	}
	row.Diff, row.Half = interval(diffs, familyError/float64(len(Measures)))
	row.Beyond = math.Abs(row.Diff) > row.Half
	row.Better = row.Beyond && (row.Diff > 0) == m.More
	return row
}

// interval is the mean of some figures and half of Student's interval about it, which holds the true mean but for a
// chance of alpha. One figure has no interval.
func interval(xs []float64, alpha float64) (mean, half float64) {
	if len(xs) < 2 {
		return stat.Mean(xs, nil), math.Inf(1)
	}
	mean, dev := stat.MeanStdDev(xs, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(xs) - 1)}.Quantile(1 - alpha/2)
	return mean, t * dev / math.Sqrt(float64(len(xs)))
}
