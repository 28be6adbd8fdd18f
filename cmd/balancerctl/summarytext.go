package main

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"sprucehill/internal/lab"
	"sprucehill/internal/lab/measure"
)

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

// partRows has a row on the first stretch and one on the rest of the day.
func partRows(s *measure.Summary) [][]any {
	return [][]any{
		{"", "requests", "worth served", "in time", "late", "refused", "failed", "not connected", "p50", "p99", "p99.9 ms"},
		partRow(fmt.Sprintf("first %.0f s", s.SettleSeconds), s.Settling),
		partRow("after that", s.Main),
	}
}

// shownOutcomes are the outcomes in the order of the table. Requests whose client left are in no column.
var shownOutcomes = []measure.Outcome{
	measure.ServedInTime, measure.ServedLate, measure.Rejected, measure.Failed, measure.NotConnected,
}

// partRow has the cells of one part of the day.
func partRow(name string, p measure.Part) []any {
	row := []any{name, p.Requests, percent(p.ServedRatio)}
	for _, outcome := range shownOutcomes {
		row = append(row, percent(p.ShareByOutcome[outcome.String()]))
	}
	for _, milliseconds := range []float64{p.Latency.P50, p.Latency.P99, p.Latency.P999} {
		row = append(row, fmt.Sprintf("%.1f", milliseconds))
	}
	return row
}

// showShares writes the part of the priority weight that was served, of each class or tenant.
func showShares(w io.Writer, what string, shares map[string]float64) {
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		fmt.Fprintf(w, "; %s %s %s", what, name, percent(shares[name]))
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

// showStarts writes how soon balancers that were started were ready and served; nil: none was started.
func showStarts(w io.Writer, s *measure.Starts) {
	if s == nil {
		return
	}
	fmt.Fprintf(w, "%d balancers started: ready after %.3f s at p50, %.3f s at p99; first answer served after %.3f s, %.3f s; %d served nobody\n",
		s.Count, s.ReadyP50Seconds, s.ReadyP99Seconds, s.ServedP50Seconds, s.ServedP99Seconds, s.NeverServed)
}

// showRecoveries writes a table of how the fleet recovered from each fault.
func showRecoveries(w io.Writer, recoveries []measure.Recovery) {
	if len(recoveries) == 0 {
		return
	}
	rows := [][]any{{"", "fault", "from", "to", "served before", "least", "back after its end"}}
	for _, r := range recoveries {
		rows = append(rows, recoveryRow(r))
	}
	fmt.Fprintln(w)
	writeTable(w, rows...)
	fmt.Fprintln(w)
}

// recoveryRow has the cells of one fault.
func recoveryRow(r measure.Recovery) []any {
	end := "the end"
	if r.EndSeconds >= 0 {
		end = formatSeconds(r.EndSeconds)
	}
	back := "not within the day"
	if r.RecoverySeconds != nil {
		back = formatSeconds(*r.RecoverySeconds)
	}
	return []any{"", r.Fault, formatSeconds(r.StartSeconds), end, percent(r.ServedRatioBefore), percent(r.LowestServedRatio), back}
}

// formatSeconds formats a number of seconds with its unit.
func formatSeconds(seconds float64) string { return fmt.Sprintf("%.1f s", seconds) }

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
