package report

import (
	"cmp"
	"fmt"
	"image/color"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"sprucehill/internal/lab"
	"sprucehill/internal/lab/measure"
	"sprucehill/internal/lab/scenario"
)

// Style of all plots: dark lines that also differ in their dashes, for black-and-white print.
var (
	lineColors = []color.RGBA{{0x1b, 0x6c, 0xa8, 255}, {0xc0, 0x39, 0x2b, 255}, {0x1e, 0x84, 0x49, 255}, {0x7d, 0x3c, 0x98, 255},
		{0xb9, 0x77, 0x0e, 255}, {0x34, 0x49, 0x5e, 255}, {0x11, 0x7a, 0x65, 255}, {0x6e, 0x2c, 0x00, 255}}
	dashes     = [][]vg.Length{nil, {vg.Points(6), vg.Points(3)}, {vg.Points(2), vg.Points(2)}, {vg.Points(8), vg.Points(3), vg.Points(2), vg.Points(3)}}
	faultShade = color.NRGBA{0xd3, 0x54, 0x00, 0x1c}
)

const (
	plotWidth  = 10 * vg.Inch
	plotHeight = 3.1 * vg.Inch
	// faultBarHeight is the height that a fault's bar takes above the series, in units of the y axis.
	faultBarHeight = 0.09
	// maxUpstreamRows is the most upstreams that get a row each. A larger fleet has a row per zone.
	maxUpstreamRows = 60
	// maxZonePairs is the most pairs of zones that get a line.
	maxZonePairs = 9
)

// timeAxisScale is the length of the time axis over that of the run. It leaves room for the legend beside the lines.
const timeAxisScale = 1.2

// runTicks places ticks within the run only, not below the legend.
type runTicks struct{ seconds float64 }

func (w runTicks) Ticks(lo, _ float64) []plot.Tick { return plot.DefaultTicks{}.Ticks(lo, w.seconds) }

// newPlot returns an empty plot over the time of the run.
func newPlot(title, y string, seconds float64) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "time in the run, s"
	p.Y.Label.Text = y
	p.X.Min, p.X.Max = 0, seconds*timeAxisScale
	p.X.Tick.Marker = runTicks{seconds}
	p.Title.Padding = vg.Points(6)
	p.Legend.Top, p.Legend.XOffs = true, -vg.Points(6)
	p.Legend.Padding = vg.Points(2)
	p.Add(plotter.NewGrid())
	return p
}

// addLine adds a line in the style of its index.
func addLine(p *plot.Plot, name string, index int, points plotter.XYs) error {
	l, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("plotting %s: %w", name, err)
	}
	l.Color = lineColors[index%len(lineColors)]
	l.Width = vg.Points(1.5)
	l.Dashes = dashes[(index+index/len(lineColors))%len(dashes)]
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

// windowPoints returns the value of each window over time. value reports false for a window without one.
func windowPoints(series []measure.Window, value func(measure.Window) (float64, bool)) plotter.XYs {
	var points plotter.XYs
	for _, w := range series {
		if y, ok := value(w); ok {
			points = append(points, plotter.XY{X: w.StartSeconds, Y: y})
		}
	}
	return points
}

// faultSpan returns when a fault is active within the run, in seconds.
func faultSpan(sc *scenario.Scenario, f scenario.Fault) (from, to float64) {
	from, to = f.At.D().Seconds(), sc.Length.D().Seconds()
	if f.For > 0 {
		to = min(to, (f.At + f.For).D().Seconds())
	}
	if f.Kind == scenario.LinkReset || f.Kind == scenario.BalancerRestart {
		to = min(to, from+0.2) // instantaneous, but drawn wide enough to be seen
	}
	return from, to
}

// addBox adds a filled rectangle.
func addBox(p *plot.Plot, x0, x1, y0, y1 float64, fill color.Color) error {
	b, err := plotter.NewPolygon(plotter.XYs{{X: x0, Y: y0}, {X: x1, Y: y0}, {X: x1, Y: y1}, {X: x0, Y: y1}})
	if err != nil {
		return err
	}
	b.Color = fill
	b.Width = 0
	p.Add(b)
	return nil
}

