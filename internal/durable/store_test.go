package durable

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// Load returns the newest valid record, or else the previous one, or else none. An unusable file is quarantined and logged.
func TestLoadFallsBackToPreviousRecord(t *testing.T) {
	path, recorder := newFolderPath(t), &logRecorder{}
	s := openStore(t, path, testOwner, recorder)
	for _, text := range []string{"one", "two", "three"} {
		save(t, s, "list", 1, text)
	}
	if r, ok := s.Load("list", 1); !ok || string(r.Payload) != "three" || r.Generation != 2 {
		t.Fatalf("loaded %q, %v", r.Payload, ok)
	}
	damage := func(generation uint64) {
		t.Helper()
		if err := os.WriteFile(filepath.Join(path, recordFileName("list", generation)), []byte("half"), fileMode); err != nil {
			t.Fatal(err)
		}
	}
	damage(2)
	if r, ok := s.Load("list", 1); !ok || string(r.Payload) != "two" {
		t.Errorf("newest record damaged: loaded %q, %v", r.Payload, ok)
	}
	if !recorder.contains("record quarantined") {
		t.Errorf("the quarantine is not logged: %v", recorder)
	}
	damage(1)
	if r, ok := s.Load("list", 1); ok {
		t.Errorf("both records damaged: loaded %q", r.Payload)
	}
	if quarantined, _ := filepath.Glob(filepath.Join(path, quarantinePrefix+"*")); len(quarantined) != 2 {
		t.Errorf("quarantined: %q", quarantined)
	}
	save(t, s, "list", 1, "four")
	if r, ok := openStore(t, path, testOwner, recorder).Load("list", 1); !ok || string(r.Payload) != "four" {
		t.Errorf("save after both records were damaged: loaded %q, %v", r.Payload, ok)
	}
}

// Load does not use a record of another balancer or site, or one whose version differs by more than one.
func TestLoadChecksOwnerAndVersion(t *testing.T) {
	for _, c := range []struct {
		owner   string
		version uint16
		want    bool
	}{
		{testOwner, 4, true},
		{testOwner, 3, true},
		{testOwner, 5, true},
		{testOwner, 6, false},
		{testOwner, 2, false},
		{"c@s", 4, false},
		{"b@t", 4, false},
	} {
		t.Run(fmt.Sprintf("%s version %d", c.owner, c.version), func(t *testing.T) {
			path, recorder := newFolderPath(t), &logRecorder{}
			save(t, openStore(t, path, c.owner, recorder), "learnt", c.version, "x")
			_, ok := openStore(t, path, testOwner, recorder).Load("learnt", 4)
			if ok != c.want || recorder.contains("quarantined") == c.want {
				t.Errorf("loaded %v, want %v; log: %v", ok, c.want, recorder)
			}
		})
	}
}
