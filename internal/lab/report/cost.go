package report

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// Costs is the time that runs of the model took for fleets of several sizes, in seconds. Size counts balancers and upstreams.
type Costs struct {
	Title           string
	Size, Real, CPU []float64
}

// WritePNG plots the costs over the size into a PNG file.
func (c Costs) WritePNG(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.Title, "balancers and upstreams", "seconds"
	p.X.Min, p.Y.Min = 0, 0
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, series := range []struct {
		name string
		ys   []float64
	}{{"processor time", c.CPU}, {"real time", c.Real}} {
		var points plotter.XYs
		for k, y := range series.ys {
			points = append(points, plotter.XY{X: c.Size[k], Y: y})
		}
		if err := addLine(p, series.name, i, points); err != nil {
			return err
		}
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return err
		}
		scatter.Color = lineColors[i]
		p.Add(scatter)
	}
	return writePNG(path, figure{"cost", p, plotHeight})
}
