package durable

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The format of a record's file. All integers are little-endian; sizes and lengths are in bytes:
//
//	magic 8 | format 2 | version of the kind 2 | length of kind 2 | length of owner 2 |
//	generation 8 | saved at, Unix ns 8 | length of payload 4 | kind | owner | header checksum 8 |
//	payload | payload checksum 8
//
// The header checksum is the xxhash64 of all bytes before it. The payload checksum is the xxhash64 of the header checksum
// and the payload, and is the end of the file. A file that differs in any bit from what was written is not a valid record.
const (
	recordMagic  = "SPRUCEST"
	recordFormat = 1

	offsetFormat        = len(recordMagic)
	offsetVersion       = offsetFormat + 2
	offsetKindLength    = offsetVersion + 2
	offsetOwnerLength   = offsetKindLength + 2
	offsetGeneration    = offsetOwnerLength + 2
	offsetSavedAt       = offsetGeneration + 8
	offsetPayloadLength = offsetSavedAt + 8
	// fixedHeaderSize is the size of the fields before kind and owner.
	fixedHeaderSize = offsetPayloadLength + 4

	checksumSize   = 8
	maxPayloadSize = 8 << 20 // bytes
	// maxNameSize limits the length of the kind and that of the owner in a record's header, in bytes.
	maxNameSize = 128
)

// Record is one saved state of a kind.
type Record struct {
	Kind       string    // 1 to maxKindLength lower-case letters and hyphens
	Owner      string    // the balancer and its site, 1 to maxNameSize bytes
	Version    uint16    // version of the payload's format; each kind has its own versions
	Generation uint64    // counts the saves of the kind, from 0
	SavedAt    time.Time // by the wall clock of the saving process, to the nanosecond
	Payload    []byte    // at most maxPayloadSize bytes
}

// encode returns the content of the record's file.
func (r Record) encode() []byte {
	size := fixedHeaderSize + len(r.Kind) + len(r.Owner) + 2*checksumSize + len(r.Payload)
	b := make([]byte, 0, size)
	b = append(b, recordMagic...)
	b = binary.LittleEndian.AppendUint16(b, recordFormat)
	b = binary.LittleEndian.AppendUint16(b, r.Version)
	b = binary.LittleEndian.AppendUint16(b, uint16(len(r.Kind)))
	b = binary.LittleEndian.AppendUint16(b, uint16(len(r.Owner)))
	b = binary.LittleEndian.AppendUint64(b, r.Generation)
	b = binary.LittleEndian.AppendUint64(b, uint64(r.SavedAt.UnixNano()))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(r.Payload)))
	b = append(b, r.Kind...)
	b = append(b, r.Owner...)
	headerSize := len(b)
	b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b))
	b = append(b, r.Payload...)
	return binary.LittleEndian.AppendUint64(b, xxhash.Sum64(b[headerSize:]))
}

// decode parses the content of a record's file. The payload of the returned record shares its memory with b. decode never
// panics: it checks the lengths in the header against limits and the size of b, and uses the length of the payload only
// after the header checksum was verified.
func decode(b []byte) (Record, error) {
	headerSize, err := verifyHeader(b)
	if err != nil {
		return Record{}, err
	}
	payload, err := verifyPayload(b, headerSize)
	if err != nil {
		return Record{}, err
	}
	kindEnd := fixedHeaderSize + uint16At(b, offsetKindLength)
	savedAt := binary.LittleEndian.Uint64(b[offsetSavedAt:])
	return Record{
		Kind:       string(b[fixedHeaderSize:kindEnd]),
		Owner:      string(b[kindEnd:headerSize]),
		Version:    uint16(uint16At(b, offsetVersion)),
		Generation: binary.LittleEndian.Uint64(b[offsetGeneration:]),
		SavedAt:    time.Unix(0, int64(savedAt)),
		Payload:    payload,
	}, nil
}

// verifyHeader checks the header, its checksum and the format, and returns the header's size without the checksum.
func verifyHeader(b []byte) (int, error) {
	if len(b) < fixedHeaderSize {
		return 0, newCorruptError(DamageShortHeader)
	}
	if string(b[:len(recordMagic)]) != recordMagic {
		return 0, newCorruptError(DamageMagic)
	}
	kindLength := uint16At(b, offsetKindLength)
	ownerLength := uint16At(b, offsetOwnerLength)
	headerSize := fixedHeaderSize + kindLength + ownerLength
	if kindLength > maxNameSize || ownerLength > maxNameSize || len(b) < headerSize+checksumSize {
		return 0, newCorruptError(DamageTruncatedHeader)
	}
	if xxhash.Sum64(b[:headerSize]) != binary.LittleEndian.Uint64(b[headerSize:]) {
		return 0, newCorruptError(DamageHeaderChecksum)
	}
	if format := uint16At(b, offsetFormat); format != recordFormat {
		return 0, &FormatError{Format: format}
	}
	return headerSize, nil
}

// verifyPayload checks the payload that follows a verified header, and returns it.
func verifyPayload(b []byte, headerSize int) ([]byte, error) {
	size := int(binary.LittleEndian.Uint32(b[offsetPayloadLength:]))
	start := headerSize + checksumSize
	end := start + size
	if size > maxPayloadSize || len(b) != end+checksumSize {
		return nil, newCorruptError(DamagePayloadSize)
	}
	if xxhash.Sum64(b[headerSize:end]) != binary.LittleEndian.Uint64(b[end:]) {
		return nil, newCorruptError(DamagePayloadChecksum)
	}
	return b[start:end], nil
}

func uint16At(b []byte, offset int) int {
	return int(binary.LittleEndian.Uint16(b[offset:]))
}
