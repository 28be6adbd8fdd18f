package fleet

import (
	"io"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestRegionsBecomeLocalities(t *testing.T) {
	f, err := Parse("f.toml", []byte("[regions]\njava = [\"a\", \"b\"]\nbali = [\"c\"]\n[log]\nformat = \"json\"\n"))
	if err != nil {
		t.Fatal(err)
	}
	if want := map[string]string{"a": "java/a", "b": "java/b", "c": "bali/c"}; !maps.Equal(f.Localities(), want) {
		t.Errorf("got localities %v, want %v", f.Localities(), want)
	}
	if f.Log.Handler(io.Discard) == nil {
		t.Error("Handler returned nil for the format json")
	}
}

// An error is one line that names the file and the key.
func TestErrorsNameFileAndKey(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"[region]\n", `f.toml:1: unknown key "region"; did you mean "regions"?`},
		{"[regions]\njava = \"a\"\n", "f.toml:2: regions.java"},
		{"[regions]\nx = [\"a\"]\ny = [\"a\"]\n", `f.toml: regions: zone "a" is listed in both x and y`},
		{"[regions]\nx = [\"a/b\"]\n", `f.toml: regions.x: invalid zone name "a/b"`},
		{"[regions]\n\"x/y\" = [\"a\"]\n", `f.toml: regions: invalid region name "x/y"`},
		{"[log]\nformat = \"xml\"\n", `f.toml: log.format: unknown format "xml"`},
		{"[log]\nlevel = \"loud\"\n", `f.toml: log.level: unknown level "loud": must be info or debug`},
		{"[log\n", "f.toml:1"},
		{"[membership]\nlisten = \"127.0.0.1:7946\"\n", "f.toml: membership.seeds: is required"},
		{"[membership]\nseeds = [\"127.0.0.1:7946\"]\n", "f.toml: membership.listen: is required"},
		{"[membership]\nlisten = \"0.0.0.0:7946\"\nseeds = [\"127.0.0.1:7946\"]\n", `f.toml: membership.listen: invalid address "0.0.0.0:7946": must be IP:port`},
		{"[membership]\nlisten = \"127.0.0.1:7946\"\nseeds = [\"b:7946\"]\n", `f.toml: membership.seeds: invalid address "b:7946": must be IP:port`},
	} {
		t.Run(c.want, func(t *testing.T) {
			_, err := Parse("f.toml", []byte(c.text))
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("parsing %q returned error %v, want one line with %s", c.text, err, c.want)
			}
		})
	}
}

// Load reads the file that the environment variable names, and returns the zero value if the variable is empty.
func TestLoadReadsTheFileOfTheEnvironment(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.toml")
	env := func(name string) string { return map[string]string{EnvironmentVariable: path}[name] }
	if _, err := Load(env); err == nil || !strings.Contains(err.Error(), EnvironmentVariable) {
		t.Errorf("loading a missing file returned error %v, want one that names %s", err, EnvironmentVariable)
	}
	if err := os.WriteFile(path, []byte("[regions]\nr = [\"z\"]\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	if f, err := Load(env); err != nil || f.Localities()["z"] != "r/z" {
		t.Errorf("Load returned %v, %v, want zone z in region r", f, err)
	}
	f, err := Load(func(string) string { return "" })
	if err != nil || f.Localities() != nil || f.Log.Handler(io.Discard) != nil {
		t.Errorf("without the variable Load returned %v, %v, want the zero value", f, err)
	}
}
