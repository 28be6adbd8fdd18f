// Package durable keeps what a balancer has to know again after it has ended in any way: records of a few kinds, each
// replaced as a whole.
//
// What it promises: a record that was saved is there after a crash or a power loss, or a later one of its kind; a record
// that was being saved is there whole or not at all; what is read was written by this balancer and is whole to the bit.
// What it does not promise: that records of different kinds are of one moment.
//
// A save writes a new file, syncs it, gives it its name, syncs the folder, and only then lets the one before the last
// go. So there are always two: where the newest can't be used the one before it is, and where neither can, nothing. What
// can't be used is set aside under another name, for people to look at, and never read again. A failed sync fails its
// save: the file is not named, and the next save writes a new one from memory.
//
// The Store is pure: files, time and log are handed in. Keeper, the shell about it, has the lock, the goroutine and the
// bounds on waiting.
package durable

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// keptGenerations is how many states of a kind there are: the newest, and the one before it.
	keptGenerations = 2
	// mostAside bounds the files set aside. Over it nothing more is saved until somebody has looked: they are never deleted.
	mostAside = 64
	// mostStarts is how many starts may end in the middle of their recovery before the state is taken to be why. Orders
	// of the operators are given up only after twice as many.
	mostStarts = 3
	startsFile = "starts"
	startsSize = 8 // the count so many times over: a damaged one counts as none
	suffix     = ".state"
	asideMark  = "aside."
	temporary  = ".new"
)

// ErrFull says that too much has been set aside.
var ErrFull = errors.New("too many files are set aside: look at them and move them away")

// FS is the folder as the store uses it. Names are plain, without a path.
type FS interface {
	List() ([]string, error)
	ReadFile(name string) ([]byte, error) // of one larger than a record may be: its begin, and an error
	Create(name string) (File, error)     // empties one that is there
	Rename(from, to string) error
	Remove(name string) error
	Sync() error // what was named, renamed and removed
}

// File is one being written.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

// LogFunc writes a line with its keys.
type LogFunc func(text string, keys ...any)

// Store is an open folder. It is used from one goroutine at a time.
type Store struct {
	fs    FS
	owner string
	log   LogFunc
	may   bool // write: this process holds the lock
	next  map[string]uint64
	aside int
}

// Open looks at a folder. may tells whether this process may write to it; without that it only reads.
func Open(fs FS, owner string, may bool, log LogFunc) (*Store, error) {
	if owner == "" || len(owner) > maxName {
		return nil, fmt.Errorf("owner %q: 1 to %d bytes are needed", owner, maxName)
	}
	s := &Store{fs: fs, owner: owner, log: log, may: may, next: map[string]uint64{}}
	names, err := fs.List()
	if err != nil {
		return nil, fmt.Errorf("reading the folder: %w", err)
	}
	for _, n := range names {
		if kind, generation, ok := parse(n); ok {
			s.next[kind] = max(s.next[kind], generation+1)
		} else if strings.HasPrefix(n, asideMark) {
			s.aside++
		}
	}
	return s, nil
}

// name is the file of a kind's generation.
func name(kind string, generation uint64) string {
	return fmt.Sprintf("%s-%016x%s", kind, generation, suffix)
}

// parse reads a file's name.
func parse(n string) (kind string, generation uint64, ok bool) {
	n, ok = strings.CutSuffix(n, suffix)
	at := strings.LastIndexByte(n, '-')
	if !ok || at < 1 || len(n)-at != 17 || strings.HasPrefix(n, asideMark) {
		return "", 0, false
	}
	generation, err := strconv.ParseUint(n[at+1:], 16, 64)
	return n[:at], generation, err == nil && validKind(n[:at])
}

// validKind tells whether a name may be that of a kind: small letters and hyphens, 32 at most.
func validKind(kind string) bool {
	return kind != "" && len(kind) <= 32 && strings.IndexFunc(kind, func(r rune) bool { return r != '-' && (r < 'a' || r > 'z') }) < 0
}

// files lists a kind's files, the newest first.
func (s *Store) files(kind string) ([]string, error) {
	names, err := s.fs.List()
	if err != nil {
		return nil, fmt.Errorf("reading the folder: %w", err)
	}
	names = slices.DeleteFunc(names, func(n string) bool {
		of, _, ok := parse(n)
		return !ok || of != kind
	})
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(b, a) })
	return names, nil
}

// Load finds the newest state of a kind that can be used by a program whose own version of it is given: one version
// more or less is, and the kind's decoder passes over what it does not know. What can't be used is set aside, and one
// log line says so. ok is false where there is none.
func (s *Store) Load(kind string, version uint16) (r Record, ok bool) {
	names, err := s.files(kind)
	if err != nil {
		s.log("state not read", "kind", kind, "err", err)
		return Record{}, false
	}
	for _, n := range names {
		r, err := s.read(n)
		if err == nil && (r.Version > version+1 || r.Version+1 < version) {
			err = fmt.Errorf("%w: %d, its own is %d", ErrVersion, r.Version, version)
		}
		if err == nil {
			return r, true
		}
		s.setAside(n, err)
	}
	return Record{}, false
}

