package report

import "html/template"

// layout is the template of the report. Its data is a page.
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
<p>{{.Scenario.About}} {{.Summary.Engine}} engine, seed {{.Summary.Seed}}, {{printf "%.0f" .Summary.LengthSeconds}} s: {{len .Fleet.Balancers}} balancers,
{{len .Fleet.Upstreams}} upstreams, {{len .Fleet.Zones}} zones.</p>
{{with .Summary.Lab}}{{if .VoidReason}}<p class="bad"><strong>Void: {{.VoidReason}}.</strong></p>{{end}}{{end}}
<table><tr><th></th><th>requests</th><th>worth served</th><th>in time</th><th>late</th><th>refused</th><th>failed</th><th>not connected</th><th>left early</th><th>p50 ms</th><th>p99 ms</th><th>p99.9 ms</th></tr>
{{range .Parts}}<tr><td>{{.Name}}</td><td class="n">{{.Requests}}</td><td class="n">{{percent .ServedRatio}}</td>{{range .Outcomes}}<td class="n">{{.}}</td>{{end}}<td class="n">{{printf "%.1f" .Latency.P50}}</td><td class="n">{{printf "%.1f" .Latency.P99}}</td><td class="n">{{printf "%.1f" .Latency.P999}}</td></tr>
{{end}}</table>
<p>Score {{printf "%.3f" .Summary.Score}}; worst 10 s {{percent .Summary.WorstStretchRatio}}{{range .Classes}}; {{.Name}} {{percent .Share}}{{end}}{{range .Tenants}}; {{.Name}} {{percent .Share}} within its quota{{end}}.
{{printf "%.3f" .Summary.AttemptsPerRequest}} attempts per request, {{percent .Summary.CrossZoneRatio}} of them to another zone, {{percent .Summary.CrossRegionRatio}} to another region.</p>
{{with .Summary.Lab}}<p>Lab: requests started late by {{printf "%.2f" .LateP50Milliseconds}} ms at p50, {{printf "%.2f" .LateP99Milliseconds}} at p99, {{printf "%.1f" .LateMaxMilliseconds}} at most; {{printf "%.2f" .LabCores}} cores used by the lab, {{printf "%.2f" .BalancerCores}} by all balancers.</p>{{end}}
<h2>Rules</h2>
<table>{{range .Rules}}<tr><td>{{.Name}}</td><td>{{if .Broken}}<span class="bad">broken {{.Broken}} times</span>{{else}}<span class="good">no violations</span>{{end}}</td></tr>{{end}}</table>
{{range .ViolationLogs}}<details open><summary>{{.Title}}</summary><pre>{{range .Lines}}{{.}}
{{end}}</pre></details>{{end}}
{{if .Timetable}}<h2>Timetable</h2>
<table><tr><th>from</th><th>to</th><th>fault</th><th>targets</th><th>effect</th></tr>
{{range .Timetable}}<tr><td class="n">{{.At}}</td><td class="n">{{.To}}</td><td>{{.Kind}}</td><td>{{.Targets}}</td><td>{{.About}}</td></tr>{{end}}</table>
<table><tr><th>fault</th><th>from</th><th>to</th><th>served before</th><th>lowest</th><th>recovered after its end</th></tr>
{{range .Recoveries}}<tr><td>{{.Fault}}</td><td class="n">{{.At}}</td><td class="n">{{.End}}</td><td class="n">{{.Before}}</td><td class="n">{{.Lowest}}</td><td class="n">{{.Recovery}}</td></tr>{{end}}</table>{{end}}
<h2>Over the run</h2>
{{range .Plots}}{{.}}
{{end}}
{{if .Worst}}<h2>The worst requests</h2>
{{range .Worst}}<details><summary>{{.Title}}</summary><pre>{{range .Lines}}{{.}}
{{end}}</pre></details>{{end}}{{end}}
</body></html>
`))
