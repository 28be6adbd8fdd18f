package framing

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"strings"
)

// Framing errors. Each makes the end of the request ambiguous.
var (
	errLengthAndEncoding = errors.New("request has both Content-Length and Transfer-Encoding")
	errBadLength         = errors.New("request has an invalid Content-Length, or several that differ")
	errBadEncoding       = errors.New("request has a Transfer-Encoding other than chunked")
	errFoldedLine        = errors.New("request has a folded header line")
	errBadChunk          = errors.New("request body has a malformed chunk")
	errTrailerTooLong    = errors.New("the fields behind the request body are too long")
)

const (
	// maxScannedLine is how many bytes of a line the scanner buffers. A line with a valid length is shorter.
	maxScannedLine = 256
	// maxTrailer bounds the bytes behind the last chunk of a body.
	maxTrailer = 4 << 10
)

// The names of the fields that determine the length of a body.
var (
	transferEncodingName = []byte("transfer-encoding")
	contentLengthName    = []byte("content-length")
)

// scanState is the part of a request that the scanner expects next.
type scanState uint8

const (
	scanHead scanState = iota
	scanBody
	scanChunkSize
	scanChunk
	scanChunkEnd
	scanTrailer
)

// requestScanner finds the ends of the requests on a connection, independently of how they are split into reads. Its zero
// value is ready for the first byte of a connection.
type requestScanner struct {
	state             scanState
	line              []byte   // the current line so far, up to maxScannedLine bytes
	lineTruncated     bool     // the line is longer than maxScannedLine
	headLines         int      // complete lines of the current head
	contentLengths    []string // Content-Length fields of the current head
	transferEncodings []string // Transfer-Encoding fields of the current head
	bodyRemaining     int64    // bytes still to come of the current body or chunk
	trailerSize       int      // bytes so far behind the last chunk of the current body
	headCount         int      // complete heads so far
	requestCount      int      // complete requests so far
	ignoresFields     bool     // the connection ends after the current request, so that the length of its body does not matter
}

// atRequestStart reports whether the scanner is between two requests: no byte of the next head has been scanned.
func (s *requestScanner) atRequestStart() bool {
	return s.state == scanHead && s.headLines == 0 && len(s.line) == 0
}

// scan scans the next bytes of the connection. On a framing error, valid is how many bytes of p precede the byte that
// reveals it.
func (s *requestScanner) scan(p []byte) (valid int, err error) {
	for valid < len(p) {
		n, err := s.scanNext(p[valid:])
		valid += n
		if err != nil {
			return valid, err
		}
	}
	return valid, nil
}

// scanNext scans the next bytes of the connection up to the end of a line, or of a body or chunk, and returns how many it has
// scanned. On a framing error, n is how many bytes of p precede the byte that reveals it.
func (s *requestScanner) scanNext(p []byte) (n int, err error) {
	if s.state == scanBody || s.state == scanChunk {
		return s.skipData(len(p)), nil
	}
	end := bytes.IndexByte(p, '\n')
	lineBytes := end + 1
	if end < 0 {
		lineBytes = len(p)
	}
	if s.state == scanTrailer {
		s.trailerSize += lineBytes
		if s.trailerSize > maxTrailer {
			return 0, errTrailerTooLong
		}
	}
	if end < 0 {
		s.appendToLine(p)
		return len(p), nil
	}
	s.appendToLine(p[:end])
	line := bytes.TrimSuffix(s.line, []byte("\r"))
	if err := s.endLine(line); err != nil {
		return end, err
	}
	s.line = s.line[:0]
	s.lineTruncated = false
	return end + 1, nil
}

// skipData skips the rest of the current body or chunk, or as much of it as is available, and returns the number of bytes
// skipped.
func (s *requestScanner) skipData(available int) int {
	n := min(int64(available), s.bodyRemaining)
	s.bodyRemaining -= n
	switch {
	case s.bodyRemaining > 0:
	case s.state == scanBody:
		s.endRequest()
	default:
		s.state = scanChunkEnd
	}
	return int(n)
}

