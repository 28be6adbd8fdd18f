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

	"sprucehill/internal/lab/day"
)

// Day is the day of a text. It fails the test if the text is no day.
func Day(t testing.TB, text string) *day.Day {
	t.Helper()
	d, err := day.Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// ExampleFile is the path of an example, by its name in the folder examples.
func ExampleFile(t testing.TB, name string) string {
	t.Helper()
	return filepath.Join(moduleRoot(t), "examples", filepath.FromSlash(name))
}

// Example is an example's day, by its name in the folder examples.
func Example(t testing.TB, name string) *day.Day {
	t.Helper()
	d, err := day.LoadFile(ExampleFile(t, name))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Examples is the names of all examples, in order.
func Examples(t testing.TB) []string {
	t.Helper()
	var names []string
	err := fs.WalkDir(os.DirFS(filepath.Join(moduleRoot(t), "examples")), ".", func(name string, e fs.DirEntry, err error) error {
		if err == nil && !e.IsDir() && strings.HasSuffix(name, ".toml") {
			names = append(names, name)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// moduleRoot is the folder of go.mod, above the package that is being tested.
func moduleRoot(t testing.TB) string {
	t.Helper()
	dir, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	for {
		_, err := os.Stat(filepath.Join(dir, "go.mod"))
		if err == nil {
			return dir
		}
		if dir == filepath.Dir(dir) {
			t.Fatalf("no go.mod above the working directory: %v", err)
		}
		dir = filepath.Dir(dir)
	}
}

// Build builds a command of this module into a folder of the test's and returns its path. The package is relative to the
// one that is being tested.
func Build(t testing.TB, pkg string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), filepath.Base(pkg))
	if err := BuildAt(path, pkg); err != nil {
		t.Fatal(err)
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
