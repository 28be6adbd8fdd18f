package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"sprucehill/internal/lab/compare"
	"sprucehill/internal/lab/measure"
	"sprucehill/internal/lab/scenario"
)

// commandSide runs scenarios with the model engine and the decision module of another work tree. It does so by starting the
// command that was built from that tree.
type commandSide struct{ name, file, command string }

// newCommandSide builds the command of a work tree and returns a side that runs it.
func newCommandSide(ctx context.Context, name, root, file string) (compare.Side, error) {
	command := filepath.Join(root, "bin", "lab-of-side")
	build := exec.CommandContext(ctx, "go", "build", "-o", command, commandPackage(root))
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("%w: %s: building %s in %s failed: %s", scenario.ErrInput, name, commandPackage(root), root, strings.TrimSpace(string(out)))
	}
	return &commandSide{name: name, file: file, command: command}, nil
}

// commandPackage returns the path of this command's package in a work tree. It was cmd/sprucehill in earlier commits.
func commandPackage(root string) string {
	const formerPackage = "./cmd/sprucehill"
	if _, err := os.Stat(filepath.Join(root, formerPackage)); err == nil {
		return formerPackage
	}
	return "./cmd/balancerctl"
}

// Name returns the command-line argument that selects the side.
func (s *commandSide) Name() string { return s.name }

// Run runs the scenario once with the given seed.
func (s *commandSide) Run(ctx context.Context, seed uint64) (*measure.Summary, error) {
	output, err := s.run(ctx, seed)
	if err != nil {
		return nil, err
	}
	var summary measure.Summary
	if err := json.Unmarshal(output, &summary); err != nil {
		return nil, fmt.Errorf("parsing the summary written by %s: %w", s.command, err)
	}
	return &summary, nil
}

// run runs the command and returns its standard output. The violation of a rule is not an error, as the summary contains it.
func (s *commandSide) run(ctx context.Context, seed uint64) ([]byte, error) {
	var output, errorOutput bytes.Buffer
	cmd := exec.CommandContext(ctx, s.command, "lab", "run", s.file,
		"--engine", "model",
		"--json",
		"--seed", fmt.Sprint(seed),
		"--out", filepath.Join(filepath.Dir(s.command), "lab"))
	cmd.Stdout = &output
	cmd.Stderr = &errorOutput
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == exitCheckFailed {
		return output.Bytes(), nil
	}
	if err != nil {
		return nil, fmt.Errorf("running %s: %w: %s", s.command, err, strings.TrimSpace(errorOutput.String()))
	}
	return output.Bytes(), nil
}
