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

// commandSide plays the model engine with the command of another work tree, and so with its decision module.
type commandSide struct{ name, file, command string }

// newCommandSide builds the command of a work tree.
func newCommandSide(ctx context.Context, name, root, file string) (compare.Side, error) {
	command := filepath.Join(root, "bin", "lab-of-side")
	build := exec.CommandContext(ctx, "go", "build", "-o", command, commandPackage(root))
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("%w: %s has no model engine that builds: %s", scenario.ErrInput, name, strings.TrimSpace(string(out)))
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
	output, err := s.run(ctx, seed)
	if err != nil {
		return nil, err
	}
	var summary measure.Summary
	if err := json.Unmarshal(output, &summary); err != nil {
		return nil, fmt.Errorf("reading its summary: %w", err)
	}
	return &summary, nil
}

// run runs the command and returns its standard output. A run that broke a rule is no error: the summary says so.
func (s *commandSide) run(ctx context.Context, seed uint64) ([]byte, error) {
	var output, problems bytes.Buffer
	cmd := exec.CommandContext(ctx, s.command, "lab", "run", s.file,
		"--engine", "model",
		"--json",
		"--seed", fmt.Sprint(seed),
		"--out", filepath.Join(filepath.Dir(s.command), "lab"))
	cmd.Stdout = &output
	cmd.Stderr = &problems
	err := cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == exitCheckFailed {
		return output.Bytes(), nil
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %s", err, strings.TrimSpace(problems.String()))
	}
	return output.Bytes(), nil
}
