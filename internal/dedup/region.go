package dedup

import (
	"bytes"
	"encoding/binary"
)

// The layout of a region, in bytes. An ID belongs to the bucket that its hash selects.
const (
	entrySize      = 16 // the hash of the ID, and the sequence number of its registration
	bucketEntries  = 8
	bucketSize     = bucketEntries * entrySize
	bucketCount    = 2048
	regionSize     = bucketCount * bucketSize
	regionCapacity = bucketCount * bucketEntries
)

// entry is a registered ID. Its zero value is an empty entry.
type entry struct {
	id       ID
	sequence uint64 // orders registrations; 0: the entry is empty
}

// decodeEntry returns the entry with an index of a bucket.
func decodeEntry(bucket []byte, index int) entry {
	encoded := bucket[index*entrySize:]
	return entry{id: ID(binary.LittleEndian.Uint64(encoded)), sequence: binary.LittleEndian.Uint64(encoded[8:])}
}

// encode writes the entry at the beginning of p.
func (e entry) encode(p []byte) {
	binary.LittleEndian.PutUint64(p, uint64(e.id))
	binary.LittleEndian.PutUint64(p[8:], e.sequence)
}

// bucketOffset returns the offset of an ID's bucket in a region.
func bucketOffset(id ID) int { return int(uint64(id)%bucketCount) * bucketSize }

// find returns the index of an ID in a bucket, or -1.
func find(bucket []byte, id ID) int {
	for i := range bucketEntries {
		if e := decodeEntry(bucket, i); e.sequence > 0 && e.id == id {
			return i
		}
	}
	return -1
}

// replaceable returns the index of an empty entry of a bucket or, if there is none, of the oldest one.
func replaceable(bucket []byte) (index int) {
	oldest := decodeEntry(bucket, 0).sequence
	for i := range bucketEntries {
		if sequence := decodeEntry(bucket, i).sequence; sequence < oldest {
			index = i
			oldest = sequence
		}
	}
	return index
}

// lastSequence returns the greatest sequence number in a region.
func lastSequence(region []byte) (last uint64) {
	for len(region) > 0 {
		last = max(last, decodeEntry(region, 0).sequence)
		region = region[entrySize:]
	}
	return last
}

// isEmpty reports whether a bucket has no entry.
func isEmpty(bucket []byte) bool { return len(bytes.TrimLeft(bucket, "\x00")) == 0 }
