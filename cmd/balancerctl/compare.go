package main

import (
	"context"
	"fmt"
	"os"

	"sprucehill/internal/lab/compare"
	"sprucehill/internal/lab/measure"
	"sprucehill/internal/lab/scenario"
)

// minRuns is the smallest number of runs per side from which a variance can be computed.
const minRuns = 2

// compareCmd is the command "lab compare".
type compareCmd struct {
	A      string `arg:"" help:"The first side: this (the work tree in the current folder), commit:REV, tree:PATH of another work tree, policy:NAME of a baseline (model engine only), or day:FILE for another scenario file."`
	B      string `arg:"" help:"The second side, in the same form."`
	Day    string `required:"" help:"Scenario file that both sides run." type:"existingfile" predictor:"file"`
	Plays  int    `help:"Number of runs on each side, each with its own seed." default:"10"`
	Seed   uint64 `help:"First seed." default:"1"`
	Engine string `help:"live or model; see lab run --help." enum:"live,model" default:"model"`
	Out    string `help:"Folder for the logs of the processes." default:"found/compare" type:"path"`
	Expect string `help:"Exit with 1 unless the comparison has this result. same: no significant difference; better: the score of B is significantly higher." enum:"any,same,better" default:"any"`
	JSON   bool   `name:"json" help:"Write the comparison as JSON."`
}

// Run runs the scenario on both sides and prints the comparison. It returns errCheckFailed if the result is not that of the
// flag --expect.
func (c *compareCmd) Run(ctx context.Context) error {
	if c.Plays < minRuns {
		return fmt.Errorf("%w: --plays: got %d, want at least %d, as the noise can't be estimated from fewer", scenario.ErrInput, c.Plays, minRuns)
	}
	a, removeFilesA, err := c.newSideFromArgument(ctx, c.A)
	defer removeFilesA()
	if err != nil {
		return err
	}
	b, removeFilesB, err := c.newSideFromArgument(ctx, c.B)
	defer removeFilesB()
	if err != nil {
		return err
	}
	result, err := c.runSides(ctx, a, b)
	if err != nil {
		return err
	}
	if err := c.report(result); err != nil {
		return err
	}
	return c.checkExpectation(result)
}

// runSides runs the scenario on both sides with the same seeds.
func (c *compareCmd) runSides(ctx context.Context, a, b compare.Side) (*compare.Result, error) {
	p := newProgress(nil)
	defer p.clear()
	return compare.Run(ctx, a, b, c.Seed, c.Plays, func(run int, side string, s *measure.Summary) {
		p.show(fmt.Sprintf("run %d of %d: %s scored %.3f", run+1, c.Plays, side, s.Score))
	})
}

// report writes the comparison to standard output.
func (c *compareCmd) report(r *compare.Result) error {
	if c.JSON {
		return writeJSON(r)
	}
	showComparison(os.Stdout, r, c.Day, c.Engine)
	return nil
}

// checkExpectation returns errCheckFailed if the result is not that of the flag --expect.
func (c *compareCmd) checkExpectation(r *compare.Result) error {
	switch {
	case c.Expect == "same" && !r.Same():
		return fmt.Errorf("%w: %s and %s differ beyond noise", errCheckFailed, r.A, r.B)
	case c.Expect == "better" && !r.Rows[0].IsBetter:
		return fmt.Errorf("%w: %s scores no better than %s", errCheckFailed, r.B, r.A)
	}
	return nil
}
