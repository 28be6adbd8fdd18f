package framing

import (
	"bufio"
	"errors"
	"io"
)

// ChunkedReader decodes a body in the chunked transfer encoding. Unlike the reader of net/http, it returns what has arrived of a chunk
// without waiting for more of it, so that nothing is held back while the sender rests. It is not safe for concurrent use.
type ChunkedReader struct {
	reader  *bufio.Reader
	scanner requestScanner
}

// Reset makes the reader decode a body from r that begins with the next byte.
func (c *ChunkedReader) Reset(r *bufio.Reader) {
	c.reader = r
	c.scanner = requestScanner{state: scanChunkSize, line: c.scanner.line[:0]}
}

// Read implements io.Reader. It reads the body and the fields behind it, and nothing else. It returns io.EOF at their end,
// io.ErrUnexpectedEOF if the connection ends before it, an error of this package for malformed framing, and otherwise the errors of the
// underlying reader.
func (c *ChunkedReader) Read(p []byte) (int, error) {
	for !c.scanner.inData() {
		if c.scanner.requestCount > 0 {
			return 0, io.EOF
		}
		if err := c.scanLine(); err != nil {
			return 0, err
		}
	}
	available := min(int64(len(p)), c.scanner.bodyRemaining)
	n, err := c.reader.Read(p[:available])
	c.scanner.skipData(n)
	return n, unexpectedEnd(err)
}

// scanLine scans a line between two chunks, or as much of it as has arrived.
func (c *ChunkedReader) scanLine() error {
	if _, err := c.reader.Peek(1); err != nil {
		return unexpectedEnd(err)
	}
	arrived, _ := c.reader.Peek(c.reader.Buffered()) // can't fail
	n, err := c.scanner.scanNext(arrived)
	_, _ = c.reader.Discard(n) // can't fail: the bytes are buffered
	return err
}

// unexpectedEnd returns err, or io.ErrUnexpectedEOF for io.EOF.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
