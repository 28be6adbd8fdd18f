// Package bodybudget bounds the memory of buffered bodies of requests and responses.
package bodybudget

import (
	"errors"
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

// ErrFull means that a buffer has reached its limit, or that the budget is exhausted.
var ErrFull = errors.New("no room for more of the body")

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

// Fill reads the next bytes of the body, once, and returns them; they belong to the contents from then on. It returns ErrFull if there
// is no room for more, io.EOF at the end of the body, io.ErrUnexpectedEOF if that is before its known length, and otherwise the error of
// r. Bytes may come with an error.
func (b *Buffer) Fill(r io.Reader) (part []byte, err error) {
	if len(b.data) == cap(b.data) && !b.grow() {
		return nil, ErrFull
	}
	before := len(b.data)
	n, err := r.Read(b.data[before:cap(b.data)])
	b.data = b.data[:before+n]
	if err == io.EOF && int64(len(b.data)) < b.length {
		err = io.ErrUnexpectedEOF
	}
	return b.data[before:], err
}

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
		_, err := buffer.Fill(r)
		switch {
		case errors.Is(err, io.EOF):
			return buffer.Contents(), true, nil
		case errors.Is(err, ErrFull):
			return buffer.Contents(), false, nil
		case err != nil:
			return buffer.Contents(), false, err
		}
	}
	return buffer.Contents(), true, nil
}
