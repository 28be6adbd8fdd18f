package durable

import (
	"cmp"
	"errors"
	"fmt"
)

// Errors that callers tell apart with errors.Is. RecordError and FolderError say which record or folder failed.
var (
	// ErrCorrupt means that a file is not a complete, unchanged record. Every CorruptError is one.
	ErrCorrupt = errors.New("corrupt record")
	// ErrChecksumMismatch means that the header or the payload of a record differs from its checksum. The error is an
	// ErrCorrupt too.
	ErrChecksumMismatch = errors.New("checksum mismatch")
	// ErrUnknownFormat means that this program can't read the record's format. Every FormatError is one.
	ErrUnknownFormat = errors.New("unknown record format")
	// ErrForeignOwner means that another balancer, or the same of another site, wrote the record.
	ErrForeignOwner = errors.New("record of another balancer or site")
	// ErrUnsupportedVersion means that the kind's version is more than one away from this program's.
	ErrUnsupportedVersion = errors.New("unsupported record version")
	// ErrCrashLoop means that a record is given up because several starts in a row ended before they had recovered.
	ErrCrashLoop = errors.New("crash loop")
	// ErrReadOnly means that a save was refused because another process holds the folder's lock.
	ErrReadOnly = errors.New("state folder is locked by another process")
	// ErrWriteTimeout means that the disk has not confirmed a save in time. The save may still succeed.
	ErrWriteTimeout = errors.New("write timed out")
	// ErrClosed means that a save was refused because the Writer is closed.
	ErrClosed = errors.New("state writer is closed")
	// ErrQuarantineFull means that nothing is saved because the folder has maxQuarantined quarantined files.
	ErrQuarantineFull = errors.New("quarantine limit reached")

	// ErrSymbolicLink means that the path of a state folder is a symbolic link.
	ErrSymbolicLink = errors.New("is a symbolic link: name the folder itself")
	// ErrNotFolder means that the path of a state folder is that of a file.
	ErrNotFolder = errors.New("is not a folder")
	// ErrForeignFolder means that a state folder belongs to another user of the operating system.
	ErrForeignFolder = errors.New("belongs to another user")
	// ErrWritableByOthers means that other users may write to a state folder.
	ErrWritableByOthers = errors.New("is writable by others: remove that permission")
)

// Operation is what was done with a record when it failed.
type Operation string

// The operations that a RecordError names.
const (
	OperationInspect Operation = "inspect"
	OperationSave    Operation = "save"
)

// RecordError is an error with the record that it is about.
type RecordError struct {
	Operation  Operation
	File       string // name without a path; empty if the save has not chosen one
	Kind       string // empty if File is not the name of a record
	Generation uint64 // of the record; 0 too if File or Kind is empty
	Err        error  // the cause; never nil
}

// Error names the operation, the record and the cause.
func (e *RecordError) Error() string {
	return fmt.Sprintf("%s record %s: %v", e.Operation, cmp.Or(e.File, e.Kind), e.Err)
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Err }

// newRecordError returns a RecordError with the kind and generation that the file's name says.
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

// Error names both formats.
func (e *FormatError) Error() string {
	return fmt.Sprintf("%v %d, supported is %d", ErrUnknownFormat, e.Format, recordFormat)
}

// Unwrap returns ErrUnknownFormat.
func (e *FormatError) Unwrap() error { return ErrUnknownFormat }

// Damage is what is wrong with a file that is not a complete, unchanged record.
type Damage int

// The sorts of damage.
const (
	DamageShortHeader      Damage = iota // the file ends before the fixed part of the header does
	DamageMagic                          // the file does not begin as a record does
	DamageTruncatedHeader                // the file ends before the header does, or a length in it is too large
	DamageHeaderChecksum                 // the header differs from its checksum
	DamagePayloadSize                    // the payload is truncated, or something follows it
	DamagePayloadChecksum                // the payload differs from its checksum
	DamageFileName                       // the file's name is not that of a record
	DamageMismatchedRecord               // the content is the record of another file
	DamageNotRegularFile                 // the name is that of a folder, a symbolic link or a device
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

// String returns the damage in words.
func (d Damage) String() string { return damageTexts[d] }

// CorruptError says that a file is not a complete, unchanged record, and why.
type CorruptError struct {
	Damage Damage
	// BelongsTo is the name of the file that the content is the record of, if Damage is DamageMismatchedRecord.
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

// Is makes errors.Is find ErrCorrupt, and ErrChecksumMismatch if a checksum was wrong.
func (e *CorruptError) Is(target error) bool {
	isChecksum := e.Damage == DamageHeaderChecksum || e.Damage == DamagePayloadChecksum
	return target == ErrCorrupt || target == ErrChecksumMismatch && isChecksum
}

func corrupt(damage Damage) error { return &CorruptError{Damage: damage} }
