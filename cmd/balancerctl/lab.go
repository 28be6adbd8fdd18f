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
	File string `arg:"" help:"Scenario file." type:"existingfile" predictor:"file"`
}

// Run checks a scenario file and prints the size of the scenario. It returns an error if the file is invalid.
func (c *checkCmd) Run() error {
	sc, err := scenario.LoadFile(c.File)
	if err != nil {
		return err
	}
	fleet := sc.Fleet()
	fmt.Printf("%s: valid: %d balancers, %d upstreams, %d zones, about %.0f requests in %v, %d faults\n", c.File,
		len(fleet.Balancers), len(fleet.Upstreams), len(fleet.Zones), sc.Load.Rate*sc.Length.D().Seconds(), sc.Length.D(), len(sc.Faults))
	return nil
}

// showCmd is the command "lab show".
type showCmd struct {
	File string `arg:"" help:"Scenario file." type:"existingfile" predictor:"file"`
	JSON bool   `name:"json" help:"Write the scenario as JSON, with the defaults for what the file leaves out."`
}

// Run prints a scenario.
func (c *showCmd) Run() error {
	sc, err := scenario.LoadFile(c.File)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(sc)
	}
	showScenario(os.Stdout, sc)
	return nil
}

// runCmd is the command "lab run".
type runCmd struct {
	File    string `arg:"" help:"Scenario file." type:"existingfile" predictor:"file"`
	Engine  string `help:"live: real balancer processes on loopback. model: the decision module in virtual time." enum:"live,model" default:"live"`
	Policy  string `help:"Model engine: the routing policy: sprucehill (the decision module), round-robin, least-loaded, random-of-two or true-state." default:"sprucehill"`
	Workers int    `help:"Model engine: number of parallel workers; 0: one for each core. The result does not depend on it."`
	Seed    uint64 `help:"Random seed, in place of that in the file."`
	Out     string `help:"Folder for the report and the logs of the processes." default:"found/lab" type:"path"`
	Program string `help:"Work tree of the balancer, which is built and started as its deploy/balancer.toml says." default:"." type:"existingdir"`
	NoBuild bool   `help:"Use the balancer as it was built last."`
	JSON    bool   `name:"json" help:"Write the summary as JSON."`
	History bool   `help:"Write every event to history.txt in the folder."`
}

// Run runs a scenario, and writes its report and summary. It returns errCheckFailed if a rule was violated.
func (c *runCmd) Run(ctx context.Context) error {
	sc, err := scenario.LoadFile(c.File)
	if err != nil {
		return err
	}
	if c.Seed != 0 {
		sc.Seed = c.Seed
	}
	out := filepath.Join(c.Out, fmt.Sprintf("%s-%s-%d", sc.Name, c.Engine, sc.Seed))
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	p := newProgress(sc)
	r, err := c.runScenario(ctx, sc, out, p)
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
		return fmt.Errorf("%w: %d violations of rules", errCheckFailed, len(r.Violations))
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

// runScenario runs the scenario on the selected engine. The live engine writes the logs of the processes into out.
func (c *runCmd) runScenario(ctx context.Context, sc *scenario.Scenario, out string, p *progress) (*lab.Result, error) {
	if c.Engine == "model" {
		if c.Workers == 0 {
			c.Workers = runtime.GOMAXPROCS(0)
		}
		return lab.RunModel(ctx, sc, model.Options{Workers: c.Workers, Policy: c.Policy, Progress: p.showElapsed})
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
	p.show("starting the balancers")
	return lab.RunLive(ctx, sc, live.Options{Command: balancer.Command(), Dir: balancer.Root, WorkDir: out, Progress: p.showElapsed})
}

// writeJSON writes a value to standard output as indented JSON.
func writeJSON(x any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(x)
}

// writeHistory writes all events of a run to a file, one line each.
func writeHistory(path string, r *lab.Result) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	for _, e := range r.Events {
		if _, err := fmt.Fprintln(f, e.Describe(r.Scenario, r.Fleet)); err != nil {
			return err
		}
	}
	return f.Close()
}
