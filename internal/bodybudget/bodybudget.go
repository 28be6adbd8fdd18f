// Package bodybudget bounds the memory of buffered bodies of requests and responses.
package bodybudget

import (
	"io"
	"sync/atomic"
)

const (
	// MaxBuffered is the number of bytes of a request or response body that are buffered before the rest is streamed. Only a
	// request whose body is buffered completely can be sent again, and only a response that is buffered completely can be
	// discarded and requested again.
	MaxBuffered = 64 << 10
	// MinBuffered is the number of bytes of a body that are buffered even if the budget is exhausted.
	MinBuffered = 4 << 10
	// growthFactor is the factor by which a full body buffer grows.
	growthFactor = 4
)

// Budget bounds the total size of all body buffers. When it is exhausted, bodies are streamed before they reach
// MaxBuffered, through buffers whose number is bounded by the connection limit. It is safe for concurrent use.
type Budget struct{ available atomic.Int64 }

// New returns a budget of the given number of bytes.
func New(bytes int64) *Budget {
	b := &Budget{}
	b.available.Store(bytes)
	return b
}

// Reserve takes n bytes from the budget and reports whether that many were available.
func (b *Budget) Reserve(n int) bool {
	if b.available.Add(int64(-n)) >= 0 {
		return true
	}
	b.Release(n)
	return false
}

// Release returns n bytes to the budget. For the contents of a Buffer, n is the capacity of the slice.
func (b *Budget) Release(n int) { b.available.Add(int64(n)) }

// Available returns how many bytes can be reserved. It is negative while more than the budget is in use: see MinBuffered.
func (b *Budget) Available() int64 { return b.available.Load() }

// Buffer holds the beginning of one body, at most MaxBuffered bytes. It is not safe for concurrent use.
type Buffer struct {
	budget *Budget
	length int64 // of the body; -1: unknown
	limit  int   // bytes that are buffered at most
	data   []byte
}

// NewBuffer returns an empty buffer for a body of the given length, or of unknown length (-1). The capacity of its contents is
// reserved in the budget; the caller releases it.
func (b *Budget) NewBuffer(length int64) Buffer {
	limit := MaxBuffered
	if length >= 0 && length < MaxBuffered {
		limit = int(length)
	}
	data := make([]byte, 0, min(limit, MinBuffered))
	b.available.Add(int64(-cap(data)))
	return Buffer{budget: b, length: length, limit: limit, data: data}
}

// Contents returns what has been buffered.
func (b *Buffer) Contents() []byte { return b.data }

// IsComplete reports whether a body of known length has been buffered completely.
func (b *Buffer) IsComplete() bool { return int64(len(b.data)) == b.length }

// Lacks reports whether the contents and n more bytes are less than the known length of the body.
func (b *Buffer) Lacks(n int) bool { return int64(len(b.data)+n) < b.length }

// Room returns where the next bytes of the body may be written, and makes room if there is none. ok is false if the buffer has
// reached its limit or the budget is exhausted.
func (b *Buffer) Room() (room []byte, ok bool) {
	if len(b.data) == cap(b.data) && !b.grow() {
		return nil, false
	}
	return b.data[len(b.data):cap(b.data)], true
}

// Commit adds the first n bytes that have been written to the last result of Room to the contents.
func (b *Buffer) Commit(n int) { b.data = b.data[:len(b.data)+n] }

// grow copies the contents into a slice with more capacity. It returns false if there is none.
func (b *Buffer) grow() bool {
	capacity := min(b.limit, growthFactor*cap(b.data))
	if capacity == cap(b.data) || !b.budget.Reserve(capacity) {
		return false
	}
	b.budget.Release(cap(b.data))
	b.data = append(make([]byte, 0, capacity), b.data...)
	return true
}

// ReadBody buffers a body of the given length, or of unknown length (-1). It stops when the body is complete, MaxBuffered is
// reached or the budget is exhausted. The capacity of the returned slice is reserved in the budget; the caller releases it, also if
// err is not nil. A body that is shorter than its length is an io.ErrUnexpectedEOF.
func (b *Budget) ReadBody(r io.Reader, length int64) (body []byte, complete bool, err error) {
	buffer := b.NewBuffer(length)
	for !buffer.IsComplete() {
		room, ok := buffer.Room()
		if !ok {
			return buffer.Contents(), false, nil
		}
		n, err := r.Read(room)
		buffer.Commit(n)
		switch {
		case err == io.EOF && buffer.Lacks(0):
			return buffer.Contents(), false, io.ErrUnexpectedEOF
		case err == io.EOF:
			return buffer.Contents(), true, nil
		case err != nil:
			return buffer.Contents(), false, err
		}
	}
	return buffer.Contents(), true, nil
}
