package membership

import (
	"errors"
	"fmt"
)

// Errors that callers distinguish with errors.Is. KeyFileError and InvalidMemberError add the file or the member.
var (
	// ErrInvalidKey means that a line of a key file is not an encryption key.
	ErrInvalidKey = errors.New("not a base64-encoded key of 16, 24 or 32 bytes")
	// ErrKeyCount means that a key file has no keys, or more than maxKeys.
	ErrKeyCount = errors.New("number of keys out of range")
	// ErrKeyFileTooLarge means that a key file has more than maxKeyFileSize bytes.
	ErrKeyFileTooLarge = errors.New("key file too large")
	// ErrInvalidMember means that a member has an invalid field. Every InvalidMemberError wraps it.
	ErrInvalidMember = errors.New("invalid member")
	// ErrMetadataTooLarge means that a member's encoded metadata exceeds maxMetadataSize.
	ErrMetadataTooLarge = errors.New("metadata too large")
	// ErrUnsupportedMetadata means that a member's metadata requires a later version of this program.
	ErrUnsupportedMetadata = errors.New("unsupported metadata format")
	// ErrIdentityMismatch means that a memberlist node publishes the metadata of another process.
	ErrIdentityMismatch = errors.New("node name does not match metadata")
)

// KeyFileError reports a key file that can't be read or is invalid.
type KeyFileError struct {
	Path string
	Line int   // 1-based; 0 if the error doesn't concern a single line
	Err  error // ErrInvalidKey, ErrKeyCount, ErrKeyFileTooLarge or an error of the operating system, possibly wrapped
}

// Error returns the file, the line if the error concerns one, and the cause.
func (e *KeyFileError) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("membership: key file %s: line %d: %v", e.Path, e.Line, e.Err)
	}
	return fmt.Sprintf("membership: key file %s: %v", e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *KeyFileError) Unwrap() error { return e.Err }

// InvalidMemberError reports an invalid field of a member.
type InvalidMemberError struct {
	Member string // name, which may be the invalid field
	Field  string
	Reason string
}

// Error returns the member's name, truncated to 20 characters, the field and the reason.
func (e *InvalidMemberError) Error() string {
	return fmt.Sprintf("%v %.20q: %s %s", ErrInvalidMember, e.Member, e.Field, e.Reason)
}

// Unwrap returns ErrInvalidMember.
func (e *InvalidMemberError) Unwrap() error { return ErrInvalidMember }
