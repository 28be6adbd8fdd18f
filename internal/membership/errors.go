package membership

import (
	"errors"
	"fmt"
)

// Errors that callers tell apart with errors.Is. KeyFileError and InvalidMemberError say which file or member is wrong.
var (
	// ErrInvalidKey means that a line of a key file is not an encryption key.
	ErrInvalidKey = errors.New("is no key of 16, 24 or 32 bytes in base64")
	// ErrKeyCount means that a key file has no keys, or more than maxKeys.
	ErrKeyCount = errors.New("number of keys out of range")
	// ErrKeyFileTooLarge means that a key file has more than maxKeyFileSize bytes.
	ErrKeyFileTooLarge = errors.New("key file too large")
	// ErrInvalidMember means that a member has an invalid field. Every InvalidMemberError is one.
	ErrInvalidMember = errors.New("invalid member")
	// ErrMetadataTooLarge means that a member's encoded metadata exceeds maxMetadataSize.
	ErrMetadataTooLarge = errors.New("metadata too large")
	// ErrUnsupportedMetadata means that a member's metadata needs a later version of this program.
	ErrUnsupportedMetadata = errors.New("unsupported metadata format")
	// ErrIdentityMismatch means that a node of memberlist publishes the metadata of another process.
	ErrIdentityMismatch = errors.New("node name and metadata differ")
)

// KeyFileError says what is wrong with the file of encryption keys.
type KeyFileError struct {
	Path string
	Line int   // from 1; 0 if the error is not about a line
	Err  error // ErrInvalidKey, ErrKeyCount, ErrKeyFileTooLarge, or an error of the operating system; possibly wrapped
}

// Error names the file, the line if one is at fault, and the cause.
func (e *KeyFileError) Error() string {
	if e.Line > 0 {
		return fmt.Sprintf("membership: key file %s: line %d %v", e.Path, e.Line, e.Err)
	}
	return fmt.Sprintf("membership: key file %s: %v", e.Path, e.Err)
}

// Unwrap returns the cause.
func (e *KeyFileError) Unwrap() error { return e.Err }

// InvalidMemberError says which field of a member is invalid, and why.
type InvalidMemberError struct {
	Member string // its name, which may be invalid itself
	Field  string
	Reason string
}

// Error names the member, at most 20 bytes of it, the field and the reason.
func (e *InvalidMemberError) Error() string {
	return fmt.Sprintf("%v %.20q: %s %s", ErrInvalidMember, e.Member, e.Field, e.Reason)
}

// Unwrap returns ErrInvalidMember.
func (e *InvalidMemberError) Unwrap() error { return ErrInvalidMember }
