package upstream

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"sprucehill/internal/bodybudget"
)

// MaxResponseRead is the maximum number of bytes read for the framing and the buffered body of a response. It bounds the memory that
// an upstream can use by sending endlessly.
const MaxResponseRead = 8 * bodybudget.MaxBuffered

// ErrHandedOver means that a body has been given to BodyOptions.HandOver.
var ErrHandedOver = errors.New("the response has been handed over")

// BodyOptions says how a body is read.
type BodyOptions struct {
	Budget *bodybudget.Budget // is charged for the buffer
	// BufferUntil is when buffering ends although the body is not complete. The zero time sets no limit.
	BufferUntil time.Time
	// Receiver gets the body at BufferUntil if the upstream rests then; reading the stream of the body waits for the upstream. If it
	// is nil, reading fails with os.ErrDeadlineExceeded instead.
	Receiver Receiver
	// MaxRest is how long an upstream may send nothing of a streamed body. 0 sets no limit.
	MaxRest time.Duration
	// StreamUntil is when reading a streamed body fails although the upstream sends. The zero time sets no limit.
	StreamUntil time.Time
}

// Receiver receives a body whose beginning has been buffered while more is read.
type Receiver interface {
	// HandOver is called at most once, on the goroutine that reads the response.
	HandOver(Body)
}

// bodyRead is what is known of the body that is being read from a connection.
type bodyRead struct {
	resp     *http.Response
	buffer   bodybudget.Buffer
	receiver Receiver
	stream   *Stream // once the body has been handed over
}

// Body is the body of a response, or what has been buffered of it.
type Body struct {
	Buffered []byte  // its capacity is reserved in the budget; the caller releases it
	Stream   *Stream // the rest; nil: the body is complete
}

// ReadHead reads the head of the final response, and skips interim (1xx) responses before it. It returns the errors of net/http and of
// the connection, and an error for a head that exceeds a limit.
func (c *Conn) ReadHead() (*http.Response, error) {
	c.limit.beginHead()
	for {
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			c.decodeChunks(resp)
			return resp, nil
		}
		c.limit.beginLines()
	}
}

// decodeChunks makes a chunked body return what has arrived of a chunk. The reader of net/http waits until a chunk or the slice to fill is
// complete.
func (c *Conn) decodeChunks(resp *http.Response) {
	if slices.Contains(resp.TransferEncoding, "chunked") && resp.Body != http.NoBody {
		c.chunks.Reset(c.reader)
		resp.Body = io.NopCloser(&c.chunks)
	}
}

// ReadBody buffers the body of a response, or its beginning: until it is complete, the buffer has reached its limit, or the time for
// buffering is over. A body that is known to be too long to be buffered completely is not buffered for longer than until its first
// bytes. If the upstream rests when the time is over, ReadBody hands the body over to o.Receiver, and returns ErrHandedOver once the
// upstream goes on. It returns io.ErrUnexpectedEOF for a body that ends early, and otherwise the errors of net/http and of the
// connection. The buffered part is returned with an error too.
func (c *Conn) ReadBody(resp *http.Response, o *BodyOptions) (Body, error) {
	c.limit.beginBody()
	c.rest.limit, c.rest.end, c.rest.bufferUntil = o.MaxRest, o.StreamUntil, o.BufferUntil
	c.read = bodyRead{resp: resp, buffer: o.Budget.NewBuffer(resp.ContentLength), receiver: o.Receiver}
	buffer := &c.read.buffer
	for !buffer.IsComplete() {
		part, err := buffer.Fill(resp.Body)
		if errors.Is(err, io.EOF) && c.limit.remaining <= 0 { // the limit ended the body, not the upstream
			err = io.ErrUnexpectedEOF
		}
		if stream := c.read.stream; stream != nil {
			c.read = bodyRead{}
			stream.pending <- readResult{part, err} // from here on the connection belongs to the stream's reader
			return Body{}, ErrHandedOver
		}
		switch {
		case errors.Is(err, io.EOF):
			return c.complete(), nil
		case errors.Is(err, bodybudget.ErrFull):
			return c.streamed(), nil
		case err != nil:
			return Body{Buffered: c.takeBuffered()}, err
		case len(part) > 0 && !buffer.IsComplete() && c.isBufferingOver():
			return c.streamed(), nil
		}
	}
	return c.complete(), nil
}

// handOver hands the body that is being read over, and reports whether there is a receiver. It is called during a read.
func (c *Conn) handOver() bool {
	if c.read.receiver == nil {
		return false
	}
	c.read.stream = &Stream{resp: c.read.resp, conn: c, pending: make(chan readResult, 1), atRest: true}
	c.read.receiver.HandOver(Body{Buffered: c.read.buffer.Contents(), Stream: c.read.stream})
	return true
}

// isBufferingOver reports whether the body of which bytes have been buffered is to be streamed now.
func (c *Conn) isBufferingOver() bool {
	if c.read.resp.ContentLength > bodybudget.MaxBuffered {
		return true
	}
	until := c.rest.bufferUntil
	return !until.IsZero() && !time.Now().Before(until)
}

// complete returns a body that has been buffered completely.
func (c *Conn) complete() Body {
	c.rest.bufferUntil = time.Time{}
	c.rest.limit = 0
	return Body{Buffered: c.takeBuffered()}
}

// streamed returns a body whose rest is to be streamed.
func (c *Conn) streamed() Body {
	c.rest.bufferUntil = time.Time{}
	stream := &Stream{resp: c.read.resp, conn: c}
	return Body{Buffered: c.takeBuffered(), Stream: stream}
}

// takeBuffered ends reading a body and returns what has been buffered. An idle connection must not keep it in memory.
func (c *Conn) takeBuffered() []byte {
	buffered := c.read.buffer.Contents()
	c.read = bodyRead{}
	return buffered
}
