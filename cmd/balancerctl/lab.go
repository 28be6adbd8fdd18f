package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"runtime"

	"sprucehill/internal/lab"
	"sprucehill/internal/lab/live"
	"sprucehill/internal/lab/model"
	"sprucehill/internal/lab/program"
	"sprucehill/internal/lab/report"
	"sprucehill/internal/lab/scenario"
)

// checkCmd is the command "lab check".
type checkCmd struct {
	File string `arg:"" help:"Day file." type:"existingfile" predictor:"file"`
}

// Run reads a day file and prints its size. It returns an error if the file can't be used.
func (c *checkCmd) Run() error {
	d, err := scenario.LoadFile(c.File)
	if err != nil {
		return err
	}
	f := d.Fleet()
	fmt.Printf("%s: good: %d balancers, %d upstreams, %d zones, about %.0f requests in %v, %d faults\n", c.File,
		len(f.Balancers), len(f.Upstreams), len(f.Zones), d.Load.Rate*d.Length.D().Seconds(), d.Length.D(), len(d.Faults))
	return nil
}

// showCmd is the command "lab show".
type showCmd struct {
	File string `arg:"" help:"Day file." type:"existingfile" predictor:"file"`
	JSON bool   `name:"json" help:"Write the day as JSON, with what the file leaves out."`
}

// Run prints a day.
func (c *showCmd) Run() error {
	d, err := scenario.LoadFile(c.File)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(d)
	}
	showDay(os.Stdout, d)
	return nil
}

// runCmd is the command "lab run".
type runCmd struct {
	File    string `arg:"" help:"Day file." type:"existingfile" predictor:"file"`
	Engine  string `help:"live: real processes of the balancer on loopback. model: its decisions in virtual time." enum:"live,model" default:"live"`
	Policy  string `help:"Model engine: what decides: sprucehill, round-robin, least-loaded, random-of-two or true-state." default:"sprucehill"`
	Workers int    `help:"Model engine: workers at once; 0: one for each core. The outcome is the same."`
	Seed    uint64 `help:"Draw the day by this seed instead of the file's."`
	Out     string `help:"Folder for the report, and for logs of processes." default:"found/lab" type:"path"`
	Program string `help:"Work tree of the balancer, built by its deploy/balancer.toml." default:"." type:"existingdir"`
	NoBuild bool   `help:"Take the program as it was built last."`
	JSON    bool   `name:"json" help:"Write the summary as JSON."`
	History bool   `help:"Keep every event in history.txt in the folder."`
}

// Run plays a day, and writes its report and summary. It returns errCheckFailed if a rule was broken.
func (c *runCmd) Run(ctx context.Context) error {
	d, err := scenario.LoadFile(c.File)
	if err != nil {
		return err
	}
	if c.Seed != 0 {
		d.Seed = c.Seed
	}
	out := filepath.Join(c.Out, fmt.Sprintf("%s-%s-%d", d.Name, c.Engine, d.Seed))
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	p := newProgress(d)
	r, err := c.play(ctx, d, out, p)
	p.clear()
	if err != nil {
		return err
	}
	if err := c.write(out, r); err != nil {
		return err
	}
	switch {
	case r.Summary.Lab != nil && r.Summary.Lab.VoidReason != "":
		return fmt.Errorf("the run is void: %s", r.Summary.Lab.VoidReason)
	case len(r.Violations) > 0:
		return fmt.Errorf("%w: %d violations", errCheckFailed, len(r.Violations))
	}
	return nil
}

// write writes the report into a folder, and the summary to standard output.
func (c *runCmd) write(out string, r *lab.Result) error {
	if c.History {
		if err := writeHistory(filepath.Join(out, "history.txt"), r); err != nil {
			return err
		}
	}
	path, err := report.Write(out, r)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(r.Summary)
	}
	showSummary(os.Stdout, r)
	fmt.Println("report:", path)
	return nil
}

// play plays the day on the selected engine. Its report goes into out.
func (c *runCmd) play(ctx context.Context, d *scenario.Scenario, out string, p *progress) (*lab.Result, error) {
	if c.Engine == "model" {
		if c.Workers == 0 {
			c.Workers = runtime.GOMAXPROCS(0)
		}
		return lab.Model(ctx, d, model.Options{Workers: c.Workers, Policy: c.Policy, Progress: p.showElapsed})
	}
	balancer, err := program.Find(c.Program)
	if err != nil {
		return nil, err
	}
	if !c.NoBuild {
		p.show("building " + balancer.Root)
		if err := balancer.Build(ctx); err != nil {
			return nil, err
		}
	}
	p.show("starting")
	return lab.Live(ctx, d, live.Options{Command: balancer.Command(), Dir: balancer.Root, Work: out, Progress: p.showElapsed})
}

// writeJSON writes a value to standard output as indented JSON.
func writeJSON(x any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(x)
}

// writeHistory writes a file with a line for each event.
func writeHistory(path string, r *lab.Result) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	for _, e := range r.Events {
		if _, err := fmt.Fprintln(f, e.Describe(r.Day, r.Fleet)); err != nil {
			return err
		}
	}
	return f.Close()
}
