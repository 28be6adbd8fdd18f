package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sprucehill/internal/durable"
)

// newStateFolder makes a state folder with one valid record of the kind "list", and returns its path.
func newStateFolder(t *testing.T) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "state")
	folder, err := durable.OpenFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	store, err := durable.OpenStore(folder, "b@s", durable.ReadWrite, func(string, ...any) {})
	if err != nil {
		t.Fatal(err)
	}
	if err := store.Save("list", 3, time.Unix(1e9, 0), []byte(`{"x":1}`)); err != nil {
		t.Fatal(err)
	}
	return dir
}

// The output and exit codes of the state commands on a folder with a damaged record, before and after a repair.
func TestStateCommands(t *testing.T) {
	dir := newStateFolder(t)
	const damaged = "orders-0000000000000004.state"
	if err := os.WriteFile(filepath.Join(dir, damaged), []byte("short"), 0o600); err != nil {
		t.Fatal(err)
	}
	const list = "list-0000000000000000.state"
	for _, c := range []struct {
		name   string
		args   []string
		code   int
		stdout string
		stderr string // a part of it
	}{
		{"show", []string{"show", dir}, exitOK,
			"file                           kind  owner  version  generation  saved                bytes  verdict\n" +
				list + "    list  b@s    3        0           2001-09-09 01:46:40  7      whole\n" +
				damaged + "               0        0           -                    0      torn or damaged: shorter than a head\n", ""},
		{"verify", []string{"verify", dir}, exitCheckFailed, damaged + ": torn or damaged: shorter than a head\n", "1 of 2 states can't be used"},
		{"export", []string{"export", dir, "list"}, exitOK, "{\"x\":1}\n", ""},
		{"export a missing kind", []string{"export", dir, "orders"}, exitUnusable, "", `has no whole state of kind "orders"`},
		{"repair", []string{"repair", dir}, exitOK,
			"state set aside file=" + damaged + " as=aside." + damaged + " why=torn or damaged: shorter than a head\n1 files set aside\n", ""},
		{"verify after the repair", []string{"verify", dir}, exitOK,
			"aside." + damaged + ": set aside: torn or damaged: shorter than a head\n2 states, all that are used are whole\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			stdout, stderr, code := runCommand(t, append([]string{"state"}, c.args...)...)
			if code != c.code || stdout != c.stdout || !strings.Contains(stderr, c.stderr) {
				t.Errorf("exit %d, want %d\n%s\nwant\n%s\n%s", code, c.code, stdout, c.stdout, stderr)
			}
		})
	}
}

func TestStateShowJSON(t *testing.T) {
	dir := newStateFolder(t)
	stdout, stderr, code := runCommand(t, "state", "show", "--json", dir)
	for _, part := range []string{
		`"File": "list-0000000000000000.state"`, `"Kind": "list"`, `"Owner": "b@s"`, `"Version": 3`, `"Generation": 0`,
		`"SavedAt": "2001-09-09T`, `"Bytes": 7`, `"Verdict": "whole"`,
	} {
		if !strings.Contains(stdout, part) {
			t.Errorf("%s is missing in\n%s", part, stdout)
		}
	}
	if code != exitOK {
		t.Errorf("exit %d: %s", code, stderr)
	}
}
