package dedup

import (
	"errors"
	"hash/fnv"
	"sync"
)

// ID identifies a request.
type ID uint64

// IDOf returns the ID for the text that a client sent: its FNV-1a hash, which is the same in all processes. Different texts have
// different IDs but for a chance of 2^-64. A client that wants another one's request to be refused has to know its text.
func IDOf(text string) ID {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text)) // hash.Hash.Write never returns an error
	return ID(hash.Sum64())
}

// peers gives access to the regions of other processes, and mirrors this process's region for them.
type peers interface {
	// writeOwn writes bytes at an offset of this process's region.
	writeOwn(p []byte, offset int) error
	// anyOther reports whether a bucket of another process's region satisfies a condition.
	anyOther(offset int, condition func(bucket []byte) bool) (bool, error)
}

// Table has the IDs of the requests that may have been executed. It is safe for concurrent use. Its methods may wait for the
// temporary folder, if other processes share the table.
type Table struct {
	peers peers // nil: no other process shares the table

	mu       sync.Mutex // guards the fields below
	region   []byte
	sequence uint64 // the last one assigned
}

// NewTable returns a table that no other process shares.
func NewTable() *Table { return &Table{region: make([]byte, regionSize)} }

// Register registers the ID of a request that is about to be executed. registered is false if the ID is registered already, by
// this process or another one: the request must not be executed. An error means that other processes could not be asked or
// notified; registered then tells about this process only.
func (t *Table) Register(id ID) (registered bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if find(t.bucket(id), id) >= 0 {
		return false, nil
	}
	t.sequence++
	index := replaceable(t.bucket(id))
	written := t.setEntry(id, index, entry{id: id, sequence: t.sequence})
	if t.peers == nil {
		return true, nil
	}
	elsewhere, read := t.peers.anyOther(bucketOffset(id), func(bucket []byte) bool { return find(bucket, id) >= 0 })
	if elsewhere {
		return false, errors.Join(written, t.setEntry(id, index, entry{}))
	}
	return true, errors.Join(written, read)
}

// Remove removes the ID of a request that has certainly not been executed.
func (t *Table) Remove(id ID) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	index := find(t.bucket(id), id)
	if index < 0 { // it has made room for another one
		return nil
	}
	return t.setEntry(id, index, entry{})
}

// bucket returns the bucket of an ID in this process's region. The caller holds the lock.
func (t *Table) bucket(id ID) []byte {
	offset := bucketOffset(id)
	return t.region[offset : offset+bucketSize]
}

// setEntry sets an entry in the bucket of an ID, here and for the other processes. The caller holds the lock.
func (t *Table) setEntry(id ID, index int, e entry) error {
	encoded := t.bucket(id)[index*entrySize:][:entrySize]
	e.encode(encoded)
	if t.peers == nil {
		return nil
	}
	return t.peers.writeOwn(encoded, bucketOffset(id)+index*entrySize)
}
