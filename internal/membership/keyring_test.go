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

// keyLine returns a line of a key file with a key of 32 equal bytes.
func keyLine(b byte) string {
	return base64.StdEncoding.EncodeToString([]byte(strings.Repeat(string(rune(b)), 32))) + "\n"
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// keyFiles manages the key files of the members of a fleet.
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

// A key rotation in three steps during a partition keeps all members in the fleet. A member with another key can't join. An
// invalid key file is logged and leaves the keys as they are.
func TestKeyRotationDuringPartition(t *testing.T) {
	const size = 4
	files := keyFiles{t: t, dir: t.TempDir(), size: size}
	runScenario(t, 0, func(f *testFleet) {
		t := f.t
		files.writeAll(keyLine('a'))
		for i := range size {
			f.nodes = append(f.nodes, files.start(f, i))
		}
		f.waitFor(time.Minute, "the fleet agrees", func() bool { return f.viewsAgree(f.nodes, size) })
		testMemberWithOtherKeyIsExcluded(t, f, files)

		f.cut(func(i, j int) bool { return i/2 != j/2 })
		f.waitFor(10*time.Second, "the fleet is partitioned", func() bool { return f.viewsAgree(f.nodes[:2], 2) && f.viewsAgree(f.nodes[2:], 2) })
		files.writeAll(keyLine('a') + keyLine('b'))
		files.writeAll(keyLine('b') + keyLine('a'))
		f.heal()
		f.waitFor(10*time.Second, "the fleet agrees with two keys after the partition", func() bool { return f.viewsAgree(f.nodes, size) })
		files.writeAll(keyLine('b'))

		files.write(0, "no key\n")
		time.Sleep(20 * time.Second)
		if !f.viewsAgree(f.nodes, size) {
			t.Error("members disagree after the rotation to the new key and the write of an invalid key file")
		}
		if !slices.ContainsFunc(f.logSince(0), func(line string) bool { return strings.Contains(line, "line 1: not a base64-encoded key") }) {
			t.Error("the invalid key file was not logged")
		}
	})
}

// testMemberWithOtherKeyIsExcluded starts one more member with another key for 10 s, and fails if it joins.
func testMemberWithOtherKeyIsExcluded(t *testing.T, f *testFleet, files keyFiles) {
	t.Helper()
	size := len(f.nodes)
	files.write(size, keyLine('x'))
	memberWithOtherKey := files.start(f, size)
	time.Sleep(10 * time.Second)
	if n := len(memberWithOtherKey.Status().View.Members); n != 1 || !f.viewsAgree(f.nodes, size) {
		t.Errorf("a member with another key has a view of %d members, want 1, or the fleet disagrees", n)
	}
	memberWithOtherKey.Close()
}

// Start returns an error that names the file and the reason for an invalid key file.
func TestInvalidKeyFileIsReported(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"empty", "", "0 keys"},
		{"key too short", "c2hvcnQ=\n", "line 1: not a base64-encoded key"},
		{"too many keys", strings.Repeat(keyLine('a'), 9), "9 keys"},
		{"file too large", strings.Repeat("# long\n", 1000), "more than 4096 bytes"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "keys")
			writeFile(t, path, c.text)
			_, err := membership.Start(membership.Options{KeyFile: path, Self: membership.Member{Name: "a", Incarnation: 1}})
			if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), path) {
				t.Errorf("Start returned error %v, want one with %q and %q", err, path, c.want)
			}
		})
	}
}
