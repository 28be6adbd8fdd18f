package durable

import (
	"errors"
	"fmt"
	"io/fs"
)

// maxQuarantined bounds the quarantined files of a folder. They are never deleted; from this number on nothing is saved
// until somebody has removed some.
const maxQuarantined = 64

// quarantine renames an unusable file so that nothing reads it again, and logs that. A file that can't be renamed is read
// again, and found unusable again, at the next start.
func (s *Store) quarantine(name string, reason error) {
	if s.access == ReadOnly {
		s.log("record ignored", recordKeys(name, "err", reason)...)
		return
	}
	newName, err := s.moveToQuarantine(name)
	if err != nil {
		s.log("quarantine failed", recordKeys(name, "reason", reason, "err", err)...)
		return
	}
	s.log("record quarantined", recordKeys(name, "renamed_to", newName, "err", reason)...)
}

// moveToQuarantine renames a file and returns its new name.
func (s *Store) moveToQuarantine(name string) (newName string, err error) {
	newName = s.unusedQuarantineName(name)
	if err := s.fs.Rename(name, newName); err != nil {
		return "", err
	}
	s.quarantined++
	return newName, nil
}

// recordKeys returns the log keys and values of a record's file, and more that follow them.
func recordKeys(name string, more ...any) []any {
	kind, generation, _ := parseFileName(name)
	return append([]any{"file", name, "kind", kind, "generation", generation}, more...)
}

// unusedQuarantineName returns a name for a quarantined file that no file has.
func (s *Store) unusedQuarantineName(name string) string {
	candidate := quarantinePrefix + name
	for i := 1; s.exists(candidate); i++ {
		candidate = fmt.Sprintf("%s%d.%s", quarantinePrefix, i, name)
	}
	return candidate
}

// exists reports whether a file exists, or might: any error but fs.ErrNotExist counts as one.
func (s *Store) exists(name string) bool {
	_, err := s.fs.ReadFile(name)
	return !errors.Is(err, fs.ErrNotExist)
}
