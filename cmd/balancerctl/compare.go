package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"sprucehill/internal/lab"
	"sprucehill/internal/lab/compare"
	"sprucehill/internal/lab/day"
	"sprucehill/internal/lab/live"
	"sprucehill/internal/lab/measure"
	"sprucehill/internal/lab/model"
	"sprucehill/internal/lab/program"
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
		return fmt.Errorf("%w: --plays: %d says nothing of noise; %d are the least", day.ErrInput, c.Plays, minPlays)
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
	defer p.end()
	return compare.Run(ctx, a, b, c.Seed, c.Plays, func(play int, side string, s *measure.Summary) {
		p.say(fmt.Sprintf("play %d of %d: %s scored %.3f", play+1, c.Plays, side, s.Score))
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
	case c.Expect == "better" && !r.Rows[0].Better:
		return fmt.Errorf("%w: %s scores no better than %s", errCheckFailed, r.B, r.A)
	}
	return nil
}

// side makes the side that a name stands for. end removes its temporary files; it is never nil.
func (c *compareCmd) side(ctx context.Context, name string) (s compare.Side, end func(), err error) {
	end = func() {}
	what, of, _ := strings.Cut(name, ":")
	file := c.Day
	root := "."
	switch what {
	case "this":
	case "policy":
		if c.Engine != "model" {
			return nil, end, fmt.Errorf("%w: %s: baselines are policies of the model engine", day.ErrInput, name)
		}
		return &modelSide{name: name, file: file, policy: of}, end, nil
	case "day":
		file = of
	case "tree":
		root = of
	case "commit":
		root, end, err = checkout(ctx, of)
		if err != nil {
			return nil, end, err
		}
	default:
		return nil, end, fmt.Errorf("%w: %q is no side: write this, commit:REV, tree:PATH, policy:NAME or day:FILE", day.ErrInput, name)
	}
	if _, err := day.LoadFile(file); err != nil {
		return nil, end, err
	}
	s, err = c.sideOf(ctx, name, root, file)
	return s, end, err
}

// sideOf makes the side that plays a day with the balancer of a work tree, on the selected engine.
func (c *compareCmd) sideOf(ctx context.Context, name, root, file string) (compare.Side, error) {
	switch {
	case c.Engine != "model":
		return c.newLiveSide(ctx, name, root, file)
	case root == ".":
		return &modelSide{name: name, file: file}, nil
	}
	return newCommandSide(ctx, name, root, file)
}

// newLiveSide builds the balancer of a work tree.
func (c *compareCmd) newLiveSide(ctx context.Context, name, root, file string) (compare.Side, error) {
	p, err := program.Find(root)
	if err != nil {
		return nil, err
	}
	if err := p.Build(ctx); err != nil {
		return nil, err
	}
	out := filepath.Join(c.Out, strings.Map(plainRune, name))
	return &liveSide{name: name, file: file, out: out, program: p}, nil
}

// plainRune replaces a rune that is not suitable for the name of a folder.
func plainRune(r rune) rune {
	if strings.ContainsRune("/: .", r) {
		return '-'
	}
	return r
}

// checkout makes a temporary worktree of a commit. end removes it.
func checkout(ctx context.Context, rev string) (dir string, end func(), err error) {
	end = func() {}
	if dir, err = os.MkdirTemp("", "sprucehill-commit-"); err != nil {
		return "", end, err
	}
	end = func() {
		_ = exec.Command("git", "worktree", "remove", "--force", dir).Run() // a worktree that is left over shows in git worktree list
		os.RemoveAll(dir)
	}
	if out, err := exec.CommandContext(ctx, "git", "worktree", "add", "--detach", dir, rev).CombinedOutput(); err != nil {
		return "", end, fmt.Errorf("%w: commit %s: %s", day.ErrInput, rev, strings.TrimSpace(string(out)))
	}
	return dir, end, nil
}

// loadSeeded loads a day file with another seed.
func loadSeeded(file string, seed uint64) (*day.Day, error) {
	d, err := day.LoadFile(file)
	if err != nil {
		return nil, err
	}
	d.Seed = seed
	return d, nil
}

// modelSide plays the model engine in this process.
type modelSide struct{ name, file, policy string }

// Name returns the argument that the side was made from.
func (s *modelSide) Name() string { return s.name }