func (s *requestScanner) appendToLine(p []byte) {
	available := maxScannedLine - len(s.line)
	if len(p) > available {
		s.lineTruncated = true
		p = p[:available]
	}
	s.line = append(s.line, p...)
}

// endRequest counts a complete request, and prepares for the head of the next one.
func (s *requestScanner) endRequest() {
	s.requestCount++
	s.state = scanHead
	s.headLines = 0
	s.contentLengths = nil
	s.transferEncodings = nil
}

// endLine handles a complete line, without its line end.
func (s *requestScanner) endLine(line []byte) error {
	switch s.state {
	case scanHead:
		return s.endHeadLine(line)
	case scanChunkSize:
		return s.startChunk(line)
	case scanChunkEnd:
		if len(line) > 0 {
			return errBadChunk
		}
		s.state = scanChunkSize
	case scanTrailer:
		if len(line) == 0 {
			s.endRequest()
		}
	}
	return nil
}

// endHeadLine handles a complete line of a head: the request line, a header field, or the empty line at its end. An empty
// line before the request line counts as the request line; net/http rejects it.
func (s *requestScanner) endHeadLine(line []byte) error {
	if len(line) == 0 && s.headLines > 0 {
		s.headCount++
		return s.startBody()
	}
	s.headLines++
	if s.headLines == 1 || s.ignoresFields {
		return nil
	}
	return s.scanHeaderField(line)
}

// startChunk handles the line before a chunk, which holds its size and extensions.
func (s *requestScanner) startChunk(line []byte) error {
	size, _, hasExtension := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 63)
	if err != nil || (s.lineTruncated && !hasExtension) {
		return errBadChunk
	}
	s.bodyRemaining = int64(n)
	s.state = scanChunk
	if n == 0 {
		s.state = scanTrailer
		s.trailerSize = 0
	}
	return nil
}

// scanHeaderField handles a line of a head after the request line. It collects the fields that determine the length of the
// body.
func (s *requestScanner) scanHeaderField(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		return errFoldedLine
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	trimmedName := bytes.TrimSpace(name)
	var values *[]string
	var malformed error
	switch {
	case bytes.EqualFold(trimmedName, transferEncodingName):
		values = &s.transferEncodings
		malformed = errBadEncoding
	case bytes.EqualFold(trimmedName, contentLengthName):
		values = &s.contentLengths
		malformed = errBadLength
	default:
		return nil
	}
	if s.lineTruncated || len(name) != len(trimmedName) {
		return malformed
	}
	*values = append(*values, string(bytes.Trim(value, " \t")))
	return nil
}

// startBody determines at the end of a head what follows: a chunked body, one of a fixed length, or the next request.
func (s *requestScanner) startBody() error {
	switch {
	case len(s.transferEncodings) > 0 && len(s.contentLengths) > 0:
		return errLengthAndEncoding
	case len(s.transferEncodings) > 0:
		if len(s.transferEncodings) > 1 || !strings.EqualFold(s.transferEncodings[0], "chunked") {
			return errBadEncoding
		}
		s.state = scanChunkSize
		return nil
	case len(s.contentLengths) > 0:
		return s.startFixedLengthBody()
	}
	s.endRequest()
	return nil
}

// startFixedLengthBody checks the Content-Length fields, which may be repeated with the same value.
func (s *requestScanner) startFixedLengthBody() error {
	for _, length := range s.contentLengths {
		n, err := strconv.ParseUint(length, 10, 64)
		if err != nil || n > math.MaxInt64 || length != s.contentLengths[0] {
			return errBadLength
		}
		s.bodyRemaining = int64(n)
	}
	s.state = scanBody
	if s.bodyRemaining == 0 {
		s.endRequest()
	}
	return nil
}
