package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"sprucehill/internal/lab"
	"sprucehill/internal/lab/check"
	"sprucehill/internal/lab/day"
	"sprucehill/internal/lab/measure"
)

const (
	// maxShownTraceLines bounds how many lines of a request's history are printed; the report has all of it.
	maxShownTraceLines = 12
	// maxShownViolations bounds how many violations are printed in full.
	maxShownViolations = 5
)

// writeTable writes rows in columns.
func writeTable(w io.Writer, rows ...[]any) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		texts := make([]string, len(row))
		for i, x := range row {
			texts[i] = fmt.Sprint(x)
		}
		fmt.Fprintln(t, strings.Join(texts, "\t"))
	}
	t.Flush() // w is standard output or a buffer
}

// showDay writes a day as tables.
func showDay(w io.Writer, d *day.Day) {
	f := d.Fleet()
	fmt.Fprintf(w, "%s, seed %d, %v", d.Name, d.Seed, d.Length.D())
	if d.About != "" {
		fmt.Fprintf(w, ": %s", d.About)
	}
	fmt.Fprint(w, "\n\n")
	writeTable(w, zoneRows(d, f)...)
	fmt.Fprintln(w)
	writeTable(w, modelRows(d)...)
	fmt.Fprintln(w)
	writeTable(w, classRows(d)...)
	n := d.Network
	fmt.Fprintf(w, "\none way: %v in a zone, %v between zones, %v between regions; %s lost\n",
		n.SameZone.D(), n.CrossZone.D(), n.CrossRegion.D(), percent(n.Loss))
	if len(d.Faults) == 0 {
		fmt.Fprintln(w, "\nno faults")
		return
	}
	fmt.Fprintln(w)
	writeTable(w, faultRows(d, f)...)
}

// zoneRows has a row on each zone.
func zoneRows(d *day.Day, f *day.Fleet) [][]any {
	rows := [][]any{{"region", "zone", "balancers", "load", "upstreams"}}
	for i, z := range f.Zones {
		counts := map[string]int{} // by model
		for _, u := range f.Upstreams {
			if u.Zone == i {
				counts[u.Model]++
			}
		}
		var parts []string
		for _, model := range slices.Sorted(maps.Keys(counts)) {
			parts = append(parts, fmt.Sprintf("%d %s", counts[model], model))
		}
		load := fmt.Sprintf("%.1f/s", z.Share*d.Load.Rate)
		rows = append(rows, []any{f.Regions[z.Region], z.Name, len(z.Balancers), load, strings.Join(parts, ", ")})
	}
	return rows
}

// modelRows has a row on each model of upstream.
func modelRows(d *day.Day) [][]any {
	rows := [][]any{{"model", "cores", "speed", "slots", "queue", "cold from", "warm after", "pauses", "errors", "reports"}}
	for _, name := range slices.Sorted(maps.Keys(d.Models)) {
		m := d.Models[name]
		pauses := "none"
		if m.Pause > 0 {
			pauses = fmt.Sprintf("%v every %v", m.Pause.D(), m.PauseEvery.D())
		}
		reports := fmt.Sprintf("every %v, %v late", m.ReportEvery.D(), m.ReportDelay.D())
		rows = append(rows, []any{name, m.Cores, m.Speed, m.Slots, m.Queue, percent(m.ColdFrom), m.Warm.D(), pauses, percent(m.ErrorRate), reports})
	}
	return rows
}

// classRows has a row on each class of request.
func classRows(d *day.Day) [][]any {
	rows := [][]any{{"class", "share", "repeat", "aim", "deadline", "worth", "work", "wait"}}
	for _, c := range d.Classes {
		repeat := c.Repeat
		if repeat == "keyed" {
			repeat += " in its " + c.Group + " for " + c.Memory.D().String()
		}
		rows = append(rows, []any{c.Name, c.Share, repeat, c.Aim.D(), c.Deadline.D(), c.Worth, spread(c.Work), spread(c.Wait)})
	}
	return rows
}

// faultRows has a row on each beginning and end of a fault, in order of time.
func faultRows(d *day.Day, f *day.Fleet) [][]any {
	rows := [][]any{{"at", "", "fault", "on", "what it does"}}
	changes, hits := d.Timetable()
	for _, c := range changes {
		kind := d.Faults[c.Fault].Kind
		what := "ends"
		about := ""
		if c.Transition == day.Begin {
			what = "begins"
			about = day.DescribeFault(kind)
		}
		rows = append(rows, []any{c.At, what, kind, d.TargetNames(f, c.Fault, hits[c.Fault]), about})
	}
	return rows
}

// spread formats the bounds of a range of durations.
func spread(r day.Range) string { return fmt.Sprintf("%v to %v", r[0].D(), r[1].D()) }

// percent formats a ratio as a percentage.
func percent(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }

// showSummary writes the results of a day.
func showSummary(w io.Writer, r *lab.Result) {
	s := r.Summary
	requests := s.Settling.Requests + s.Main.Requests
	fmt.Fprintf(w, "%s, %s engine, seed %d: %d requests in %.0f s\n\n", s.Day, s.Engine, s.Seed, requests, s.LengthSeconds)
	writeTable(w, partRows(s)...)
	fmt.Fprintf(w, "\nscore %.3f: worst 10 s %s", s.Score, percent(s.WorstStretchRatio))
	showShares(w, "class", s.ServedRatioByClass)
	showShares(w, "tenant", s.ServedRatioByTenant)
	fmt.Fprintf(w, "\n%.3f attempts a request; %s of them cross a zone, %s a region\n",
		s.AttemptsPerRequest, percent(s.CrossZoneRatio), percent(s.CrossRegionRatio))
	showZones(w, s.Zones)
	showStarts(w, s.Starts)
	showRecoveries(w, s.Recoveries)
	showLab(w, s.Lab)
	showViolations(w, r)
}

