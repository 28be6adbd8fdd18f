package measure

import (
	"math"
	"slices"

	"sprucehill/internal/lab/scenario"
)

const (
	// recoveredMarginRatio is how far below the level before a fault a window may be to count as recovered, as a part of
	// that level.
	recoveredMarginRatio = 0.05
	// levelWindows is how many windows before a fault make the level. The last one before it is left out: requests that
	// arrived in it were still in flight when the fault began.
	levelWindows = 5
	// afterEndSeconds is the length of the stretch after a fault's end that ServedRatioNext5s covers.
	afterEndSeconds = 5
	// dipWindows is how many windows make a second dip. A single one may be chance.
	dipWindows = 3
)

// Recovery is how service fell and recovered around one fault. Ratios are of served weight, as in Part.ServedRatio.
type Recovery struct {
	Fault        string
	StartSeconds float64 `json:"At"`
	EndSeconds   float64 `json:"End"` // -1: the fault never ended
	// ServedRatioBefore is the level before the fault.
	ServedRatioBefore float64 `json:"Before"`
	// LowestServedRatio is that of the worst window from the fault's start to the recovery.
	LowestServedRatio float64 `json:"Least"`
	// RecoverySeconds is the time from the fault's end to the first window within 5% of ServedRatioBefore; nil: there was none.
	RecoverySeconds *float64 `json:"Back"`
	// ServedRatioFirst10s is that of the requests which arrived in the 10 s after the fault's start.
	ServedRatioFirst10s float64 `json:"Ten"`
	// ServedRatioNext5s is that of the requests which arrived in the 5 s after the fault's end; 1: there were none.
	ServedRatioNext5s float64 `json:"Five"`
	// SecondDipRatio is the level of the worst 3 windows between the recovery and the next fault, over ServedRatioBefore; 1: there
	// were none.
	SecondDipRatio float64 `json:"Again"`
}

// recoveries computes the recovery from each fault.
func recoveries(d *scenario.Scenario, windows []Window) []Recovery {
	var all []Recovery
	for _, fault := range d.Faults {
		all = append(all, recoveryOf(d, fault, windows))
	}
	return all
}

// recoveryOf computes the recovery from one fault of the day.
func recoveryOf(d *scenario.Scenario, fault scenario.Fault, windows []Window) Recovery {
	width := d.Window.D().Seconds()
	end := faultEnd(fault)
	r := Recovery{
		Fault:             string(fault.Kind),
		StartSeconds:      fault.At.D().Seconds(),
		EndSeconds:        -1,
		LowestServedRatio: 1,
		ServedRatioNext5s: 1,
		SecondDipRatio:    1,
	}
	first := int(r.StartSeconds / width)
	r.ServedRatioBefore = servedRatioOf(windows[max(0, first-1-levelWindows):max(0, first-1)])
	r.ServedRatioFirst10s = servedRatioOf(windows[first:min(len(windows), first+int(worstStretchLength.Seconds()/width))])
	if !math.IsInf(end, 1) {
		r.EndSeconds = end
		if from := int(math.Ceil(end / width)); from < len(windows) {
			r.ServedRatioNext5s = servedRatioOf(windows[from:min(len(windows), from+int(afterEndSeconds/width))])
		}
	}
	for i, w := range windows[first:] {
		if w.ServedRatio < 0 {
			continue
		}
		if w.StartSeconds >= end && w.ServedRatio >= r.ServedRatioBefore*(1-recoveredMarginRatio) {
			seconds := w.StartSeconds - end
			r.RecoverySeconds = &seconds
			r.SecondDipRatio = secondDip(d, windows[first+i:], r.ServedRatioBefore)
			break
		}
		r.LowestServedRatio = min(r.LowestServedRatio, w.ServedRatio)
	}
	return r
}

// faultEnd is when a fault ends, in seconds. It is positive infinity if the fault lasts. A reset or a restart ends at
// once.
func faultEnd(fault scenario.Fault) float64 {
	at := fault.At.D().Seconds()
	switch {
	case fault.For > 0:
		return at + fault.For.D().Seconds()
	case fault.Kind == scenario.LinkReset || fault.Kind == scenario.BalancerRestart:
		return at
	}
	return math.Inf(1)
}

// secondDip is the level of the worst dipWindows up to the next fault, over the level before.
func secondDip(d *scenario.Scenario, windows []Window, before float64) float64 {
	lowest := 1.0
	for i := 0; i+dipWindows <= len(windows); i++ {
		last := windows[i+dipWindows-1]
		if faultBetween(d, windows[0].StartSeconds, last.StartSeconds+d.Window.D().Seconds()) {
			break
		}
		if before > 0 {
			lowest = min(lowest, servedRatioOf(windows[i:i+dipWindows])/before)
		}
	}
	return lowest
}

// faultBetween reports whether a fault begins between two times, in seconds, both included.
func faultBetween(d *scenario.Scenario, from, to float64) bool {
	return slices.ContainsFunc(d.Faults, func(f scenario.Fault) bool {
		at := f.At.D().Seconds()
		return at >= from && at <= to
	})
}
