package measure

import (
	"math"
	"slices"

	"sprucehill/internal/lab/scenario"
)

const (
	// recoveredMarginRatio is how far below the level before the fault a recovered window may be, as a fraction of that level.
	recoveredMarginRatio = 0.05
	// levelWindows is how many windows before a fault its level is computed from. The last window before the fault is left
	// out, because requests that arrived in it were still in flight when the fault began.
	levelWindows = 5
	// afterFaultSeconds is the time after a fault's end that ServedRatioNext5s covers.
	afterFaultSeconds = 5
	// dipWindows is the length of a second dip in windows. A single bad window may be chance.
	dipWindows = 3
)

// Recovery is how service degraded and recovered around one fault. Ratios are of served weight, as in Part.ServedRatio.
type Recovery struct {
	Fault        string
	StartSeconds float64 `json:"At"`
	EndSeconds   float64 `json:"End"` // -1 if the fault never ended
	// ServedRatioBefore is the level before the fault.
	ServedRatioBefore float64 `json:"Before"`
	// LowestServedRatio is the ratio of the worst window from the fault's start to the recovery.
	LowestServedRatio float64 `json:"Least"`
	// RecoverySeconds is the time from the fault's end to the first window within 5% of ServedRatioBefore, or nil if service
	// did not recover.
	RecoverySeconds *float64 `json:"Back"`
	// ServedRatioFirst10s is the ratio of the requests that arrived in the 10 s after the fault's start.
	ServedRatioFirst10s float64 `json:"Ten"`
	// ServedRatioNext5s is the ratio of the requests that arrived in the 5 s after the fault's end, or 1 without requests.
	ServedRatioNext5s float64 `json:"Five"`
	// SecondDipRatio is the level of the worst 3 successive windows between the recovery and the next fault, over
	// ServedRatioBefore, or 1 if there are not so many windows.
	SecondDipRatio float64 `json:"Again"`
}

// recoveries computes the recovery from each fault.
func recoveries(sc *scenario.Scenario, windows []Window) []Recovery {
	var all []Recovery
	for _, fault := range sc.Faults {
		all = append(all, newRecovery(sc, fault, windows))
	}
	return all
}

// newRecovery computes the recovery from one fault.
func newRecovery(sc *scenario.Scenario, fault scenario.Fault, windows []Window) Recovery {
	width := sc.Window.D().Seconds()
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
			r.ServedRatioNext5s = servedRatioOf(windows[from:min(len(windows), from+int(afterFaultSeconds/width))])
		}
	}
	for i, w := range windows[first:] {
		if w.ServedRatio < 0 {
			continue
		}
		if w.StartSeconds >= end && w.ServedRatio >= r.ServedRatioBefore*(1-recoveredMarginRatio) {
			seconds := w.StartSeconds - end
			r.RecoverySeconds = &seconds
			r.SecondDipRatio = secondDip(sc, windows[first+i:], r.ServedRatioBefore)
			break
		}
		r.LowestServedRatio = min(r.LowestServedRatio, w.ServedRatio)
	}
	return r
}

// faultEnd returns when a fault ends, in seconds, or positive infinity if it lasts until the end of the run. A reset or a
// restart ends at once.
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

// secondDip returns the level of the worst dipWindows successive windows up to the next fault, over the level before.
func secondDip(sc *scenario.Scenario, windows []Window, before float64) float64 {
	lowest := 1.0
	for i := 0; i+dipWindows <= len(windows); i++ {
		last := windows[i+dipWindows-1]
		if faultBetween(sc, windows[0].StartSeconds, last.StartSeconds+sc.Window.D().Seconds()) {
			break
		}
		if before > 0 {
			lowest = min(lowest, servedRatioOf(windows[i:i+dipWindows])/before)
		}
	}
	return lowest
}

// faultBetween reports whether a fault begins between two times, in seconds, both included.
func faultBetween(sc *scenario.Scenario, from, to float64) bool {
	return slices.ContainsFunc(sc.Faults, func(f scenario.Fault) bool {
		at := f.At.D().Seconds()
		return at >= from && at <= to
	})
}
