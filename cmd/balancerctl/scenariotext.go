package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"sprucehill/internal/lab/scenario"
)

// showScenario writes a scenario as tables.
func showScenario(w io.Writer, sc *scenario.Scenario) {
	fleet := sc.Fleet()
	fmt.Fprintf(w, "%s, seed %d, %v", sc.Name, sc.Seed, sc.Length.D())
	if sc.About != "" {
		fmt.Fprintf(w, ": %s", sc.About)
	}
	fmt.Fprint(w, "\n\n")
	writeTable(w, zoneRows(sc, fleet)...)
	fmt.Fprintln(w)
	writeTable(w, modelRows(sc)...)
	fmt.Fprintln(w)
	writeTable(w, classRows(sc)...)
	network := sc.Network
	fmt.Fprintf(w, "\none-way delay: %v within a zone, %v between zones, %v between regions; %s of messages lost\n",
		network.SameZone.D(), network.CrossZone.D(), network.CrossRegion.D(), formatPercent(network.Loss))
	if len(sc.Faults) == 0 {
		fmt.Fprintln(w, "\nno faults")
		return
	}
	fmt.Fprintln(w)
	writeTable(w, faultRows(sc, fleet)...)
}

// zoneRows returns a table with a row for each zone.
func zoneRows(sc *scenario.Scenario, fleet *scenario.Fleet) [][]any {
	rows := [][]any{{"region", "zone", "balancers", "load", "upstreams"}}
	for i, z := range fleet.Zones {
		load := fmt.Sprintf("%.1f/s", z.Share*sc.Load.Rate)
		rows = append(rows, []any{fleet.Regions[z.Region], z.Name, len(z.Balancers), load, upstreamCounts(fleet, i)})
	}
	return rows
}

// upstreamCounts formats how many upstreams of each model a zone has.
func upstreamCounts(fleet *scenario.Fleet, zone int) string {
	counts := map[string]int{} // by model
	for _, u := range fleet.Upstreams {
		if u.Zone == zone {
			counts[u.Model]++
		}
	}
	var parts []string
	for _, model := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[model], model))
	}
	return strings.Join(parts, ", ")
}

// modelRows returns a table with a row for each model of upstream.
func modelRows(sc *scenario.Scenario) [][]any {
	rows := [][]any{{"model", "cores", "speed", "slots", "queue", "cold from", "warm after", "pauses", "errors", "reports"}}
	for _, name := range slices.Sorted(maps.Keys(sc.Models)) {
		rows = append(rows, modelRow(name, sc.Models[name]))
	}
	return rows
}

// modelRow returns the row of one model.
func modelRow(name string, m scenario.Model) []any {
	pauses := "none"
	if m.Pause > 0 {
		pauses = fmt.Sprintf("%v every %v", m.Pause.D(), m.PauseEvery.D())
	}
	return []any{
		name,
		m.Cores,
		m.Speed,
		m.Slots,
		m.Queue,
		formatPercent(m.ColdFrom),
		m.Warm.D(),
		pauses,
		formatPercent(m.ErrorRate),
		fmt.Sprintf("every %v, delayed by %v", m.ReportEvery.D(), m.ReportDelay.D()),
	}
}

// classRows returns a table with a row for each class of request.
func classRows(sc *scenario.Scenario) [][]any {
	rows := [][]any{{"class", "share", "repeat", "aim", "deadline", "worth", "work", "wait"}}
	for _, c := range sc.Classes {
		repeat := c.Repeat
		if repeat == "keyed" {
			repeat += " per " + c.Group + " for " + c.Memory.D().String()
		}
		rows = append(rows, []any{c.Name, c.Share, repeat, c.Aim.D(), c.Deadline.D(), c.Worth, formatRange(c.Work), formatRange(c.Wait)})
	}
	return rows
}

// faultRows returns a table with a row for each start and end of a fault, in order of time.
func faultRows(sc *scenario.Scenario, fleet *scenario.Fleet) [][]any {
	rows := [][]any{{"at", "", "fault", "targets", "effect"}}
	changes, targets := sc.FaultSchedule()
	for _, c := range changes {
		kind := sc.Faults[c.Fault].Kind
		transition := "ends"
		description := ""
		if c.Transition == scenario.Begin {
			transition = "starts"
			description = scenario.DescribeFault(kind)
		}
		rows = append(rows, []any{c.At, transition, kind, sc.TargetNames(fleet, c.Fault, targets[c.Fault]), description})
	}
	return rows
}

// formatRange formats the bounds of a range of durations.
func formatRange(r scenario.Range) string { return fmt.Sprintf("%v to %v", r[0].D(), r[1].D()) }
