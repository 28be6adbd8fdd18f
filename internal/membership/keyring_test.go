package membership_test

import (
	"encoding/base64"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"sprucehill/internal/lab/gossip"
	"sprucehill/internal/membership"
)

// keyLine is the line of a key file with a key of 32 equal bytes.
func keyLine(b byte) string {
	return base64.StdEncoding.EncodeToString([]byte(strings.Repeat(string(rune(b)), 32))) + "\n"
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// keyFiles is the key files of the members of a fleet.
type keyFiles struct {
	t    *testing.T
	dir  string
	size int // of the fleet
}

func (k keyFiles) path(i int) string { return filepath.Join(k.dir, gossip.Address(i)) }

func (k keyFiles) write(i int, text string) {
	k.t.Helper()
	writeFile(k.t, k.path(i), text)
}

// writeAll writes the key files of all members and waits until they are reloaded.
func (k keyFiles) writeAll(text string) {
	k.t.Helper()
	for i := range k.size {
		k.write(i, text)
	}
	time.Sleep(3 * time.Second) // of virtual time
}

// start starts member i with its key file.
func (k keyFiles) start(f *testFleet, i int) *membership.Node {
	k.t.Helper()
	options := f.options(i)
	options.KeyFile = k.path(i)
	return f.start(options)
}

// A key is rotated in three steps while the fleet is partitioned; a member with another key stays out; an invalid file
// changes nothing and is logged.
func TestKeyRotationDuringPartition(t *testing.T) {
	const size = 4
	files := keyFiles{t: t, dir: t.TempDir(), size: size}
	runScenario(t, 0, func(f *testFleet) {
		t := f.t
		files.writeAll(keyLine('a'))
		for i := range size {
			f.nodes = append(f.nodes, files.start(f, i))
		}
		f.within(time.Minute, "the fleet agrees", func() bool { return f.agree(f.nodes, size) })
		testStrangerStaysOut(t, f, files)

		f.cut(func(i, j int) bool { return i/2 != j/2 })
		f.within(10*time.Second, "the fleet is partitioned", func() bool { return f.agree(f.nodes[:2], 2) && f.agree(f.nodes[2:], 2) })
		files.writeAll(keyLine('a') + keyLine('b'))
		files.writeAll(keyLine('b') + keyLine('a'))
		f.heal()
		f.within(10*time.Second, "healed with two keys", func() bool { return f.agree(f.nodes, size) })
		files.writeAll(keyLine('b'))

		files.write(0, "no key\n")
		time.Sleep(20 * time.Second)
		if !f.agree(f.nodes, size) {
			t.Error("not all members are in with the new key")
		}
		if !slices.ContainsFunc(f.logSince(0), func(line string) bool { return strings.Contains(line, "line 1 is no key") }) {
			t.Error("an invalid file is not logged")
		}
	})
}

// testStrangerStaysOut starts one more member with another key for a while.
func testStrangerStaysOut(t *testing.T, f *testFleet, files keyFiles) {
	t.Helper()
	size := len(f.nodes)
	files.write(size, keyLine('x'))
	stranger := files.start(f, size)
	time.Sleep(10 * time.Second)
	if n := len(stranger.Status().View.Members); n != 1 || !f.agree(f.nodes, size) {
		t.Errorf("with another key it sees %d", n)
	}
	stranger.Close()
}

// Starting with an invalid key file fails with an error that names the file and the reason.
func TestInvalidKeyFileIsReported(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"empty", "", "0 keys"},
		{"key too short", "c2hvcnQ=\n", "line 1 is no key"},
		{"too many keys", strings.Repeat(keyLine('a'), 9), "9 keys"},
		{"file too large", strings.Repeat("# long\n", 1000), "more than 4096 bytes"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "keys")
			writeFile(t, path, c.text)
			_, err := membership.Start(membership.Options{KeyFile: path, Self: membership.Member{Name: "a", Incarnation: 1}})
			if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), path) {
				t.Errorf("%v, want %q", err, c.want)
			}
		})
	}
}
