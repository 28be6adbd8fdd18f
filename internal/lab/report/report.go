// Package report writes the result of a run as one self-contained HTML file, and its plots as PNG files for mail and print.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"sprucehill/internal/lab"
	"sprucehill/internal/lab/check"
	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/measure"
	"sprucehill/internal/lab/scenario"
)

const (
	// shownViolations and shownEvents bound the violations, and the events of each, in a report; history.txt has all events.
	shownViolations = 50
	shownEvents     = 60
	// pngDPI is the resolution of PNG files in dots per inch.
	pngDPI = 110
)

// Write writes report.html and the plots into a folder, and returns the path of report.html.
func Write(dir string, r *lab.Result) (string, error) {
	all, err := figures(r)
	if err != nil {
		return "", err
	}
	page := page{Result: r, Classes: shareRows(r.Summary.ServedRatioByClass), Tenants: shareRows(r.Summary.ServedRatioByTenant)}
	for _, f := range all {
		svg := vgsvg.New(plotWidth, f.height)
		drawFigure(f, svg)
		var text bytes.Buffer
		if _, err := svg.WriteTo(&text); err != nil {
			return "", fmt.Errorf("drawing plot %s as SVG: %w", f.name, err)
		}
		// Drop the XML prolog, which must not stand inside an HTML page.
		page.Plots = append(page.Plots, template.HTML(text.String()[max(0, strings.Index(text.String(), "<svg")):]))
		if err := writePNG(filepath.Join(dir, f.name+".png"), f); err != nil {
			return "", err
		}
	}
	page.fillTables()
	var out bytes.Buffer
	if err := layout.Execute(&out, page); err != nil {
		return "", fmt.Errorf("rendering the HTML report: %w", err)
	}
	path := filepath.Join(dir, "report.html")
	return path, os.WriteFile(path, out.Bytes(), 0o644)
}

func writePNG(path string, f figure) error {
	c := vgimg.NewWith(vgimg.UseWH(plotWidth, f.height), vgimg.UseDPI(pngDPI))
	drawFigure(f, c)
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err := (vgimg.PngCanvas{Canvas: c}).WriteTo(file); err != nil {
		return fmt.Errorf("drawing plot %s into %s: %w", f.name, path, err)
	}
	return file.Close()
}

// page is the data of the layout, which refers to its fields by name.
type page struct {
	*lab.Result
	Plots         []template.HTML
	Parts         []partRow
	Classes       []shareRow
	Tenants       []shareRow
	Rules         []ruleRow
	ViolationLogs []eventLog
	Worst         []eventLog
	Timetable     []faultRow
	Recoveries    []recoveryRow
}

type partRow struct {
	Name string
	measure.Part
	Outcomes []string
}

type shareRow struct {
	Name  string
	Share float64
}

type ruleRow struct {
	Name   check.Rule
	Broken int
}

// eventLog is a titled list of events.
type eventLog struct {
	Title string
	Lines []string
}

type faultRow struct{ At, To, Kind, Targets, About string }

type recoveryRow struct{ Fault, At, End, Before, Lowest, Recovery string }

// shownOutcomes are the outcomes of requests in the order of the table columns.
var shownOutcomes = []measure.Outcome{measure.ServedInTime, measure.ServedLate, measure.Rejected, measure.Failed, measure.NotConnected, measure.ClientLeft}

func shareRows(m map[string]float64) []shareRow {
	var rows []shareRow
	for _, name := range slices.Sorted(maps.Keys(m)) {
		rows = append(rows, shareRow{name, m[name]})
	}
	return rows
}

// fillTables fills in the tables of the page.
func (p *page) fillTables() {
	p.fillParts()
	for _, rule := range check.Rules {
		p.Rules = append(p.Rules, ruleRow{rule, p.Summary.Broken[rule]})
	}
	for _, v := range p.Violations[:min(len(p.Violations), shownViolations)] {
		title := fmt.Sprintf("%s at %v: %s", v.Rule, v.At.Round(time.Millisecond), v.Description)
		p.ViolationLogs = append(p.ViolationLogs, p.eventLog(title, v.Trace))
	}
	p.fillWorst()
	p.fillTimetable()
	for _, r := range p.Summary.Recoveries {
		p.Recoveries = append(p.Recoveries, newRecoveryRow(r))
	}
}

func (p *page) fillParts() {
	s := p.Summary
	for _, part := range []partRow{{Name: fmt.Sprintf("first %.0f s", s.SettleSeconds), Part: s.Settling}, {Name: "after that", Part: s.Main}} {
		for _, e := range shownOutcomes {
			part.Outcomes = append(part.Outcomes, percent(part.ShareByOutcome[e.String()]))
		}
		p.Parts = append(p.Parts, part)
	}
}

// fillWorst fills in the events of the worst requests.
func (p *page) fillWorst() {
	byArrival := map[int32][]history.Event{}
	for _, r := range p.Summary.WorstRequests {
		byArrival[int32(r.Arrival)] = nil
	}
	for _, e := range p.Events {
		if trace, wanted := byArrival[e.Arrival]; wanted && e.Kind < history.Stray {
			byArrival[e.Arrival] = append(trace, e)
		}
	}
	for _, r := range p.Summary.WorstRequests {
		a := p.Arrivals[r.Arrival]
		title := fmt.Sprintf("%s from %s at %.3f s: %s after %d tries and %d attempts", p.Scenario.Classes[a.Class].Name,
			p.Fleet.Zones[a.Zone].Name, a.At.Seconds(), r.Outcome, r.Tries, r.Attempts)
		if r.Latency > 0 {
			title += fmt.Sprintf(", %.0f ms", r.Latency.Seconds()*1000)
		}
		p.Worst = append(p.Worst, p.eventLog(title, byArrival[int32(r.Arrival)]))
	}
}

func (p *page) fillTimetable() {
	_, hits := p.Scenario.FaultSchedule()
	for i, f := range p.Scenario.Faults {
		to := "the end"
		if f.For > 0 {
			to = (f.At + f.For).D().String()
		}
		p.Timetable = append(p.Timetable, faultRow{
			At:      f.At.D().String(),
			To:      to,
			Kind:    string(f.Kind),
			Targets: p.Scenario.TargetNames(p.Fleet, i, hits[i]),
			About:   scenario.DescribeFault(f.Kind),
		})
	}
}

func newRecoveryRow(r measure.Recovery) recoveryRow {
	row := recoveryRow{
		Fault:    r.Fault,
		At:       fmt.Sprintf("%.1f s", r.StartSeconds),
		End:      "the end",
		Before:   percent(r.ServedRatioBefore),
		Lowest:   percent(r.LowestServedRatio),
		Recovery: "not within the run",
	}
	if r.EndSeconds >= 0 {
		row.End = fmt.Sprintf("%.1f s", r.EndSeconds)
	}
	if r.RecoverySeconds != nil {
		row.Recovery = fmt.Sprintf("%.1f s", *r.RecoverySeconds)
	}
	return row
}

// eventLog returns the last shownEvents events of a trace as lines.
func (p *page) eventLog(title string, trace []history.Event) eventLog {
	s := eventLog{Title: title}
	for _, e := range trace[max(0, len(trace)-shownEvents):] {
		s.Lines = append(s.Lines, e.Describe(p.Scenario, p.Fleet))
	}
	return s
}

func percent(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }
