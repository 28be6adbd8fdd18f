// Package report writes what came of a day as one HTML file with no outside parts, and its plots as PNG files for
// letters and print.
package report

import (
	"bytes"
	"cmp"
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
	"sprucehill/internal/lab/day"
	"sprucehill/internal/lab/history"
	"sprucehill/internal/lab/measure"
)

const (
	// shownViolations and shownEvents bound what a report tells of breaches: a day that breaks a rule a thousand times
	// is told in full by history.txt.
	shownViolations = 50
	shownEvents     = 60
	// dots is the resolution of PNG files, for an inch.
	dots = 110
)

func sortBy[T any, K cmp.Ordered](of []T, key func(T) K) {
	slices.SortStableFunc(of, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
}

// Write writes report.html and the plots into a folder, and returns the file's path.
func Write(dir string, r *lab.Result) (string, error) {
	all, err := figures(r)
	if err != nil {
		return "", err
	}
	page := page{Result: r, Classes: shareRows(r.Summary.Class), Tenants: shareRows(r.Summary.Tenant)}
	for _, f := range all {
		svg := vgsvg.New(plotWidth, f.height)
		drawFigure(f, svg)
		var text bytes.Buffer
		if _, err := svg.WriteTo(&text); err != nil {
			return "", fmt.Errorf("drawing %s: %w", f.name, err)
		}
		// The prologue of a file is not for the inside of a page.
		page.Plots = append(page.Plots, template.HTML(text.String()[max(0, strings.Index(text.String(), "<svg")):]))
		if err := writePNG(filepath.Join(dir, f.name+".png"), f); err != nil {
			return "", err
		}
	}
	page.fill()
	var out bytes.Buffer
	if err := layout.Execute(&out, page); err != nil {
		return "", fmt.Errorf("writing the report: %w", err)
	}
	path := filepath.Join(dir, "report.html")
	return path, os.WriteFile(path, out.Bytes(), 0o644)
}

func writePNG(path string, f figure) error {
	c := vgimg.NewWith(vgimg.UseWH(plotWidth, f.height), vgimg.UseDPI(dots))
	drawFigure(f, c)
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err := (vgimg.PngCanvas{Canvas: c}).WriteTo(file); err != nil {
		return fmt.Errorf("drawing %s: %w", f.name, err)
	}
	return file.Close()
}

// page is what the layout shows.
type page struct {
	*lab.Result
	Plots      []template.HTML
	Parts      []partRow
	Classes    []shareRow
	Tenants    []shareRow
	Rules      []ruleRow
	Breaches   []eventLog
	Worst      []eventLog
	Timetable  []faultRow
	Recoveries []recoveryRow
}

type partRow struct {
	Name string
	measure.Part
	Ends []string
}

type shareRow struct {
	Name  string
	Share float64
}

type ruleRow struct {
	Name   check.Rule
	Broken int
}

type eventLog struct {
	Title string
	Lines []string
}

type faultRow struct{ At, To, Kind, Whom, About string }

type recoveryRow struct{ Fault, At, End, Before, Least, Back string }

// endsShown is how requests end, in the order of the tables.
var endsShown = []measure.End{measure.InTime, measure.Late, measure.Refused, measure.Failed, measure.Unreached, measure.Left}

func shareRows(m map[string]float64) []shareRow {
	var rows []shareRow
	for _, name := range slices.Sorted(maps.Keys(m)) {
		rows = append(rows, shareRow{name, m[name]})
	}
	return rows
}

// fill makes the tables.
func (p *page) fill() {
	s := p.Summary
	for _, part := range []partRow{{Name: fmt.Sprintf("first %.0f s", s.Settle), Part: s.Settling}, {Name: "after that", Part: s.Main}} {
		for _, e := range endsShown {
			part.Ends = append(part.Ends, percent(part.Share[e.String()]))
		}
		p.Parts = append(p.Parts, part)
	}
	for _, rule := range check.Rules {
		p.Rules = append(p.Rules, ruleRow{rule, s.Broken[rule]})
	}
	for _, v := range p.Violations[:min(len(p.Violations), shownViolations)] {
		p.Breaches = append(p.Breaches, p.eventLog(fmt.Sprintf("%s at %v: %s", v.Rule, v.At.Round(time.Millisecond), v.What), v.Trace))
	}
	byArrival := map[int32][]history.Event{}
	for _, r := range s.WorstRequests {
		byArrival[int32(r.Arrival)] = nil
	}
	for _, e := range p.Events {
		if trace, ok := byArrival[e.Arrival]; ok && e.Kind < history.Stray {
			byArrival[e.Arrival] = append(trace, e)
		}
	}
	for _, r := range s.WorstRequests {
		a := p.Arrivals[r.Arrival]
		title := fmt.Sprintf("%s from %s at %.3f s: %s after %d tries and %d attempts", p.Day.Classes[a.Class].Name,
			p.Fleet.Zones[a.Zone].Name, a.At.Seconds(), r.End, r.Tries, r.Attempts)
		if r.Latency > 0 {
			title += fmt.Sprintf(", %.0f ms", r.Latency.Seconds()*1000)
		}
		p.Worst = append(p.Worst, p.eventLog(title, byArrival[int32(r.Arrival)]))
	}
	_, hits := p.Day.Timetable()
	for i, f := range p.Day.Faults {
		to := "the end"
		if f.For > 0 {
			to = (f.At + f.For).D().String()
		}
		p.Timetable = append(p.Timetable, faultRow{f.At.D().String(), to, f.Kind, p.Day.TargetNames(p.Fleet, i, hits[i]), day.DescribeFault(f.Kind)})
	}
	for _, r := range s.Recoveries {
		row := recoveryRow{r.Fault, fmt.Sprintf("%.1f s", r.At), "the end", percent(r.Before), percent(r.Least), "not within the day"}
		if r.End >= 0 {
			row.End = fmt.Sprintf("%.1f s", r.End)
		}
		if r.Back != nil {
			row.Back = fmt.Sprintf("%.1f s", *r.Back)
		}
		p.Recoveries = append(p.Recoveries, row)
	}
}

// story is a history as lines.
func (p *page) eventLog(title string, trace []history.Event) eventLog {
	s := eventLog{Title: title}
	for _, e := range trace[max(0, len(trace)-shownEvents):] {
		s.Lines = append(s.Lines, e.Describe(p.Day, p.Fleet))
	}
	return s
}

func percent(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }

var layout = template.Must(template.New("report").Funcs(template.FuncMap{"percent": percent}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Summary.Day}}: {{.Summary.Engine}} engine, seed {{.Summary.Seed}}</title>
<style>
body { font: 15px/1.45 Georgia, serif; max-width: 64rem; margin: 2rem auto; padding: 0 1rem; color: #222; }
h1, h2 { font-weight: normal; } h2 { border-bottom: 1px solid #bbb; margin-top: 2rem; }
table { border-collapse: collapse; margin: .6rem 0; } th, td { padding: .15rem .8rem .15rem 0; text-align: left; vertical-align: top; }
th { border-bottom: 1px solid #888; font-weight: normal; color: #555; } td.n { font-variant-numeric: tabular-nums; }
.good { color: #1e6b34; } .bad { color: #a32119; } pre { font-size: 12px; background: #f6f5f2; padding: .5rem; overflow-x: auto; }
svg { max-width: 100%; height: auto; } summary { cursor: pointer; }
@media print { body { max-width: none; margin: 0; } svg, table { break-inside: avoid; } }
</style></head><body>
<h1>{{.Summary.Day}}</h1>
<p>{{.Day.About}} {{.Summary.Engine}} engine, seed {{.Summary.Seed}}, {{printf "%.0f" .Summary.Seconds}} s: {{len .Fleet.Balancers}} balancers,
{{len .Fleet.Upstreams}} upstreams, {{len .Fleet.Zones}} zones.</p>
{{with .Summary.Lab}}{{if .Void}}<p class="bad"><strong>Void: {{.Void}}.</strong></p>{{end}}{{end}}
<table><tr><th></th><th>requests</th><th>worth served</th><th>in time</th><th>late</th><th>refused</th><th>failed</th><th>not connected</th><th>left early</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th></tr>
{{range .Parts}}<tr><td>{{.Name}}</td><td class="n">{{.Requests}}</td><td class="n">{{percent .Served}}</td>{{range .Ends}}<td class="n">{{.}}</td>{{end}}<td class="n">{{printf "%.1f" .Latency.P50}}</td><td class="n">{{printf "%.1f" .Latency.P99}}</td><td class="n">{{printf "%.1f" .Latency.P999}}</td></tr>
{{end}}</table>
<p>Score {{printf "%.3f" .Summary.Score}}; worst 10 s {{percent .Summary.Worst}}{{range .Classes}}; {{.Name}} {{percent .Share}}{{end}}{{range .Tenants}}; {{.Name}} {{percent .Share}} inside its share{{end}}.
{{printf "%.3f" .Summary.Attempts}} attempts a request, {{percent .Summary.CrossZone}} of them to another zone, {{percent .Summary.CrossRegion}} to another region.</p>
{{with .Summary.Lab}}<p>The lab: arrivals late by {{printf "%.2f" .LateP50}} ms at p50, {{printf "%.2f" .LateP99}} at p99, {{printf "%.1f" .LateMax}} at most; {{printf "%.2f" .LabCores}} cores for it, {{printf "%.2f" .NodeCores}} for all balancers.</p>{{end}}
<h2>Rules</h2>
<table>{{range .Rules}}<tr><td>{{.Name}}</td><td>{{if .Broken}}<span class="bad">broken {{.Broken}} times</span>{{else}}<span class="good">kept</span>{{end}}</td></tr>{{end}}</table>
{{range .Breaches}}<details open><summary>{{.Title}}</summary><pre>{{range .Lines}}{{.}}
{{end}}</pre></details>{{end}}
{{if .Timetable}}<h2>Timetable</h2>
<table><tr><th>from</th><th>to</th><th>fault</th><th>on</th><th>what it does</th></tr>
{{range .Timetable}}<tr><td class="n">{{.At}}</td><td class="n">{{.To}}</td><td>{{.Kind}}</td><td>{{.Whom}}</td><td>{{.About}}</td></tr>{{end}}</table>
<table><tr><th>fault</th><th>from</th><th>to</th><th>served before</th><th>least</th><th>back after its end</th></tr>
{{range .Recoveries}}<tr><td>{{.Fault}}</td><td class="n">{{.At}}</td><td class="n">{{.End}}</td><td class="n">{{.Before}}</td><td class="n">{{.Least}}</td><td class="n">{{.Back}}</td></tr>{{end}}</table>{{end}}
<h2>Over the day</h2>
{{range .Plots}}{{.}}
{{end}}
{{if .Worst}}<h2>The worst requests</h2>
{{range .Worst}}<details><summary>{{.Title}}</summary><pre>{{range .Lines}}{{.}}
{{end}}</pre></details>{{end}}{{end}}
</body></html>
`))
