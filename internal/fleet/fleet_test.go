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
		t.Errorf("localities %v, want %v", f.Localities(), want)
	}
	if f.Log.Handler(io.Discard) == nil {
		t.Error("json has no handler")
	}
}

// An error is one line that names file and key.
func TestErrorsNameFileAndKey(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"[region]\n", `f.toml:1: unknown key "region"; did you mean "regions"?`},
		{"[regions]\njava = \"a\"\n", "f.toml:2: regions.java"},
		{"[regions]\nx = [\"a\"]\ny = [\"a\"]\n", `f.toml: regions: zone "a" stands in both x and y`},
		{"[regions]\nx = [\"a/b\"]\n", `f.toml: regions.x: "a/b" is no name of a zone`},
		{"[regions]\n\"x/y\" = [\"a\"]\n", `f.toml: regions: "x/y" is no name of a region`},
		{"[log]\nformat = \"xml\"\n", `f.toml: log.format: "xml" is none of`},
		{"[log]\nlevel = \"loud\"\n", `f.toml: log.level: "loud" is neither info nor debug`},
		{"[log\n", "f.toml:1"},
		{"[membership]\nlisten = \"127.0.0.1:7946\"\n", "f.toml: membership.seeds: is missing"},
		{"[membership]\nseeds = [\"127.0.0.1:7946\"]\n", "f.toml: membership.listen: is missing"},
		{"[membership]\nlisten = \"0.0.0.0:7946\"\nseeds = [\"127.0.0.1:7946\"]\n", `f.toml: membership.listen: "0.0.0.0:7946" is no IP:port`},
		{"[membership]\nlisten = \"127.0.0.1:7946\"\nseeds = [\"b:7946\"]\n", `f.toml: membership.seeds: "b:7946" is no IP:port`},
	} {
		t.Run(c.want, func(t *testing.T) {
			_, err := Parse("f.toml", []byte(c.text))
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%q: %v, want %s", c.text, err, c.want)
			}
		})
	}
}

// Load reads the file that the environment names, if it names one.
func TestLoadReadsTheFileOfTheEnvironment(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.toml")
	env := func(name string) string { return map[string]string{EnvironmentVariable: path}[name] }
	if _, err := Load(env); err == nil || !strings.Contains(err.Error(), EnvironmentVariable) {
		t.Errorf("a missing file: %v", err)
	}
	if err := os.WriteFile(path, []byte("[regions]\nr = [\"z\"]\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	if f, err := Load(env); err != nil || f.Localities()["z"] != "r/z" {
		t.Errorf("%v, %v", f, err)
	}
	f, err := Load(func(string) string { return "" })
	if err != nil || f.Localities() != nil || f.Log.Handler(io.Discard) != nil {
		t.Errorf("without the variable: %v, %v", f, err)
	}
}
