package durable

import (
	"errors"
	"fmt"
	"io/fs"
)

// maxQuarantined limits the number of quarantined files in a folder. This package never deletes them; at the limit saves are
// refused until an operator has removed some.
const maxQuarantined = 64

// quarantine renames an unusable file so that it is not loaded again, and logs it. A file that can't be renamed is read
// again at the next start, and rejected again.
func (s *Store) quarantine(name string, reason error) {
	if s.access == ReadOnly {
		s.log("record ignored", recordLogAttributes(name, "err", reason)...)
		return
	}
	newName, err := s.moveToQuarantine(name)
	if err != nil {
		s.log("quarantine failed", recordLogAttributes(name, "reason", reason, "err", err)...)
		return
	}
	s.log("record quarantined", recordLogAttributes(name, "renamed_to", newName, "err", reason)...)
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

// recordLogAttributes returns the log keys and values that describe a record's file, followed by the given others.
func recordLogAttributes(name string, others ...any) []any {
	kind, generation, _ := parseFileName(name)
	return append([]any{"file", name, "kind", kind, "generation", generation}, others...)
}

// unusedQuarantineName returns a name in quarantine that no other file has.
func (s *Store) unusedQuarantineName(name string) string {
	candidate := quarantinePrefix + name
	for i := 1; s.exists(candidate); i++ {
		candidate = fmt.Sprintf("%s%d.%s", quarantinePrefix, i, name)
	}
	return candidate
}

// exists reports whether a file exists. If an error other than fs.ErrNotExist leaves that unknown, it returns true, so that
// an existing file is never replaced.
func (s *Store) exists(name string) bool {
	_, err := s.fs.ReadFile(name)
	return !errors.Is(err, fs.ErrNotExist)
}
