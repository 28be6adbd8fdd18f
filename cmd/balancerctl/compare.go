package main

import (
	"context"
	"fmt"
	"os"

	"sprucehill/internal/lab/compare"
	"sprucehill/internal/lab/measure"
	"sprucehill/internal/lab/scenario"
)

// minPlays is the least number of plays on a side that shows noise.
const minPlays = 2

// compareCmd is the command "lab compare".
type compareCmd struct {
	A      string `arg:"" help:"One side: this (the work tree), commit:REV, tree:PATH, policy:NAME of a baseline (model engine), or day:FILE for another configuration."`
	B      string `arg:"" help:"The other side."`
	Day    string `required:"" help:"Day file that both play." type:"existingfile" predictor:"file"`
	Plays  int    `help:"Plays on each side, each of a seed of its own." default:"10"`
	Seed   uint64 `help:"First seed." default:"1"`
	Engine string `help:"live or model." enum:"live,model" default:"model"`
	Out    string `help:"Folder for logs of processes." default:"found/compare" type:"path"`
	Expect string `help:"Exit with 1 unless the sides are the same beyond noise, or B's score is better." enum:"any,same,better" default:"any"`
	JSON   bool   `name:"json" help:"Write the comparison as JSON."`
}

// Run plays both sides and prints the comparison. It returns errCheckFailed if it is not as expected.
func (c *compareCmd) Run(ctx context.Context) error {
	if c.Plays < minPlays {
		return fmt.Errorf("%w: --plays: %d says nothing of noise; %d are the least", scenario.ErrInput, c.Plays, minPlays)
	}
	a, endA, err := c.side(ctx, c.A)
	defer endA()
	if err != nil {
		return err
	}
	b, endB, err := c.side(ctx, c.B)
	defer endB()
	if err != nil {
		return err
	}
	result, err := c.play(ctx, a, b)
	if err != nil {
		return err
	}
	if err := c.report(result); err != nil {
		return err
	}
	return c.checkExpectation(result)
}

// play plays both sides on the same seeds.
func (c *compareCmd) play(ctx context.Context, a, b compare.Side) (*compare.Result, error) {
	p := newProgress(nil)
	defer p.clear()
	return compare.Run(ctx, a, b, c.Seed, c.Plays, func(play int, side string, s *measure.Summary) {
		p.show(fmt.Sprintf("play %d of %d: %s scored %.3f", play+1, c.Plays, side, s.Score))
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

// checkExpectation returns errCheckFailed if the comparison is not as the flag expect says.
func (c *compareCmd) checkExpectation(r *compare.Result) error {
	switch {
	case c.Expect == "same" && !r.Same():
		return fmt.Errorf("%w: the sides differ beyond noise", errCheckFailed)
	case c.Expect == "better" && !r.Rows[0].IsBetter:
		return fmt.Errorf("%w: %s scores no better than %s", errCheckFailed, r.B, r.A)
	}
	return nil
}
