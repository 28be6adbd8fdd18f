package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"

	"sprucehill/internal/lab/compare"
	"sprucehill/internal/lab/scenario"
)

// newSideFromArgument returns the side that a command-line argument selects. removeFiles removes its temporary files; it is
// never nil.
func (c *compareCmd) newSideFromArgument(ctx context.Context, argument string) (s compare.Side, removeFiles func(), err error) {
	kind, value, _ := strings.Cut(argument, ":")
	switch kind {
	case "this":
		s, err = c.newSide(ctx, argument, ".", c.Day)
	case "policy":
		s, err = c.newPolicySide(argument, value)
	case "day":
		s, err = c.newSide(ctx, argument, ".", value)
	case "tree":
		s, err = c.newSide(ctx, argument, value, c.Day)
	case "commit":
		return c.newCommitSide(ctx, argument, value)
	default:
		err = fmt.Errorf("%w: %q is no side: want this, commit:REV, tree:PATH, policy:NAME or day:FILE", scenario.ErrInput, argument)
	}
	return s, func() {}, err
}

// newPolicySide returns the side that runs the scenario with a baseline policy.
func (c *compareCmd) newPolicySide(name, policy string) (compare.Side, error) {
	if c.Engine != "model" {
		return nil, fmt.Errorf("%w: %s: policies are available with --engine model only", scenario.ErrInput, name)
	}
	return &modelSide{name: name, file: c.Day, policy: policy}, nil
}

// newCommitSide returns the side that runs the scenario with the balancer of a commit.
func (c *compareCmd) newCommitSide(ctx context.Context, name, rev string) (s compare.Side, removeFiles func(), err error) {
	root, removeFiles, err := addWorktree(ctx, rev)
	if err != nil {
		return nil, removeFiles, err
	}
	s, err = c.newSide(ctx, name, root, c.Day)
	return s, removeFiles, err
}

// newSide returns the side that runs a scenario file with the balancer of a work tree, on the selected engine.
func (c *compareCmd) newSide(ctx context.Context, name, root, file string) (compare.Side, error) {
	if _, err := scenario.LoadFile(file); err != nil {
		return nil, err
	}
	switch {
	case c.Engine != "model":
		return c.newLiveSide(ctx, name, root, file)
	case root == ".":
		return &modelSide{name: name, file: file}, nil
	}
	return newCommandSide(ctx, name, root, file)
}

// addWorktree adds a temporary git worktree of a commit. remove removes it; it is never nil.
func addWorktree(ctx context.Context, rev string) (dir string, remove func(), err error) {
	dir, err = os.MkdirTemp("", "sprucehill-commit-")
	if err != nil {
		return "", func() {}, err
	}
	remove = func() {
		_ = exec.Command("git", "worktree", "remove", "--force", dir).Run() // if it fails, git worktree list shows the worktree that is left
		os.RemoveAll(dir)
	}
	out, err := exec.CommandContext(ctx, "git", "worktree", "add", "--detach", dir, rev).CombinedOutput()
	if err != nil {
		return "", remove, fmt.Errorf("%w: adding a worktree of commit %s: %s", scenario.ErrInput, rev, strings.TrimSpace(string(out)))
	}
	return dir, remove, nil
}
