// Package program finds and builds the balancer by its deploy file, as the platform does.
package program

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// deployFile is where a repository says how its program is built and run.
const deployFile = "deploy/balancer.toml"

// ErrNotFound says that there is no program here.
var ErrNotFound = errors.New("no program")

// Program is a work tree that holds a balancer.
type Program struct {
	Root  string
	build string
	run   string
}

// Find looks for the deploy file in a folder and above it.
func Find(dir string) (*Program, error) {
	at, err := filepath.Abs(dir)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotFound, err)
	}
	for ; ; at = filepath.Dir(at) {
		text, err := os.ReadFile(filepath.Join(at, deployFile))
		if err == nil {
			return parse(at, text)
		}
		if at == filepath.Dir(at) {
			return nil, fmt.Errorf("%w: %s is neither in %s nor above it", ErrNotFound, deployFile, dir)
		}
	}
}

func parse(root string, text []byte) (*Program, error) {
	var f struct {
		Build string `toml:"build"`
		Run   string `toml:"run"`
	}
	if err := toml.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrNotFound, filepath.Join(root, deployFile), err)
	}
	if f.Build == "" || f.Run == "" {
		return nil, fmt.Errorf("%w: %s lacks build or run", ErrNotFound, filepath.Join(root, deployFile))
	}
	return &Program{Root: root, build: f.Build, run: f.Run}, nil
}

// Build builds it. The error of a failed build contains what the build printed.
func (p *Program) Build(ctx context.Context) error {
	cmd := exec.CommandContext(ctx, "/bin/sh", "-c", p.build)
	cmd.Dir = p.Root
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("%w: build in %s: %w: %s", ErrNotFound, p.Root, err, strings.TrimSpace(string(out)))
	}
	return nil
}

// Command starts one balancer, from Root.
func (p *Program) Command() []string { return []string{"/bin/sh", "-c", p.run} }
