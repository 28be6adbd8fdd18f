package durable

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// retainedGenerations is the number of records of each kind that are retained: the newest and the previous one.
const retainedGenerations = 2

// Access says whether a Store may change its folder.
type Access int

const (
	// ReadOnly is for a process without the folder's lock: it loads records and changes nothing.
	ReadOnly Access = iota
	// ReadWrite is for the process that holds the folder's lock.
	ReadWrite
)

// Store loads and saves records in a state folder. It is used from one goroutine at a time.
type Store struct {
	fs     FS
	owner  string
	access Access
	log    LogFunc
	// nextGeneration is the generation of the next save, by kind.
	nextGeneration map[string]uint64
	// quarantined is the number of quarantined files in the folder.
	quarantined int
}

// OpenStore lists a folder and returns a store on it. owner identifies the balancer and its site, in 1 to maxNameSize bytes:
// records of another owner are not used. With ReadWrite the caller must hold the folder's lock. OpenStore returns an error
// if the owner is not valid or the folder can't be listed.
func OpenStore(fs FS, owner string, access Access, log LogFunc) (*Store, error) {
	if owner == "" || len(owner) > maxNameSize {
		return nil, fmt.Errorf("open state store: invalid owner %q: %d bytes, want 1 to %d", owner, len(owner), maxNameSize)
	}
	names, err := listFiles(fs)
	if err != nil {
		return nil, err
	}
	s := &Store{fs: fs, owner: owner, access: access, log: log, nextGeneration: map[string]uint64{}}
	for _, name := range names {
		if kind, generation, ok := parseFileName(name); ok {
			s.nextGeneration[kind] = max(s.nextGeneration[kind], generation+1)
		} else if isQuarantined(name) {
			s.quarantined++
		}
	}
	return s, nil
}

// Load returns the newest usable record of a kind, and false if there is none. version is the version of the payload that
// this program writes. A record whose version differs from it by at most one is usable: the kind's decoder ignores what it
// does not know. Unusable files are quarantined and logged.
func (s *Store) Load(kind string, version uint16) (Record, bool) {
	names, err := s.recordFiles(kind)
	if err != nil {
		s.log("state folder listing failed", "kind", kind, "err", err)
		return Record{}, false
	}
	for _, name := range names {
		r, err := s.readRecord(name)
		if err == nil && !isSupportedVersion(r.Version, version) {
			err = fmt.Errorf("%w %d, supported is %d and the versions next to it", ErrUnsupportedVersion, r.Version, version)
		}
		if err == nil {
			return r, true
		}
		s.quarantine(name, err)
	}
	return Record{}, false
}

// isSupportedVersion reports whether a program that writes version own can read version stored.
func isSupportedVersion(stored, own uint16) bool {
	return stored <= own+1 && stored+1 >= own
}

// readRecord reads and decodes one file, and checks that the record matches the file's name and belongs to the store's owner.
func (s *Store) readRecord(name string) (Record, error) {
	content, err := s.fs.ReadFile(name)
	if err != nil {
		return Record{}, err
	}
	r, err := decode(content)
	if err != nil {
		return Record{}, err
	}
	if err := checkFileName(name, r); err != nil {
		return Record{}, err
	}
	if r.Owner != s.owner {
		return Record{}, fmt.Errorf("%w: %s", ErrForeignOwner, r.Owner)
	}
	return r, nil
}

// checkFileName returns an error if a record's kind or generation differs from its file's name.
func checkFileName(name string, r Record) error {
	kind, generation, _ := parseFileName(name)
	if r.Kind != kind || r.Generation != generation {
		return &CorruptError{Damage: DamageMismatchedRecord, BelongsTo: recordFileName(r.Kind, r.Generation)}
	}
	return nil
}

// Save writes a new record of a kind and waits until it is durable. Once Save has returned nil the record survives a crash
// and a power loss. After an error the previous records are unchanged, and the next Save may succeed. The error is a
// RecordError if the write failed, and ErrReadOnly or ErrQuarantineFull if the folder does not accept saves.
func (s *Store) Save(kind string, version uint16, savedAt time.Time, payload []byte) error {
	if err := s.checkSave(kind, payload); err != nil {
		return err
	}
	r := Record{
		Kind:       kind,
		Owner:      s.owner,
		Version:    version,
		Generation: s.nextGeneration[kind],
		SavedAt:    savedAt,
		Payload:    payload,
	}
	s.nextGeneration[kind]++ // also if the save fails, so that no file name is used twice
	if err := s.writeRecord(r); err != nil {
		return newRecordError(OperationSave, recordFileName(r.Kind, r.Generation), err)
	}
	s.removeOldRecords(kind)
	return nil
}

// checkSave returns an error if a save can't be attempted.
func (s *Store) checkSave(kind string, payload []byte) error {
	switch {
	case s.access == ReadOnly:
		return ErrReadOnly
	case !isValidKind(kind):
		return fmt.Errorf("save record: invalid kind %q: want 1 to %d lower-case letters and hyphens", kind, maxKindLength)
	case len(payload) > maxPayloadSize:
		return fmt.Errorf("save record %s: payload has %d bytes, at most %d are allowed", kind, len(payload), maxPayloadSize)
	case s.quarantined >= maxQuarantined:
		return ErrQuarantineFull
	default:
		return nil
	}
}

// writeRecord writes a record under a temporary name, and renames it once its content is durable.
func (s *Store) writeRecord(r Record) error {
	temporary := r.Kind + temporarySuffix
	if err := s.writeSynced(temporary, r.encode()); err != nil {
		_ = s.fs.Remove(temporary) // if this fails, the next save truncates the file
		return err
	}
	if err := s.fs.Rename(temporary, recordFileName(r.Kind, r.Generation)); err != nil {
		return err
	}
	return s.fs.Sync()
}

// writeSynced writes a file and syncs its content.
func (s *Store) writeSynced(name string, content []byte) error {
	f, err := s.fs.Create(name)
	if err != nil {
		return err
	}
	if _, err := f.Write(content); err != nil {
		f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

// removeOldRecords removes all but the newest retainedGenerations records of a kind. If that fails, a later save removes them.
func (s *Store) removeOldRecords(kind string) {
	names, err := s.recordFiles(kind)
	if err != nil {
		return
	}
	for _, name := range names[min(len(names), retainedGenerations):] {
		if err := s.fs.Remove(name); err != nil {
			s.log("old record not removed", recordLogAttributes(name, "err", err)...)
		}
	}
}

// Kinds returns the kinds that have a record, sorted. It returns an error if the folder can't be listed.
func (s *Store) Kinds() ([]string, error) {
	names, err := listFiles(s.fs)
	if err != nil {
		return nil, err
	}
	var kinds []string
	for _, name := range names {
		if kind, _, ok := parseFileName(name); ok && !slices.Contains(kinds, kind) {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	return kinds, nil
}

// recordFiles returns the file names of a kind's records, the newest first.
func (s *Store) recordFiles(kind string) ([]string, error) {
	names, err := listFiles(s.fs)
	if err != nil {
		return nil, err
	}
	names = slices.DeleteFunc(names, func(name string) bool {
		fileKind, _, ok := parseFileName(name)
		return !ok || fileKind != kind
	})
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(b, a) })
	return names, nil
}

func listFiles(fs FS) ([]string, error) {
	names, err := fs.List()
	if err != nil {
		return nil, fmt.Errorf("list state folder: %w", err)
	}
	return names, nil
}
