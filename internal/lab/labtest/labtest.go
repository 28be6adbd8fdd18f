// Package labtest is what tests of the lab's packages set up alike: days from a text, the examples, and commands of this
// module. Nothing but tests imports it.
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

// Day is the day of a text. It fails the test if the text is no day.
func Day(tb testing.TB, text string) *scenario.Scenario {
	tb.Helper()
	d, err := scenario.Parse("test.toml", []byte(text))
	if err != nil {
		tb.Fatal(err)
	}
	return d
}

// ExampleFile is the path of an example, by its name in the folder examples.
func ExampleFile(tb testing.TB, name string) string {
	tb.Helper()
	return filepath.Join(moduleRoot(tb), "examples", filepath.FromSlash(name))
}

// Example is an example's day, by its name in the folder examples.
func Example(tb testing.TB, name string) *scenario.Scenario {
	tb.Helper()
	d, err := scenario.LoadFile(ExampleFile(tb, name))
	if err != nil {
		tb.Fatal(err)
	}
	return d
}

// Examples is the names of all examples, in order.
func Examples(tb testing.TB) []string {
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

// moduleRoot is the folder of go.mod, above the package that is being tested.
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
			tb.Fatalf("no go.mod above the working directory: %v", err)
		}
		dir = filepath.Dir(dir)
	}
}

// Build builds a command of this module into a folder of the test's and returns its path. The package is relative to the
// one that is being tested.
func Build(tb testing.TB, pkg string) string {
	tb.Helper()
	path := filepath.Join(tb.TempDir(), filepath.Base(pkg))
	if err := BuildAt(path, pkg); err != nil {
		tb.Fatal(err)
	}
	return path
}

// BuildAt builds a command of this module at a path.
func BuildAt(path, pkg string) error {
	if out, err := exec.Command("go", "build", "-o", path, pkg).CombinedOutput(); err != nil {
		return fmt.Errorf("build of %s: %w\n%s", pkg, err, out)
	}
	return nil
}
