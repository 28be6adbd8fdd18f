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
	File    string    `arg:"" help:"Scenario file." type:"existingfile" predictor:"file"`
	Factors []float64 `help:"Sizes of the fleet, as multiples of the size in the file." default:"0.125,0.25,0.5,1"`
	Workers int       `help:"Number of parallel workers." default:"4"`
	Out     string    `help:"Folder for the plot." default:"found/lab" type:"path"`
	JSON    bool      `name:"json" help:"Write the costs as JSON."`
}

// cost is the time and memory that modelling a fleet of one size takes. The field names are its JSON keys.
type cost struct {
	Balancers, Upstreams int
	Events               int
	Seconds              float64 // elapsed time
	CPU                  float64 // seconds of processor time
	MemoryMB             float64 // peak resident set size of this process so far, in MiB; meaningful if the sizes of the fleet rise
}

// Run models the scenario on a fleet of each size, and prints and plots the costs.
func (c *scaleCmd) Run(ctx context.Context) error {
	sc, err := scenario.LoadFile(c.File)
	if err != nil {
		return err
	}
	costs, err := c.measure(ctx, sc)
	if err != nil {
		return err
	}
	path, err := c.plot(sc, costs)
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

// measure models the scenario on a fleet of each size and returns the costs.
func (c *scaleCmd) measure(ctx context.Context, sc *scenario.Scenario) ([]cost, error) {
	var costs []cost
	for _, factor := range c.Factors {
		if factor <= 0 {
			return nil, fmt.Errorf("%w: --factors: got %v, want a number above 0", scenario.ErrInput, factor)
		}
		scaled := sc.Scaled(factor)
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
func (c *scaleCmd) plot(sc *scenario.Scenario, costs []cost) (string, error) {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return "", err
	}
	points := report.Costs{Title: sc.Name + ": cost of modelling by the size of the fleet"}
	for _, x := range costs {
		points.Size = append(points.Size, float64(x.Balancers+x.Upstreams))
		points.Real = append(points.Real, x.Seconds)
		points.CPU = append(points.CPU, x.CPU)
	}
	path := filepath.Join(c.Out, sc.Name+"-cost.png")
	return path, points.WritePNG(path)
}

// costRows returns a table with a row for each size.
func costRows(costs []cost) [][]any {
	rows := [][]any{{"balancers", "upstreams", "events", "elapsed s", "CPU s", "peak memory MB"}}
	for _, x := range costs {
		rows = append(rows, []any{
			x.Balancers, x.Upstreams, x.Events,
			fmt.Sprintf("%.1f", x.Seconds), fmt.Sprintf("%.1f", x.CPU), fmt.Sprintf("%.0f", x.MemoryMB),
		})
	}
	return rows
}

// measureCost models a scenario and returns its cost.
func measureCost(ctx context.Context, sc *scenario.Scenario, options model.Options) (cost, error) {
	runtime.GC() // collect the garbage of the scenario before, so that it does not count here
	fleet := sc.Fleet()
	result := cost{Balancers: len(fleet.Balancers), Upstreams: len(fleet.Upstreams)}
	var before, after syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &before); err != nil {
		return result, err
	}
	start := time.Now()
	events, err := model.Run(ctx, sc, options)
	if err != nil {
		return result, err
	}
	result.Seconds = time.Since(start).Seconds()
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &after); err != nil {
		return result, err
	}
	result.Events = len(events)
	result.CPU = (cpuTime(after) - cpuTime(before)).Seconds()
	result.MemoryMB = float64(after.Maxrss) / 1024 // Linux reports KiB
	return result, nil
}

// cpuTime returns the CPU time of a process, in user and kernel mode.
func cpuTime(usage syscall.Rusage) time.Duration {
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
