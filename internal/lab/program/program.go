// Package program locates a balancer's source tree by its deploy file, and builds and starts the balancer with the commands
// in that file, as the platform does.
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

// deployFile is the path, from the root of a source tree, of the file with the commands that build and run the balancer.
const deployFile = "deploy/balancer.toml"

// ErrUnusable is wrapped by every error of Find and Build.
var ErrUnusable = errors.New("no usable balancer program")

// Program is a source tree with a balancer's deploy file.
type Program struct {
	Root         string // directory that contains deploy/
	buildCommand string // for /bin/sh
	runCommand   string // for /bin/sh
}

// Find looks for the deploy file in a directory and, in turn, in each of its parents.
func Find(dir string) (*Program, error) {
	root, err := filepath.Abs(dir)
	if err != nil {
		return nil, fmt.Errorf("%w: absolute path of %s: %w", ErrUnusable, dir, err)
	}
	for ; ; root = filepath.Dir(root) {
		text, err := os.ReadFile(filepath.Join(root, deployFile))
		if err == nil {
			return parse(root, text)
		}
		if root == filepath.Dir(root) {
			return nil, fmt.Errorf("%w: %s found neither in %s nor in a parent directory", ErrUnusable, deployFile, dir)
		}
	}
}

// parse reads a deploy file's text. root is the directory that contains deploy/.
func parse(root string, text []byte) (*Program, error) {
	var deploy struct {
		Build string `toml:"build"`
		Run   string `toml:"run"`
	}
	if err := toml.Unmarshal(text, &deploy); err != nil {
		return nil, fmt.Errorf("%w: parse %s: %w", ErrUnusable, filepath.Join(root, deployFile), err)
	}
	if deploy.Build == "" || deploy.Run == "" {
		return nil, fmt.Errorf("%w: %s: build and run must both be set", ErrUnusable, filepath.Join(root, deployFile))
	}
	return &Program{Root: root, buildCommand: deploy.Build, runCommand: deploy.Run}, nil
}

// Build runs the build command in Root. The error of a failed build contains the command's output.
func (p *Program) Build(ctx context.Context) error {
	cmd := exec.CommandContext(ctx, "/bin/sh", "-c", p.buildCommand)
	cmd.Dir = p.Root
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("%w: build in %s: %w: %s", ErrUnusable, p.Root, err, strings.TrimSpace(string(out)))
	}
	return nil
}

// Command is the command line that starts one balancer. Its working directory has to be Root.
func (p *Program) Command() []string { return []string{"/bin/sh", "-c", p.runCommand} }
