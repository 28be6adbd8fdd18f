package tomlfile

import (
	"strings"
	"testing"
	"time"
)

// document is a destination with a plain table, an array of tables and a map of tables.
type document struct {
	Seed   int              `toml:"seed"`
	Wait   Duration         `toml:"wait"`
	Hidden int              `toml:"-"`
	Server server           `toml:"server"`
	Zones  []server         `toml:"zones"`
	Nodes  map[string]cores `toml:"nodes"`
}

type server struct {
	Address string `toml:"address"`
	Weight  int    `toml:"weight"`
}

type cores struct {
	Cores int `toml:"cores"`
}

// An error is one line that starts with path and line and names the key. For an unknown key it suggests the most similar
// known key of the same table.
func TestErrorsNameLineAndKey(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"unknown key", "sede = 1\n", `f.toml:1: unknown key "sede"; did you mean "seed"?`},
		{"excluded field", "hidden = 1\n", `f.toml:1: unknown key "hidden"; did you mean "nodes"?`},
		{"in a table", "[server]\n\nwait = 1\n", `f.toml:3: unknown key "server.wait"; did you mean "weight"?`},
		{"in an array of tables", "[[zones]]\naddr = \"a\"\n", `f.toml:2: unknown key "zones.addr"; did you mean "address"?`},
		{"in a map of tables", "[nodes.a]\ncors = 1\n", `f.toml:2: unknown key "nodes.a.cors"; did you mean "cores"?`},
		{"bad duration", "seed = 1\nwait = \"soon\"\n", `invalid duration "soon": want a value such as "1.5s"`},
		{"bad type", "seed = \"x\"\n", "f.toml:1: seed: "},
		{"bad syntax", "seed\n", "f.toml:1: "},
	} {
		t.Run(c.name, func(t *testing.T) {
			var d document
			err := Decode("f.toml", []byte(c.text), &d)
			if err == nil || !strings.HasPrefix(err.Error(), "f.toml:") || !strings.Contains(err.Error(), c.want) ||
				strings.Contains(err.Error(), "\n") {
				t.Errorf("Decode returned error %v, want one line with %s", err, c.want)
			}
		})
	}
}

// Durations are parsed and formatted in Go's notation.
func TestDuration(t *testing.T) {
	var d document
	if err := Decode("f.toml", []byte("wait = \"1.5s\"\n"), &d); err != nil {
		t.Fatal(err)
	}
	if want := 1500 * time.Millisecond; d.Wait.D() != want {
		t.Errorf("got %v, want %v", d.Wait.D(), want)
	}
	if text, err := d.Wait.MarshalText(); err != nil || string(text) != "1.5s" {
		t.Errorf("MarshalText returned %q, %v, want %q", text, err, "1.5s")
	}
}
