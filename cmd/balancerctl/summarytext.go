package main

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"sprucehill/internal/lab"
	"sprucehill/internal/lab/measure"
)

// showSummary writes the results of a run.
func showSummary(w io.Writer, r *lab.Result) {
	s := r.Summary
	requests := s.Settling.Requests + s.Main.Requests
	fmt.Fprintf(w, "%s, %s engine, seed %d: %d requests in %.0f s\n\n", s.Day, s.Engine, s.Seed, requests, s.LengthSeconds)
	writeTable(w, intervalRows(s)...)
	fmt.Fprintf(w, "\nscore %.3f: worst 10 s %s", s.Score, formatPercent(s.WorstStretchRatio))
	showServedRatios(w, "class", s.ServedRatioByClass)
	showServedRatios(w, "tenant", s.ServedRatioByTenant)
	fmt.Fprintf(w, "\n%.3f attempts a request; %s of them cross a zone, %s a region\n",
		s.AttemptsPerRequest, formatPercent(s.CrossZoneRatio), formatPercent(s.CrossRegionRatio))
	showZones(w, s.Zones)
	showStarts(w, s.Starts)
	showRecoveries(w, s.Recoveries)
	showLabLoad(w, s.Lab)
	showViolations(w, r)
}

// intervalRows returns a table with a row for the settling time and one for the rest of the run.
func intervalRows(s *measure.Summary) [][]any {
	return [][]any{
		{"", "requests", "worth served", "in time", "late", "refused", "failed", "not connected", "p50", "p99", "p99.9 ms"},
		intervalRow(fmt.Sprintf("first %.0f s", s.SettleSeconds), s.Settling),
		intervalRow("rest", s.Main),
	}
}

// shownOutcomes are the outcomes in the order of the columns. Requests whose client disconnected have no column.
var shownOutcomes = []measure.Outcome{
	measure.ServedInTime, measure.ServedLate, measure.Rejected, measure.Failed, measure.NotConnected,
}

// intervalRow returns the row of one part of the run.
func intervalRow(name string, p measure.Part) []any {
	row := []any{name, p.Requests, formatPercent(p.ServedRatio)}
	for _, outcome := range shownOutcomes {
		row = append(row, formatPercent(p.ShareByOutcome[outcome.String()]))
	}
	for _, milliseconds := range []float64{p.Latency.P50, p.Latency.P99, p.Latency.P999} {
		row = append(row, fmt.Sprintf("%.1f", milliseconds))
	}
	return row
}

// showServedRatios writes the served ratio, weighted by priority, of each class or tenant.
func showServedRatios(w io.Writer, dimension string, ratios map[string]float64) {
	for _, name := range slices.Sorted(maps.Keys(ratios)) {
		fmt.Fprintf(w, "; %s %s %s", dimension, name, formatPercent(ratios[name]))
	}
}

// showZones writes how evenly the zones were loaded, and how fast balancers stopped sending to a failed zone. z is nil if that
// was not measured.
func showZones(w io.Writer, z *measure.Zones) {
	if z == nil || len(z.All) < 2 {
		return
	}
	fmt.Fprintf(w, "zones: highest utilization of a zone %.2f times the fleet's; traffic shares vary by up to %s; %s of upstreams in zones that balancers wrongly took for unhealthy\n",
		z.PeakUtilizationRatio, formatPercent(z.AttemptShareSwing), formatPercent(z.WronglyDoubtedRatio))
	if l := z.LeaveTimes; l != nil {
		fmt.Fprintf(w, "failed zones: balancers stopped sending to them after %.2f s at p50, %.2f s at p99; %d did so, %d did not before the fault's end\n",
			l.P50Seconds, l.P99Seconds, l.Count, l.NeverLeft)
	}
}

// showStarts writes how soon balancers that were started during the run became ready and served a client. s is nil if none was
// started.
func showStarts(w io.Writer, s *measure.Starts) {
	if s == nil {
		return
	}
	fmt.Fprintf(w, "%d balancers started: ready after %.3f s at p50, %.3f s at p99; first response served after %.3f s, %.3f s; %d served no client\n",
		s.Count, s.ReadyP50Seconds, s.ReadyP99Seconds, s.ServedP50Seconds, s.ServedP99Seconds, s.NeverServed)
}

// showRecoveries writes a table with the recovery from each fault.
func showRecoveries(w io.Writer, recoveries []measure.Recovery) {
	if len(recoveries) == 0 {
		return
	}
	rows := [][]any{{"", "fault", "from", "to", "served before", "lowest", "recovery after its end"}}
	for _, r := range recoveries {
		rows = append(rows, recoveryRow(r))
	}
	fmt.Fprintln(w)
	writeTable(w, rows...)
	fmt.Fprintln(w)
}

// recoveryRow returns the row of one fault.
func recoveryRow(r measure.Recovery) []any {
	end := "the end"
	if r.EndSeconds >= 0 {
		end = formatSeconds(r.EndSeconds)
	}
	recovery := "not within the run"
	if r.RecoverySeconds != nil {
		recovery = formatSeconds(*r.RecoverySeconds)
	}
	return []any{"", r.Fault, formatSeconds(r.StartSeconds), end, formatPercent(r.ServedRatioBefore), formatPercent(r.LowestServedRatio), recovery}
}

// formatSeconds formats a number of seconds with its unit.
func formatSeconds(seconds float64) string { return fmt.Sprintf("%.1f s", seconds) }

// showLabLoad writes how late the lab sent requests and how much CPU a live run used. l is nil if the run was modelled.
func showLabLoad(w io.Writer, l *measure.Lab) {
	if l == nil {
		return
	}
	fmt.Fprintf(w, "the lab: arrivals late by %.2f ms at p50, %.2f at p99, %.1f at most; CPU cores used: %.2f by the lab, %.2f by all balancers; %d requests sent again because their connection had just been closed\n",
		l.LateP50Milliseconds, l.LateP99Milliseconds, l.LateMaxMilliseconds, l.LabCores, l.BalancerCores, l.RetriesOnClosed)
	if l.VoidReason != "" {
		fmt.Fprintf(w, "VOID: %s\n", l.VoidReason)
	}
}
