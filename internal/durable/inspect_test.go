package durable

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// fileCounts is the number of files in each state that Inspect reports.
type fileCounts struct{ valid, invalid, quarantined int }

func countInspected(t *testing.T, fs FS) fileCounts {
	t.Helper()
	files, err := Inspect(fs)
	if err != nil {
		t.Fatal(err)
	}
	var counts fileCounts
	for _, file := range files {
		switch {
		case file.Quarantined:
			counts.quarantined++
		case file.Err != nil:
			counts.invalid++
		default:
			counts.valid++
		}
	}
	return counts
}

// Repair quarantines exactly the files that Inspect reports as invalid.
func TestRepairQuarantinesInvalidFiles(t *testing.T) {
	path, recorder := newFolderPath(t), &logRecorder{}
	s := openStore(t, path, testOwner, recorder)
	save(t, s, "list", 1, "one")
	save(t, s, "list", 1, "two")
	garbage := bytes.Repeat([]byte{1}, 80)
	if err := os.WriteFile(filepath.Join(path, recordFileName("orders", 7)), garbage, fileMode); err != nil {
		t.Fatal(err)
	}
	before := fileCounts{valid: 2, invalid: 1, quarantined: 0}
	if got := countInspected(t, s.fs); got != before {
		t.Errorf("before the repair: %+v, want %+v", got, before)
	}
	if repaired, err := Repair(s.fs); len(repaired) != 1 || repaired[0].Err != nil || err != nil {
		t.Errorf("repaired %+v, %v", repaired, err)
	}
	after := fileCounts{valid: 2, invalid: 0, quarantined: 1}
	if got := countInspected(t, s.fs); got != after {
		t.Errorf("after the repair: %+v, want %+v", got, after)
	}
}

// A valid record is reported as invalid if its file has the name of another record, or a name that is not a record's.
func TestInspectChecksFileNames(t *testing.T) {
	path, recorder := newFolderPath(t), &logRecorder{}
	s := openStore(t, path, testOwner, recorder)
	save(t, s, "list", 1, "one")
	original := recordFileName("list", 0)
	content, err := os.ReadFile(filepath.Join(path, original))
	if err != nil {
		t.Fatal(err)
	}
	copies := []string{"List-name.state", recordFileName("list", 3), recordFileName("orders", 0)}
	for _, name := range copies {
		if err := os.WriteFile(filepath.Join(path, name), content, fileMode); err != nil {
			t.Fatal(err)
		}
	}
	files, err := Inspect(s.fs)
	if err != nil {
		t.Fatal(err)
	}
	if len(files) != len(copies)+1 {
		t.Errorf("%d files inspected, want %d", len(files), len(copies)+1)
	}
	for _, file := range files {
		if isOriginal := file.Name == original; isOriginal != (file.Err == nil) || isOriginal == errors.Is(file.Err, ErrCorrupt) {
			t.Errorf("%s: %v", file.Name, file.Err)
		}
	}
}
