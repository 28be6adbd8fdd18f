package upstream

import (
	"bytes"
	"errors"
	"io"
)

const (
	// maxResponseHead bounds the bytes of the head of a response, including the 1xx responses before it.
	maxResponseHead = 32 << 10
	// maxResponseFields bounds the lines of a head. A parsed field needs far more memory than its bytes.
	maxResponseFields = 256
)

// errTooManyFields means that the head of a response has more than maxResponseFields lines.
var errTooManyFields = errors.New("the head of the response has too many fields")

// responseLimit reads responses and bounds what is read of each, so that an upstream can't make the balancer hold more by sending
// without end. It is not safe for concurrent use.
type responseLimit struct {
	reader    io.Reader
	remaining int64 // bytes that may be read for the current head or body
	inHead    bool  // the lines are counted
	lines     int   // of the current head
	lineBegun bool  // the current line has a byte other than a carriage return
	err       error // a head had too many lines: nothing more is read, since bufio.Reader may drop the first error
}

// beginHead sets the limits for the head of a response.
func (l *responseLimit) beginHead() {
	l.remaining = maxResponseHead
	l.beginLines()
}

// beginLines counts the lines of a head anew, after an interim response.
func (l *responseLimit) beginLines() {
	l.inHead = true
	l.lines = 0
	l.lineBegun = false
}

// beginBody sets the limits for what is buffered of a body, or read of a streamed body at a time.
func (l *responseLimit) beginBody() {
	l.remaining = MaxResponseRead
	l.inHead = false
}

// Read implements io.Reader. It returns io.EOF at the limit of bytes.
func (l *responseLimit) Read(p []byte) (int, error) {
	switch {
	case l.err != nil:
		return 0, l.err
	case l.remaining <= 0:
		return 0, io.EOF
	}
	n, err := l.reader.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	if l.inHead && !l.countLines(p[:n]) {
		l.err = errTooManyFields
		return 0, l.err
	}
	return n, err
}

// countLines counts the lines of a head up to the empty one that ends it. It returns false if there are too many.
func (l *responseLimit) countLines(p []byte) bool {
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			l.lineBegun = l.lineBegun || !isBlank(p)
			return true
		}
		if !l.lineBegun && isBlank(p[:end]) {
			l.inHead = false
			return true
		}
		p = p[end+1:]
		l.lineBegun = false
		l.lines++
		if l.lines > maxResponseFields {
			return false
		}
	}
	return true
}

// isBlank reports whether a part of a line has nothing but carriage returns.
func isBlank(line []byte) bool { return len(bytes.Trim(line, "\r")) == 0 }
