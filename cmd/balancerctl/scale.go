package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"sprucehill/internal/lab/day"
	"sprucehill/internal/lab/model"
	"sprucehill/internal/lab/report"
)

// scaleCmd is lab scale.
type scaleCmd struct {
	File    string    `arg:"" help:"Day file." type:"existingfile" predictor:"file"`
	Factors []float64 `help:"Sizes of the fleet, as parts of the file's." default:"0.125,0.25,0.5,1"`
	Workers int       `help:"Workers at once." default:"4"`
	Out     string    `help:"Folder for the plot." default:"found/lab" type:"path"`
	JSON    bool      `name:"json" help:"Write the costs as JSON."`
}

// cost is what a fleet of one size cost to model.
type cost struct {
	Balancers, Upstreams int
	Events               int
	Seconds              float64 // of real time
	CPU                  float64 // seconds of processor time
	MemoryMB             float64 // most that this process has held so far; sizes grow
}

// Run carries it out.
func (c *scaleCmd) Run(ctx context.Context) error {
	d, err := day.LoadFile(c.File)
	if err != nil {
		return err
	}
	var costs []cost
	rows := [][]any{{"balancers", "upstreams", "events", "real s", "processor s", "most memory MB"}}
	for _, factor := range c.Factors {
		if factor <= 0 {
			return fmt.Errorf("%w: --factors: %v is not over 0", day.ErrInput, factor)
		}
		scaled := d.Scaled(factor)
		p := newProgress(scaled)
		x, err := measureCost(ctx, scaled, model.Options{Workers: c.Workers, Progress: p.at})
		p.end()
		if err != nil {
			return err
		}
		costs = append(costs, x)
		rows = append(rows, []any{x.Balancers, x.Upstreams, x.Events, fmt.Sprintf("%.1f", x.Seconds), fmt.Sprintf("%.1f", x.CPU), fmt.Sprintf("%.0f", x.MemoryMB)})
	}
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	path := filepath.Join(c.Out, d.Name+"-cost.png")
	points := report.Costs{Title: d.Name + ": cost of modelling against the size of the fleet"}
	for _, x := range costs {
		points.Size = append(points.Size, float64(x.Balancers+x.Upstreams))
		points.Real = append(points.Real, x.Seconds)
		points.CPU = append(points.CPU, x.CPU)
	}
	if err := points.WritePNG(path); err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(costs)
	}
	writeTable(os.Stdout, rows...)
	fmt.Println("plot:", path)
	return nil
}

// measureCost models a day and returns what that took.
func measureCost(ctx context.Context, d *day.Day, o model.Options) (cost, error) {
	runtime.GC() // what came before is not this day's
	f := d.Fleet()
	x := cost{Balancers: len(f.Balancers), Upstreams: len(f.Upstreams)}
	var before, after syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &before); err != nil {
		return x, err
	}
	began := time.Now()
	events, err := model.Play(ctx, d, o)
	if err != nil {
		return x, err
	}
	x.Seconds = time.Since(began).Seconds()
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &after); err != nil {
		return x, err
	}
	spent := func(u syscall.Rusage) float64 { return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9 }
	x.Events = len(events)
	x.CPU = spent(after) - spent(before)
	x.MemoryMB = float64(after.Maxrss) / 1024
	return x, nil
}
