// Package labtest has helpers for the tests of the lab's packages: it parses scenarios, finds the examples and builds the
// commands of this module. Only tests import it.
package labtest

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"sprucehill/internal/lab/scenario"
)

// ParseScenario parses a scenario. It fails the test if the text is not a valid scenario.
func ParseScenario(tb testing.TB, text string) *scenario.Scenario {
	tb.Helper()
	d, err := scenario.Parse("test.toml", []byte(text))
	if err != nil {
		tb.Fatal(err)
	}
	return d
}

// ExampleFile returns the path of an example, given its path below the folder examples.
func ExampleFile(tb testing.TB, name string) string {
	tb.Helper()
	return filepath.Join(moduleRoot(tb), "examples", filepath.FromSlash(name))
}

// LoadExample loads an example scenario, given its path below the folder examples.
func LoadExample(tb testing.TB, name string) *scenario.Scenario {
	tb.Helper()
	d, err := scenario.LoadFile(ExampleFile(tb, name))
	if err != nil {
		tb.Fatal(err)
	}
	return d
}

// ExampleNames returns the paths of all examples below the folder examples, in lexical order.
func ExampleNames(tb testing.TB) []string {
	tb.Helper()
	var names []string
	err := fs.WalkDir(os.DirFS(filepath.Join(moduleRoot(tb), "examples")), ".", func(name string, e fs.DirEntry, err error) error {
		if err == nil && !e.IsDir() && strings.HasSuffix(name, ".toml") {
			names = append(names, name)
		}
		return err
	})
	if err != nil {
		tb.Fatal(err)
	}
	return names
}

// moduleRoot returns the folder of go.mod, which is a parent of the package under test.
func moduleRoot(tb testing.TB) string {
	tb.Helper()
	dir, err := os.Getwd()
	if err != nil {
		tb.Fatal(err)
	}
	for {
		_, err := os.Stat(filepath.Join(dir, "go.mod"))
		if err == nil {
			return dir
		}
		if dir == filepath.Dir(dir) {
			tb.Fatalf("no go.mod in the working directory or a parent of it: %v", err)
		}
		dir = filepath.Dir(dir)
	}
}

// Build builds a command of this module into a temporary folder of the test and returns the path of the program. The
// path of the package is relative to the package under test.
func Build(tb testing.TB, pkg string) string {
	tb.Helper()
	path := filepath.Join(tb.TempDir(), filepath.Base(pkg))
	if err := BuildAt(path, pkg); err != nil {
		tb.Fatal(err)
	}
	return path
}

// BuildAt builds a command of this module and writes the program to a path.
func BuildAt(path, pkg string) error {
	if out, err := exec.Command("go", "build", "-o", path, pkg).CombinedOutput(); err != nil {
		return fmt.Errorf("building %s: %w\n%s", pkg, err, out)
	}
	return nil
}
