package proxy

import (
	"io"
	"sync/atomic"
)

const (
	// maxBody is how many bytes are buffered of one body at most, of a request or a response: what is buffered completely
	// can be sent again, or requested again. A longer body is streamed.
	maxBody = 64 << 10
	// minBodyBuffer is how many bytes of a body are buffered even when the budget is spent.
	minBodyBuffer = 4 << 10
	// bodyBufferGrowth is the factor by which the buffer of a body grows.
	bodyBufferGrowth = 4
)

// byteBudget bounds the bytes that are buffered of all bodies together. Where it is spent, bodies are streamed before they
// reach maxBody, through buffers whose number the limit on connections bounds. It may be used from any goroutine.
type byteBudget struct{ available atomic.Int64 }

func newByteBudget(bytes int64) *byteBudget {
	b := &byteBudget{}
	b.available.Store(bytes)
	return b
}

// reserve takes n bytes out of the budget if as many are available.
func (b *byteBudget) reserve(n int) bool {
	if b.available.Add(int64(-n)) >= 0 {
		return true
	}
	b.release(n)
	return false
}

// release returns n bytes to the budget. What readBody reserves for a body is the body's capacity.
func (b *byteBudget) release(n int) { b.available.Add(int64(n)) }

// readBody buffers a body, of the given length or of unknown length (-1), until it is complete, maxBody is reached, the
// budget is spent, or stop returns true once some of it has come. The capacity of the returned body is reserved and has to
// be released, also beside an error.
func (b *byteBudget) readBody(r io.Reader, length int64, stop func() bool) (body []byte, complete bool, err error) {
	limit := maxBody
	if length >= 0 && length < maxBody {
		limit = int(length)
	}
	body = make([]byte, 0, min(limit, minBodyBuffer))
	b.available.Add(int64(-cap(body)))
	for {
		if len(body) == cap(body) {
			if int64(len(body)) == length {
				return body, true, nil
			}
			grown, ok := b.grow(body, limit)
			if !ok {
				return body, false, nil
			}
			body = grown
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF && length >= 0 && int64(len(body)) < length:
			return body, false, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body, true, nil
		case err != nil:
			return body, false, err
		case n > 0 && int64(len(body)) != length && stop():
			return body, false, nil
		}
	}
}

// grow returns a copy of a full buffer with more capacity, up to limit. It fails at the limit, and if the budget is spent.
func (b *byteBudget) grow(body []byte, limit int) ([]byte, bool) {
	capacity := min(limit, bodyBufferGrowth*cap(body))
	if capacity == cap(body) || !b.reserve(capacity) {
		return nil, false
	}
	b.release(cap(body))
	return append(make([]byte, 0, capacity), body...), true
}
