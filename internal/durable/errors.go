package durable

import (
	"cmp"
	"errors"
	"fmt"
)

// Errors that callers distinguish with errors.Is. RecordError and FolderError say which record or folder they are about.
var (
	// ErrCorrupt means that a file is not a complete, unchanged record. Every CorruptError matches it.
	ErrCorrupt = errors.New("corrupt record")
	// ErrChecksumMismatch means that the header or the payload of a record does not match its checksum. Such an error
	// matches ErrCorrupt too.
	ErrChecksumMismatch = errors.New("checksum mismatch")
	// ErrUnknownFormat means that this program can't read the record's format. Every FormatError wraps it.
	ErrUnknownFormat = errors.New("unknown record format")
	// ErrForeignOwner means that the record was written by another balancer, or by a balancer of another site.
	ErrForeignOwner = errors.New("record of another balancer or site")
	// ErrUnsupportedVersion means that the version of a record's payload differs by more than one from this program's.
	ErrUnsupportedVersion = errors.New("unsupported record version")
	// ErrCrashLoop means that a record is quarantined because several consecutive starts did not complete their recovery.
	ErrCrashLoop = errors.New("crash loop")
	// ErrReadOnly means that a save was refused because another process holds the folder's lock.
	ErrReadOnly = errors.New("state folder is locked by another process")
	// ErrWriteTimeout means that the disk did not confirm a save in time. The save may still succeed.
	ErrWriteTimeout = errors.New("write timed out")
	// ErrClosed means that a save was refused because the Writer is closed.
	ErrClosed = errors.New("state writer is closed")
	// ErrQuarantineFull means that a save was refused because the folder has maxQuarantined quarantined files or more.
	ErrQuarantineFull = errors.New("quarantine limit reached")

	// ErrSymbolicLink means that the path of a state folder is a symbolic link.
	ErrSymbolicLink = errors.New("is a symbolic link: name the folder itself")
	// ErrNotFolder means that the path of a state folder is not a directory.
	ErrNotFolder = errors.New("is not a folder")
	// ErrForeignFolder means that another user of the operating system owns a state folder.
	ErrForeignFolder = errors.New("belongs to another user")
	// ErrWritableByOthers means that other users may write to a state folder.
	ErrWritableByOthers = errors.New("is writable by others: remove that permission")
)

// Operation is the operation on a record that failed.
type Operation string

// The operations that a RecordError names.
const (
	OperationInspect Operation = "inspect"
	OperationSave    Operation = "save"
)

// RecordError says which operation failed on which record, and why.
type RecordError struct {
	Operation  Operation
	File       string // name without a path; empty if the save failed before its file was named
	Kind       string // empty if File is not the name of a record
	Generation uint64 // of the record; also 0 if File or Kind is empty
	Err        error  // the cause; never nil
}

// Error names the operation, the record and the cause.
func (e *RecordError) Error() string {
	return fmt.Sprintf("%s record %s: %v", e.Operation, cmp.Or(e.File, e.Kind), e.Err)
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Err }

// newRecordError returns a RecordError with the kind and generation in the file's name.
func newRecordError(operation Operation, file string, cause error) *RecordError {
	kind, generation, _ := parseFileName(file)
	return &RecordError{Operation: operation, File: file, Kind: kind, Generation: generation, Err: cause}
}

// FolderError says why a path can't be used as a state folder.
type FolderError struct {
	Path string
	Err  error // ErrSymbolicLink, ErrNotFolder, ErrForeignFolder or ErrWritableByOthers, possibly wrapped
}

// Error names the folder and the cause.
func (e *FolderError) Error() string { return e.Path + " " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FolderError) Unwrap() error { return e.Err }

// FormatError says that a record is of a format that this program can't read.
type FormatError struct {
	Format int // of the record
}

// Error names the record's format and the supported one.
func (e *FormatError) Error() string {
	return fmt.Sprintf("%v %d, supported is %d", ErrUnknownFormat, e.Format, recordFormat)
}

// Unwrap returns ErrUnknownFormat.
func (e *FormatError) Unwrap() error { return ErrUnknownFormat }

// Damage is the reason why a file is not a complete, unchanged record.
type Damage int

// The types of damage.
const (
	DamageShortHeader      Damage = iota // the file ends before the fixed part of the header does
	DamageMagic                          // the file does not begin with the magic number of a record
	DamageTruncatedHeader                // the file ends before the header does, or a length in the header is too large
	DamageHeaderChecksum                 // the header does not match its checksum
	DamagePayloadSize                    // the payload is truncated, or data follow the record
	DamagePayloadChecksum                // the payload does not match its checksum
	DamageFileName                       // the file's name is not a valid name of a record
	DamageMismatchedRecord               // the kind or generation in the record differs from the file's name
	DamageNotRegularFile                 // the file is a folder, a named pipe or a device
	DamageFileTooLarge                   // the file is larger than any record
)

var damageTexts = map[Damage]string{
	DamageShortHeader:      "shorter than a header",
	DamageMagic:            "no magic number",
	DamageTruncatedHeader:  "truncated header",
	DamageHeaderChecksum:   "header checksum mismatch",
	DamagePayloadSize:      "payload size mismatch",
	DamagePayloadChecksum:  "payload checksum mismatch",
	DamageFileName:         "invalid file name",
	DamageMismatchedRecord: "record of another file",
	DamageNotRegularFile:   "not a regular file",
	DamageFileTooLarge:     "larger than any record",
}

// String describes the damage.
func (d Damage) String() string { return damageTexts[d] }

// CorruptError says that a file is not a complete, unchanged record, and why.
type CorruptError struct {
	Damage Damage
	// BelongsTo is the file name that matches the record in the file, if Damage is DamageMismatchedRecord.
	BelongsTo string
}

// Error names the damage.
func (e *CorruptError) Error() string {
	text := fmt.Sprintf("%v: %v", ErrCorrupt, e.Damage)
	if e.BelongsTo != "" {
		text += " " + e.BelongsTo
	}
	return text
}

// Is reports a match with ErrCorrupt, and with ErrChecksumMismatch if a checksum did not match.
func (e *CorruptError) Is(target error) bool {
	isChecksumDamage := e.Damage == DamageHeaderChecksum || e.Damage == DamagePayloadChecksum
	return target == ErrCorrupt || target == ErrChecksumMismatch && isChecksumDamage
}

func newCorruptError(damage Damage) error { return &CorruptError{Damage: damage} }
