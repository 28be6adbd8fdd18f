package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"sprucehill/internal/lab/model"
	"sprucehill/internal/lab/report"
	"sprucehill/internal/lab/scenario"
)

// scaleCmd is the command "lab scale".
type scaleCmd struct {
	File    string    `arg:"" help:"Day file." type:"existingfile" predictor:"file"`
	Factors []float64 `help:"Sizes of the fleet, as parts of the file's." default:"0.125,0.25,0.5,1"`
	Workers int       `help:"Workers at once." default:"4"`
	Out     string    `help:"Folder for the plot." default:"found/lab" type:"path"`
	JSON    bool      `name:"json" help:"Write the costs as JSON."`
}

// cost is the cost of modelling a fleet of one size. The field names are the keys of its JSON.
type cost struct {
	Balancers, Upstreams int
	Events               int
	Seconds              float64 // real time
	CPU                  float64 // seconds of processor time
	MemoryMB             float64 // largest resident set of this process so far, in MiB; fleets are measured by rising size
}

// Run models the day on fleets of each size, and prints and plots the costs.
func (c *scaleCmd) Run(ctx context.Context) error {
	d, err := scenario.LoadFile(c.File)
	if err != nil {
		return err
	}
	costs, err := c.measure(ctx, d)
	if err != nil {
		return err
	}
	path, err := c.plot(d, costs)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(costs)
	}
	writeTable(os.Stdout, costRows(costs)...)
	fmt.Println("plot:", path)
	return nil
}

// measure models the day on a fleet of each size.
func (c *scaleCmd) measure(ctx context.Context, d *scenario.Scenario) ([]cost, error) {
	var costs []cost
	for _, factor := range c.Factors {
		if factor <= 0 {
			return nil, fmt.Errorf("%w: --factors: %v is not over 0", scenario.ErrInput, factor)
		}
		scaled := d.Scaled(factor)
		p := newProgress(scaled)
		measured, err := measureCost(ctx, scaled, model.Options{Workers: c.Workers, Progress: p.showElapsed})
		p.clear()
		if err != nil {
			return nil, err
		}
		costs = append(costs, measured)
	}
	return costs, nil
}

// plot writes the plot of the costs and returns its path.
func (c *scaleCmd) plot(d *scenario.Scenario, costs []cost) (string, error) {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return "", err
	}
	points := report.Costs{Title: d.Name + ": cost of modelling against the size of the fleet"}
	for _, x := range costs {
		points.Size = append(points.Size, float64(x.Balancers+x.Upstreams))
		points.Real = append(points.Real, x.Seconds)
		points.CPU = append(points.CPU, x.CPU)
	}
	path := filepath.Join(c.Out, d.Name+"-cost.png")
	return path, points.WritePNG(path)
}

// costRows has a row on each size.
func costRows(costs []cost) [][]any {
	rows := [][]any{{"balancers", "upstreams", "events", "real s", "processor s", "most memory MB"}}
	for _, x := range costs {
		rows = append(rows, []any{
			x.Balancers, x.Upstreams, x.Events,
			fmt.Sprintf("%.1f", x.Seconds), fmt.Sprintf("%.1f", x.CPU), fmt.Sprintf("%.0f", x.MemoryMB),
		})
	}
	return rows
}

// measureCost models a day and returns its cost.
func measureCost(ctx context.Context, d *scenario.Scenario, o model.Options) (cost, error) {
	runtime.GC() // the garbage of the day before is not part of this one's cost
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
	x.Events = len(events)
	x.CPU = (cpuTime(after) - cpuTime(before)).Seconds()
	x.MemoryMB = float64(after.Maxrss) / 1024 // Linux gives KiB
	return x, nil
}

// cpuTime returns the processor time of a process, in the kernel and outside.
func cpuTime(usage syscall.Rusage) time.Duration {
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