// Play plays the day once, by a seed.
func (s *modelSide) Play(ctx context.Context, seed uint64) (*measure.Summary, error) {
	d, err := loadSeeded(s.file, seed)
	if err != nil {
		return nil, err
	}
	r, err := lab.Model(ctx, d, model.Options{Workers: 4, Policy: s.policy})
	if err != nil {
		return nil, err
	}
	return r.Summary, nil
}

// liveSide plays with real processes of a work tree.
type liveSide struct {
	name, file, out string
	program         *program.Program
}

// Name returns the argument that the side was made from.
func (s *liveSide) Name() string { return s.name }

// Play plays the day once, by a seed.
func (s *liveSide) Play(ctx context.Context, seed uint64) (*measure.Summary, error) {
	d, err := loadSeeded(s.file, seed)
	if err != nil {
		return nil, err
	}
	r, err := lab.Live(ctx, d, live.Options{Command: s.program.Command(), Dir: s.program.Root, Work: s.out})
	if err != nil {
		return nil, err
	}
	return r.Summary, nil
}

// commandSide plays the model engine with the command of another work tree, and so with its decision module.
type commandSide struct{ name, file, command string }

// newCommandSide builds the command of a work tree.
func newCommandSide(ctx context.Context, name, root, file string) (compare.Side, error) {
	command := filepath.Join(root, "bin", "lab-of-side")
	build := exec.CommandContext(ctx, "go", "build", "-o", command, commandPackage(root))
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("%w: %s has no model engine that builds: %s", day.ErrInput, name, strings.TrimSpace(string(out)))
	}
	return &commandSide{name: name, file: file, command: command}, nil
}

// commandPackage returns the package of this command in a work tree. Earlier commits have it as cmd/sprucehill.
func commandPackage(root string) string {
	const formerName = "./cmd/sprucehill"
	if _, err := os.Stat(filepath.Join(root, formerName)); err == nil {
		return formerName
	}
	return "./cmd/balancerctl"
}

// Name returns the argument that the side was made from.
func (s *commandSide) Name() string { return s.name }

// Play plays the day once, by a seed.
func (s *commandSide) Play(ctx context.Context, seed uint64) (*measure.Summary, error) {
	var out, problems bytes.Buffer
	cmd := exec.CommandContext(ctx, s.command, "lab", "run", s.file, "--engine", "model", "--json", "--seed", fmt.Sprint(seed),
		"--out", filepath.Join(filepath.Dir(s.command), "lab"))
	cmd.Stdout = &out
	cmd.Stderr = &problems
	var ended *exec.ExitError
	err := cmd.Run()
	ruleBroken := errors.As(err, &ended) && ended.ExitCode() == exitCheckFailed // the summary has it
	if err != nil && !ruleBroken {
		return nil, fmt.Errorf("%w: %s", err, strings.TrimSpace(problems.String()))
	}
	var summary measure.Summary
	if err := json.Unmarshal(out.Bytes(), &summary); err != nil {
		return nil, fmt.Errorf("reading its summary: %w", err)
	}
	return &summary, nil
}

// showComparison writes the table of measures with their ratios.
func showComparison(w io.Writer, r *compare.Result, file, engine string) {
	fmt.Fprintf(w, "A %s against B %s: %s, %s engine, %d plays each, seeds %d to %d\n\n", r.A, r.B, file, engine, r.Plays,
		r.Seeds[0], r.Seeds[len(r.Seeds)-1])
	rows := [][]any{{"", "A", "B", "B/A", "over plays", "B-A", "beyond noise"}}
	for _, row := range r.Rows {
		ratio := "-"
		spread := "-"
		if row.Ratio != 0 {
			ratio = fmt.Sprintf("%.3f", row.Ratio)
			spread = fmt.Sprintf("%.3f to %.3f", row.Low, row.High)
		}
		rows = append(rows, []any{
			strings.TrimSpace(row.Measure + " " + row.Unit),
			fmt.Sprintf("%.4g", row.A),
			fmt.Sprintf("%.4g", row.B),
			ratio,
			spread,
			fmt.Sprintf("%+.4g ± %.2g", row.Diff, row.Half),
			verdict(row),
		})
	}
	writeTable(w, rows...)
}

// verdict returns the words for whether a difference is beyond noise, and which way.
func verdict(row compare.Row) string {
	switch {
	case !row.Beyond:
		return "no"
	case row.Better:
		return "yes, B is better"
	}
	return "yes, B is worse"
}
