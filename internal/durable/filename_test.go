package durable

import (
	"strings"
	"testing"
)

func TestParseFileName(t *testing.T) {
	longest := strings.Repeat("k", maxKindLength)
	for _, c := range []struct {
		name       string
		kind       string
		generation uint64
		ok         bool
	}{
		{"list-0000000000000000.state", "list", 0, true},
		{"two-words-00000000000000ff.state", "two-words", 255, true},
		{"list-ffffffffffffffff.state", "list", 1<<64 - 1, true},
		{longest + "-0000000000000001.state", longest, 1, true},
		{longest + "k-0000000000000001.state", "", 0, false},
		{"list-0000000000000000", "", 0, false},
		{"list-000000000000000.state", "", 0, false},
		{"list-00000000000000000.state", "", 0, false},
		{"list-000000000000000g.state", "", 0, false},
		{"-0000000000000000.state", "", 0, false},
		{"0000000000000000.state", "", 0, false},
		{"List-0000000000000000.state", "", 0, false},
		{"aside.list-0000000000000000.state", "", 0, false},
		{"list.new", "", 0, false},
		{failedRecoveriesFile, "", 0, false},
		{lockFile, "", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			kind, generation, ok := parseFileName(c.name)
			if kind != c.kind || generation != c.generation || ok != c.ok {
				t.Errorf("%q, %d, %v; want %q, %d, %v", kind, generation, ok, c.kind, c.generation, c.ok)
			}
			if ok && recordFileName(kind, generation) != c.name {
				t.Errorf("recordFileName(%q, %d) returns %q", kind, generation, recordFileName(kind, generation))
			}
		})
	}
}