// read reads one file.
func (s *Store) read(n string) (Record, error) {
	text, err := s.fs.ReadFile(n)
	if err != nil {
		return Record{}, err
	}
	r, err := decode(text)
	if err != nil {
		return Record{}, err
	}
	if kind, generation, _ := parse(n); r.Kind != kind || r.Generation != generation {
		return Record{}, fmt.Errorf("%w: it says that it is %s", ErrTorn, name(r.Kind, r.Generation))
	}
	if r.Owner != s.owner {
		return Record{}, fmt.Errorf("%w: %s", ErrOwner, r.Owner)
	}
	return r, nil
}

// setAside gives a file a name under which nothing reads it again. One that can't be renamed is read again at the next
// start, and fails again.
func (s *Store) setAside(n string, why error) {
	if !s.may {
		s.log("state passed over", "file", n, "why", why)
		return
	}
	to := asideMark + n
	for i := 1; s.exists(to); i++ {
		to = fmt.Sprintf("%s%d.%s", asideMark, i, n)
	}
	if err := s.fs.Rename(n, to); err != nil {
		s.log("state passed over", "file", n, "why", why, "err", err)
		return
	}
	s.aside++
	s.log("state set aside", "file", n, "as", to, "why", why)
}

func (s *Store) exists(n string) bool {
	_, err := s.fs.ReadFile(n)
	return !errors.Is(err, fs.ErrNotExist)
}

// Save writes a new state of a kind. When it returns nil the state outlives anything that happens to the process or its
// power. After an error the states before stand, and the next Save may work.
func (s *Store) Save(kind string, version uint16, at time.Time, payload []byte) error {
	switch {
	case !s.may:
		return errors.New("another process holds the folder")
	case !validKind(kind):
		return fmt.Errorf("%q is no name of a kind", kind)
	case len(payload) > maxPayload:
		return fmt.Errorf("%s: %d bytes are more than a record holds", kind, len(payload))
	case s.aside >= mostAside:
		return ErrFull
	}
	generation := s.next[kind]
	r := Record{Kind: kind, Owner: s.owner, Version: version, Generation: generation, SavedAt: at, Payload: payload}
	n, fresh := name(kind, generation), kind+temporary
	s.next[kind]++ // also where it fails: a name is never used twice
	if err := s.write(fresh, r.encode()); err != nil {
		s.fs.Remove(fresh) // it is written over if it stays
		return fmt.Errorf("saving %s: %w", kind, err)
	}
	if err := s.fs.Rename(fresh, n); err != nil {
		return fmt.Errorf("saving %s: %w", kind, err)
	}
	if err := s.fs.Sync(); err != nil {
		return fmt.Errorf("saving %s: %w", kind, err)
	}
	names, err := s.files(kind)
	if err != nil {
		return nil // the new state is safe; the old ones go with the next
	}
	for _, old := range names[min(len(names), keptGenerations):] {
		if err := s.fs.Remove(old); err != nil {
			s.log("old state not removed", "file", old, "err", err)
		}
	}
	return nil
}

// write writes and syncs a file.
func (s *Store) write(n string, text []byte) error {
	f, err := s.fs.Create(n)
	if err != nil {
		return err
	}
	if _, err := f.Write(text); err != nil {
		f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// Kinds lists what kinds have a state.
func (s *Store) Kinds() ([]string, error) {
	names, err := s.fs.List()
	if err != nil {
		return nil, fmt.Errorf("reading the folder: %w", err)
	}
	var kinds []string
	for _, n := range names {
		if kind, _, ok := parse(n); ok && !slices.Contains(kinds, kind) {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	return kinds, nil
}

// Begin notes that a recovery begins. Where several in a row have not come to Recovered, what they read is set aside,
// but for the kinds of orders, which are only after twice as many.
func (s *Store) Begin(orders ...string) {
	if !s.may {
		return
	}
	starts := 0
	if text, err := s.fs.ReadFile(startsFile); err == nil && len(text) == startsSize && bytes.Count(text, text[:1]) == startsSize {
		starts = int(text[0])
	}
	if starts >= mostStarts {
		kinds, _ := s.Kinds() // where the folder can't be read nothing is loaded either
		for _, kind := range kinds {
			if slices.Contains(orders, kind) && starts < 2*mostStarts {
				continue
			}
			names, _ := s.files(kind)
			for _, n := range names {
				s.setAside(n, fmt.Errorf("%d starts ended in the middle of their recovery", starts))
			}
		}
	}
	s.count(min(starts+1, 2*mostStarts))
}

// Recovered notes that a recovery has come to its end.
func (s *Store) Recovered() {
	if s.may {
		s.count(0)
	}
}

// count writes the count of starts without waiting for the disk: a process that crashes leaves what it has written, and
// after a power loss there is no loop of crashes to break.
func (s *Store) count(starts int) {
	f, err := s.fs.Create(startsFile)
	if err == nil {
		_, err = f.Write(bytes.Repeat([]byte{byte(starts)}, startsSize))
		err = errors.Join(err, f.Close())
	}
	if err != nil {
		s.log("start not counted", "err", err)
	}
}