// servedPlot plots the served ratio over time, with a bar for each fault above it.
func servedPlot(r *lab.Result) (*plot.Plot, error) {
	s := r.Summary
	p := newPlot(fmt.Sprintf("%s, %s engine: worth served in time", s.Day, s.Engine), "share of the offered worth", s.LengthSeconds)
	top := 1.02
	for i, f := range r.Scenario.Faults {
		from, to := faultSpan(r.Scenario, f)
		y := 1.04 + float64(i)*faultBarHeight
		ink := lineColors[(i+1)%len(lineColors)]
		if err := addBox(p, from, to, y, y+faultBarHeight*0.7, color.NRGBA{ink.R, ink.G, ink.B, 0x99}); err != nil {
			return nil, err
		}
		if err := addBox(p, from, to, 0, 1, faultShade); err != nil {
			return nil, err
		}
		labels, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: to + s.LengthSeconds*0.005, Y: y + faultBarHeight*0.1}}, Labels: []string{string(f.Kind)}})
		if err != nil {
			return nil, err
		}
		p.Add(labels)
		top = y + faultBarHeight
	}
	p.Y.Min, p.Y.Max = 0, top
	p.Y.Tick.Marker = plot.ConstantTicks([]plot.Tick{{Value: 0, Label: "0%"}, {Value: 0.25, Label: "25%"}, {Value: 0.5, Label: "50%"},
		{Value: 0.75, Label: "75%"}, {Value: 1, Label: "100%"}})
	p.Legend.Top, p.Legend.YOffs = false, vg.Points(12)
	return p, addLine(p, "served in time", 0, windowPoints(s.Series, func(w measure.Window) (float64, bool) { return w.ServedRatio, w.ServedRatio >= 0 }))
}

// shadeFaults shades the times at which faults are active, and sets the y axis to end at top.
func shadeFaults(p *plot.Plot, sc *scenario.Scenario, top float64) error {
	p.Y.Min, p.Y.Max = 0, top
	for _, f := range sc.Faults {
		from, to := faultSpan(sc, f)
		if err := addBox(p, from, to, 0, top, faultShade); err != nil {
			return err
		}
	}
	return nil
}

