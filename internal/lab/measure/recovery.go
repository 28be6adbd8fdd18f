package measure

import (
	"math"
	"slices"

	"sprucehill/internal/lab/day"
)

const (
	// recoveredWithin is how close to the level before a fault a window has to come for service to have recovered.
	recoveredWithin = 0.05
	// levelWindows is how many windows before a fault make the level. The last one before it is left out: what came in
	// it was still in flight when the fault began.
	levelWindows = 5
	// afterEnd is how long after a fault's end, in seconds, service is measured apart.
	afterEnd = 5
	// dipWindows is how many windows make a second dip: one alone may be chance.
	dipWindows = 3
)

// Recovery is how service took one fault.
type Recovery struct {
	Fault  string
	At     float64  // seconds
	End    float64  // seconds; -1: it never ended
	Before float64  // level of served worth before
	Least  float64  // of any window from its begin to its recovery
	Back   *float64 // seconds from its end to the begin of the first window back within 5%; absent: never
	Ten    float64  // worth served of what came in the 10 s from its begin
	Five   float64  // worth served of what came in the 5 s from its end
	Again  float64  // level of the worst 3 s after it was back and before the next fault, over Before; 1: none lay there
}

// recoveries tells of each fault how far service fell, and when it had recovered.
func recoveries(d *day.Day, windows []Window) []Recovery {
	var all []Recovery
	for _, fault := range d.Faults {
		all = append(all, recoveryOf(d, fault, windows))
	}
	return all
}

func recoveryOf(d *day.Day, fault day.Fault, windows []Window) Recovery {
	width := d.Window.D().Seconds()
	end := faultEnd(fault)
	r := Recovery{Fault: string(fault.Kind), At: fault.At.D().Seconds(), End: -1, Least: 1, Five: 1, Again: 1}
	first := int(r.At / width)
	r.Before = servedIn(windows[max(0, first-1-levelWindows):max(0, first-1)])
	r.Ten = servedIn(windows[first:min(len(windows), first+int(stretch.Seconds()/width))])
	if !math.IsInf(end, 1) {
		r.End = end
		if from := int(math.Ceil(end / width)); from < len(windows) {
			r.Five = servedIn(windows[from:min(len(windows), from+int(afterEnd/width))])
		}
	}
	for i, w := range windows[first:] {
		if w.Share < 0 {
			continue
		}
		if w.At >= end && w.Share >= r.Before*(1-recoveredWithin) {
			back := w.At - end
			r.Back = &back
			r.Again = secondDip(d, windows[first+i:], r.Before)
			break
		}
		r.Least = min(r.Least, w.Share)
	}
	return r
}

// faultEnd is when a fault ends, in seconds; positive infinity: it lasts. A reset or a restart is over at once.
func faultEnd(fault day.Fault) float64 {
	at := fault.At.D().Seconds()
	switch {
	case fault.For > 0:
		return at + fault.For.D().Seconds()
	case fault.Kind == day.LinkReset || fault.Kind == day.BalancerRestart:
		return at
	}
	return math.Inf(1)
}

// secondDip is the level of the worst few windows up to the next fault, over the level before.
func secondDip(d *day.Day, windows []Window, before float64) float64 {
	lowest := 1.0
	for i := 0; i+dipWindows <= len(windows); i++ {
		last := windows[i+dipWindows-1]
		if faultBetween(d, windows[0].At, last.At+d.Window.D().Seconds()) {
			break
		}
		if before > 0 {
			lowest = min(lowest, servedIn(windows[i:i+dipWindows])/before)
		}
	}
	return lowest
}

// faultBetween reports whether a fault begins between two times, in seconds, both included.
func faultBetween(d *day.Day, from, to float64) bool {
	return slices.ContainsFunc(d.Faults, func(f day.Fault) bool {
		at := f.At.D().Seconds()
		return at >= from && at <= to
	})
}
