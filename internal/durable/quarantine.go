package durable

import (
	"errors"
	"fmt"
	"io/fs"
)

// maxQuarantined bounds the quarantined files of a folder. They are never deleted; from this number on nothing is saved
// until somebody has removed some.
const maxQuarantined = 64

// ErrQuarantineFull means that nothing is saved because the folder has maxQuarantined quarantined files.
var ErrQuarantineFull = errors.New("too many files are set aside: look at them and move them away")

// quarantine renames an unusable file so that nothing reads it again. A file that can't be renamed is read again, and
// found unusable again, at the next start.
func (s *Store) quarantine(name string, reason error) {
	if s.access == ReadOnly {
		s.log("state passed over", "file", name, "why", reason)
		return
	}
	newName := s.unusedQuarantineName(name)
	if err := s.fs.Rename(name, newName); err != nil {
		s.log("state passed over", "file", name, "why", reason, "err", err)
		return
	}
	s.quarantined++
	s.log("state set aside", "file", name, "as", newName, "why", reason)
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
