package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"sprucehill/internal/lab/scenario"
)

// showDay writes a day as tables.
func showDay(w io.Writer, d *scenario.Scenario) {
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
func zoneRows(d *scenario.Scenario, f *scenario.Fleet) [][]any {
	rows := [][]any{{"region", "zone", "balancers", "load", "upstreams"}}
	for i, z := range f.Zones {
		load := fmt.Sprintf("%.1f/s", z.Share*d.Load.Rate)
		rows = append(rows, []any{f.Regions[z.Region], z.Name, len(z.Balancers), load, upstreamCounts(f, i)})
	}
	return rows
}

// upstreamCounts lists how many upstreams of each model a zone has.
func upstreamCounts(f *scenario.Fleet, zone int) string {
	counts := map[string]int{} // by model
	for _, u := range f.Upstreams {
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

// modelRows has a row on each model of upstream.
func modelRows(d *scenario.Scenario) [][]any {
	rows := [][]any{{"model", "cores", "speed", "slots", "queue", "cold from", "warm after", "pauses", "errors", "reports"}}
	for _, name := range slices.Sorted(maps.Keys(d.Models)) {
		rows = append(rows, modelRow(name, d.Models[name]))
	}
	return rows
}

// modelRow has the cells of one model.
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
		percent(m.ColdFrom),
		m.Warm.D(),
		pauses,
		percent(m.ErrorRate),
		fmt.Sprintf("every %v, %v late", m.ReportEvery.D(), m.ReportDelay.D()),
	}
}

// classRows has a row on each class of request.
func classRows(d *scenario.Scenario) [][]any {
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
func faultRows(d *scenario.Scenario, f *scenario.Fleet) [][]any {
	rows := [][]any{{"at", "", "fault", "on", "what it does"}}
	changes, hits := d.Timetable()
	for _, c := range changes {
		kind := d.Faults[c.Fault].Kind
		what := "ends"
		about := ""
		if c.Transition == scenario.Begin {
			what = "begins"
			about = scenario.DescribeFault(kind)
		}
		rows = append(rows, []any{c.At, what, kind, d.TargetNames(f, c.Fault, hits[c.Fault]), about})
	}
	return rows
}

// spread formats the bounds of a range of durations.
func spread(r scenario.Range) string { return fmt.Sprintf("%v to %v", r[0].D(), r[1].D()) }
