package proxy

import (
	"io"
	"sync/atomic"
)

// maxBody is how much of a body is held at most, of a request or an answer: what is held whole can be sent or asked for
// again. What goes beyond is passed on as it comes.
const maxBody = 64 << 10

// leastHeld is what is held of a body however little room there is.
const leastHeld = 4 << 10

// budget bounds the bytes that are held of all bodies together. Where it is short, bodies are passed on as they come
// before they reach maxBody, through buffers that the connections bound.
type budget struct{ free atomic.Int64 }

func newBudget(bytes int64) *budget {
	b := &budget{}
	b.free.Store(bytes)
	return b
}

// take takes n bytes if there are as many.
func (b *budget) take(n int) bool {
	if b.free.Add(int64(-n)) >= 0 {
		return true
	}
	b.give(n)
	return false
}

// give returns what hold took for a body: its capacity.
func (b *budget) give(n int) { b.free.Add(int64(n)) }

// hold reads a body, of a length if that is known and not -1, until it is whole, maxBody is reached, the budget is
// spent, or enough says so once some has come. The body's capacity is to be given back, also beside an error.
func (b *budget) hold(r io.Reader, length int64, enough func() bool) (body []byte, whole bool, err error) {
	most := maxBody
	if length >= 0 && length < maxBody {
		most = int(length)
	}
	body = make([]byte, 0, min(most, leastHeld))
	b.free.Add(int64(-cap(body)))
	for {
		if len(body) == cap(body) {
			grown := min(most, 4*cap(body))
			if int64(len(body)) == length {
				return body, true, nil
			}
			if grown == cap(body) || !b.take(grown) {
				return body, false, nil
			}
			b.give(cap(body))
			body = append(make([]byte, 0, grown), body...)
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
		case n > 0 && int64(len(body)) != length && enough():
			return body, false, nil
		}
	}
}
