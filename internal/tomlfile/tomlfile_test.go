package tomlfile

import (
	"strings"
	"testing"
	"time"
)

// document is a destination with every kind of table.
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

// An error is one line that begins with path and line and names the key; an unknown key comes with the most similar
// known one of its table.
func TestErrorsNameLineAndKey(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"unknown key", "sede = 1\n", `f.toml:1: unknown key "sede"; did you mean "seed"?`},
		{"excluded field", "hidden = 1\n", `f.toml:1: unknown key "hidden"; did you mean "nodes"?`},
		{"in a table", "[server]\n\nwait = 1\n", `f.toml:3: unknown key "server.wait"; did you mean "weight"?`},
		{"in an array of tables", "[[zones]]\naddr = \"a\"\n", `f.toml:2: unknown key "zones.addr"; did you mean "address"?`},
		{"in a map of tables", "[nodes.a]\ncors = 1\n", `f.toml:2: unknown key "nodes.a.cors"; did you mean "cores"?`},
		{"bad duration", "seed = 1\nwait = \"soon\"\n", `"soon" is no duration such as "1.5s"`},
		{"bad type", "seed = \"x\"\n", "f.toml:1: seed: "},
		{"bad syntax", "seed\n", "f.toml:1: "},
	} {
		t.Run(c.name, func(t *testing.T) {
			var d document
			err := Decode("f.toml", []byte(c.text), &d)
			if err == nil || !strings.HasPrefix(err.Error(), "f.toml:") || !strings.Contains(err.Error(), c.want) ||
				strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

// A duration is read as Go writes it, and written so.
func TestDuration(t *testing.T) {
	var d document
	if err := Decode("f.toml", []byte("wait = \"1.5s\"\n"), &d); err != nil {
		t.Fatal(err)
	}
	if want := 1500 * time.Millisecond; d.Wait.D() != want {
		t.Errorf("got %v, want %v", d.Wait.D(), want)
	}
	if text, err := d.Wait.MarshalText(); err != nil || string(text) != "1.5s" {
		t.Errorf("written as %q, %v", text, err)
	}
}
