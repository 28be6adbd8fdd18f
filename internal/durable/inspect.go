package durable

import (
	"fmt"
	"slices"
	"strings"
)

// Found is a file of a state folder.
type Found struct {
	File   string
	Record Record
	Err    error // why it is no record
	Aside  bool  // it has been set aside before
}

// Inspect reads every state in a folder, whoever it is of, and changes nothing.
func Inspect(fs FS) ([]Found, error) {
	names, err := fs.List()
	if err != nil {
		return nil, fmt.Errorf("reading the folder: %w", err)
	}
	slices.Sort(names)
	var all []Found
	for _, n := range names {
		if !strings.HasSuffix(n, suffix) {
			continue
		}
		f := Found{File: n, Aside: strings.HasPrefix(n, asideMark)}
		kind, generation, named := parse(n)
		text, err := fs.ReadFile(n)
		if f.Err = err; err == nil {
			f.Record, f.Err = decode(text)
		}
		switch {
		case f.Aside || f.Err != nil:
		case !named:
			f.Err = fmt.Errorf("%w: its name is none of a state", ErrTorn)
		case f.Record.Kind != kind || f.Record.Generation != generation:
			f.Err = fmt.Errorf("%w: it says that it is %s", ErrTorn, name(f.Record.Kind, f.Record.Generation))
		}
		all = append(all, f)
	}
	return all, nil
}

// Repair sets aside what is no whole state, so that the next start has nothing to pass over. It returns how many files.
// The caller holds the lock.
func Repair(fs FS, log LogFunc) (int, error) {
	all, err := Inspect(fs)
	if err != nil {
		return 0, err
	}
	s, err := Open(fs, "repair", true, log)
	if err != nil {
		return 0, err
	}
	before := s.aside
	for _, f := range all {
		if f.Err != nil && !f.Aside {
			s.setAside(f.File, f.Err)
		}
	}
	return s.aside - before, nil
}