// linesPlot plots a line per name over the windows. value returns the value of line i in a window.
func linesPlot(r *lab.Result, title, y string, names []string, value func(w measure.Window, i int) float64) (*plot.Plot, error) {
	p := newPlot(title, y, r.Summary.LengthSeconds)
	top := 0.0
	for i := range names {
		for _, w := range r.Summary.Series {
			top = max(top, value(w, i))
		}
	}
	if err := shadeFaults(p, r.Scenario, max(top*1.25, 1e-6)); err != nil {
		return nil, err
	}
	for i, name := range names {
		if err := addLine(p, name, i, windowPoints(r.Summary.Series, func(w measure.Window) (float64, bool) { return value(w, i), true })); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// perSecond converts a window's count to a rate.
func perSecond(r *lab.Result, n int) float64 { return float64(n) / r.Scenario.Window.D().Seconds() }

// zonesPlot plots the traffic between zones, a line for each of the busiest pairs.
func zonesPlot(r *lab.Result) (*plot.Plot, error) {
	type pair struct{ from, to, n int }
	var pairs []pair
	for from := range r.Fleet.Zones {
		for to := range r.Fleet.Zones {
			n := 0
			for _, w := range r.Summary.Series {
				n += w.AttemptsByZone[from][to]
			}
			pairs = append(pairs, pair{from, to, n})
		}
	}
	slices.SortStableFunc(pairs, func(a, b pair) int { return cmp.Compare(b.n, a.n) })
	pairs = pairs[:min(len(pairs), maxZonePairs)]
	names := make([]string, len(pairs))
	for i, p := range pairs {
		names[i] = r.Fleet.Zones[p.from].Name + " to " + r.Fleet.Zones[p.to].Name
	}
	return linesPlot(r, "Traffic between zones", "attempts per second", names, func(w measure.Window, i int) float64 {
		return perSecond(r, w.AttemptsByZone[pairs[i].from][pairs[i].to])
	})
}

// attemptShareGrid is the heat map data of each upstream's share of the attempts in each window.
type attemptShareGrid struct {
	series []measure.Window
	rows   [][]int // indices of the upstreams of each row
}

func (g attemptShareGrid) Dims() (int, int) { return len(g.series), len(g.rows) }
func (g attemptShareGrid) Z(c, r int) float64 {
	w := g.series[c]
	n := 0
	for _, u := range g.rows[r] {
		n += w.AttemptsByUpstream[u]
	}
	if w.Attempts == 0 {
		return 0
	}
	return 100 * float64(n) / float64(w.Attempts) / float64(len(g.rows[r])) // percent, mean of the row's upstreams
}
func (g attemptShareGrid) X(c int) float64 {
	if len(g.series) > 1 {
		return g.series[c].StartSeconds + (g.series[1].StartSeconds-g.series[0].StartSeconds)/2
	}
	return g.series[c].StartSeconds
}
func (g attemptShareGrid) Y(r int) float64 { return float64(r) }

// attemptSharesPlot plots each upstream's share of the attempts over time as a heat map.
func attemptSharesPlot(r *lab.Result) (*plot.Plot, error) {
	g := attemptShareGrid{series: r.Summary.Series}
	title := "Share of attempts by upstream"
	var names []string
	if len(r.Fleet.Upstreams) <= maxUpstreamRows {
		names = g.addUpstreams(r.Fleet)
	} else {
		title += ", mean of each zone"
		names = g.addZones(r.Fleet)
	}
	colors := moreland.ExtendedBlackBody()
	colors.SetMin(0)
	colors.SetMax(1)
	h := plotter.NewHeatMap(g, colors.Palette(64))
	if h.Max <= h.Min {
		h.Max = h.Min + 1
	}
	p := newPlot(fmt.Sprintf("%s: dark none, bright %.2f%%", title, h.Max), "upstream", r.Summary.LengthSeconds)
	p.Add(h)
	p.X.Max = r.Summary.LengthSeconds // a heat map has no legend
	p.Y.Tick.Marker = rowTicks(names)
	p.Y.Tick.Label.Font.Size = vg.Points(max(4, min(8, 200/float64(len(g.rows)))))
	p.Y.Min, p.Y.Max = -0.5, float64(len(g.rows))-0.5
	return p, nil
}

// addUpstreams adds a row for each upstream and returns the names of the rows.
func (g *attemptShareGrid) addUpstreams(f *scenario.Fleet) []string {
	var names []string
	for i, u := range f.Upstreams {
		names = append(names, u.Name+" "+u.Model)
		g.rows = append(g.rows, []int{i})
	}
	return names
}

// addZones adds a row for each zone that has upstreams and returns the names of the rows.
func (g *attemptShareGrid) addZones(f *scenario.Fleet) []string {
	var names []string
	for z, zone := range f.Zones {
		var upstreams []int
		for i, u := range f.Upstreams {
			if u.Zone == z {
				upstreams = append(upstreams, i)
			}
		}
		if len(upstreams) > 0 {
			names = append(names, zone.Name)
			g.rows = append(g.rows, upstreams)
		}
	}
	return names
}

// rowTicks labels the rows of a heat map.
func rowTicks(names []string) plot.ConstantTicks {
	ticks := make(plot.ConstantTicks, len(names))
	for i, name := range names {
		ticks[i] = plot.Tick{Value: float64(i), Label: name}
	}
	return ticks
}

// figure is a plot with its file name and height.
type figure struct {
	name   string
	plot   *plot.Plot
	height vg.Length
}

// rowInches is the height of a row for a fault or an upstream.
const rowInches = 0.12

// rowsHeight returns the height of some rows.
func rowsHeight(rows int) vg.Length { return vg.Length(rows) * rowInches * vg.Inch }

// figures returns all plots of a run.
func figures(r *lab.Result) ([]figure, error) {
	servedHeight := plotHeight + rowsHeight(len(r.Scenario.Faults))
	upstreams := min(len(r.Fleet.Upstreams), maxUpstreamRows)
	upstreamsHeight := max(plotHeight, rowsHeight(upstreams))
	var all []figure
	for _, f := range []struct {
		name   string
		height vg.Length
		plot   func(*lab.Result) (*plot.Plot, error)
	}{
		{"served", servedHeight, servedPlot},
		{"latency", plotHeight, latencyPlot},
		{"ends", plotHeight, outcomesPlot},
		{"cross", plotHeight, crossingPlot},
		{"zones", plotHeight, zonesPlot},
		{"upstreams", upstreamsHeight, attemptSharesPlot},
	} {
		p, err := f.plot(r)
		if err != nil {
			return nil, err
		}
		all = append(all, figure{f.name, p, f.height})
	}
	return all, nil
}

func latencyPlot(r *lab.Result) (*plot.Plot, error) {
	return linesPlot(r, "Latency of served requests, from their scheduled time", "milliseconds", []string{"p99", "p50"},
		func(w measure.Window, i int) float64 { return []float64{w.P99Milliseconds, w.P50Milliseconds}[i] })
}

func outcomesPlot(r *lab.Result) (*plot.Plot, error) {
	outcomes := []measure.Outcome{measure.ServedInTime, measure.ServedLate, measure.Rejected, measure.Failed, measure.NotConnected}
	names := make([]string, len(outcomes))
	for i, e := range outcomes {
		names[i] = e.String()
	}
	return linesPlot(r, "Outcomes of requests", "requests per second", names,
		func(w measure.Window, i int) float64 { return perSecond(r, w.Outcomes[outcomes[i]]) })
}

func crossingPlot(r *lab.Result) (*plot.Plot, error) {
	return linesPlot(r, "Attempts that leave their zone, and their region", "percent of attempts", []string{"another zone", "another region"},
		func(w measure.Window, i int) float64 {
			if w.Attempts == 0 {
				return 0
			}
			return 100 * float64([]int{w.CrossZone, w.CrossRegion}[i]) / float64(w.Attempts)
		})
}

// drawFigure draws a plot on a canvas.
func drawFigure(f figure, c vg.CanvasSizer) { f.plot.Draw(draw.New(c)) }