// showStarts writes how soon balancers that were started were ready and served; nil: none was started.
func showStarts(w io.Writer, s *measure.Starts) {
	if s == nil {
		return
	}
	fmt.Fprintf(w, "%d balancers started: ready after %.3f s at p50, %.3f s at p99; first answer served after %.3f s, %.3f s; %d served nobody\n",
		s.Count, s.ReadyP50Seconds, s.ReadyP99Seconds, s.ServedP50Seconds, s.ServedP99Seconds, s.NeverServed)
}

// partRows has a row on the time of settling and one on the rest of the day.
func partRows(s *measure.Summary) [][]any {
	rows := [][]any{{"", "requests", "worth served", "in time", "late", "refused", "failed", "not connected", "p50", "p99", "p99.9 ms"}}
	for _, p := range []struct {
		name string
		measure.Part
	}{{fmt.Sprintf("first %.0f s", s.SettleSeconds), s.Settling}, {"after that", s.Main}} {
		row := []any{p.name, p.Requests, percent(p.ServedRatio)}
		for _, e := range []measure.Outcome{measure.ServedInTime, measure.ServedLate, measure.Rejected, measure.Failed, measure.NotConnected} {
			row = append(row, percent(p.ShareByOutcome[e.String()]))
		}
		for _, ms := range []float64{p.Latency.P50, p.Latency.P99, p.Latency.P999} {
			row = append(row, fmt.Sprintf("%.1f", ms))
		}
		rows = append(rows, row)
	}
	return rows
}

// showShares writes the part of the priority weight that was served, of each class or tenant.
func showShares(w io.Writer, what string, shares map[string]float64) {
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		fmt.Fprintf(w, "; %s %s %s", what, name, percent(shares[name]))
	}
}

// showLab writes the load of the lab itself on a live day; nil: the day was modelled.
func showLab(w io.Writer, l *measure.Lab) {
	if l == nil {
		return
	}
	fmt.Fprintf(w, "the lab: arrivals late by %.2f ms at p50, %.2f at p99, %.1f at most; %.2f cores for it, %.2f for all balancers; %d requests met a closed connection and went again\n",
		l.LateP50Milliseconds, l.LateP99Milliseconds, l.LateMaxMilliseconds, l.LabCores, l.BalancerCores, l.RetriesOnClosed)
	if l.VoidReason != "" {
		fmt.Fprintf(w, "VOID: %s\n", l.VoidReason)
	}
}

// showZones writes how evenly zones were used, and how fast a failed zone was left; nil: it was not measured.
func showZones(w io.Writer, z *measure.Zones) {
	if z == nil || len(z.All) < 2 {
		return
	}
	fmt.Fprintf(w, "zones: the fullest has %.2f times the fleet's use; parts of the traffic swing by %s; %s of upstreams wrongly doubted\n",
		z.PeakUtilizationRatio, percent(z.AttemptShareSwing), percent(z.WronglyDoubtedRatio))
	if l := z.LeaveTimes; l != nil {
		fmt.Fprintf(w, "a zone that is lost was left after %.2f s at p50, %.2f s at p99, by %d balancers; %d did not before the fault's end\n",
			l.P50Seconds, l.P99Seconds, l.Count, l.NeverLeft)
	}
}

// showRecoveries writes a table of how the fleet recovered from each fault.
func showRecoveries(w io.Writer, all []measure.Recovery) {
	if len(all) == 0 {
		return
	}
	rows := [][]any{{"", "fault", "from", "to", "served before", "least", "back after its end"}}
	for _, r := range all {
		to := "the end"
		back := "not within the day"
		if r.EndSeconds >= 0 {
			to = fmt.Sprintf("%.1f s", r.EndSeconds)
		}
		if r.RecoverySeconds != nil {
			back = fmt.Sprintf("%.1f s", *r.RecoverySeconds)
		}
		rows = append(rows, []any{"", r.Fault, fmt.Sprintf("%.1f s", r.StartSeconds), to, percent(r.ServedRatioBefore), percent(r.LowestServedRatio), back})
	}
	fmt.Fprintln(w)
	writeTable(w, rows...)
	fmt.Fprintln(w)
}

// showViolations writes which rules were broken, and the histories of the first violations.
func showViolations(w io.Writer, r *lab.Result) {
	for _, rule := range check.Rules {
		if n := r.Summary.Broken[rule]; n > 0 {
			fmt.Fprintf(w, "RULE BROKEN: %s, %d times\n", rule, n)
		}
	}
	if len(r.Violations) == 0 {
		fmt.Fprintln(w, "no rule was broken")
		return
	}
	for _, v := range r.Violations[:min(maxShownViolations, len(r.Violations))] {
		fmt.Fprintf(w, "\n%s at %v: %s\n", v.Rule, v.At.Round(time.Millisecond), v.What)
		for _, e := range v.Trace[max(0, len(v.Trace)-maxShownTraceLines):] {
			fmt.Fprintln(w, "  ", e.Describe(r.Day, r.Fleet))
		}
	}
}
