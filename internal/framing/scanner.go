package framing

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"strings"
)

// Framing errors: the end of the request that shows one is in doubt.
var (
	errBothLengths = errors.New("a Content-Length beside a Transfer-Encoding")
	errBadLength   = errors.New("a Content-Length that is no number, or several that differ")
	errBadEncoding = errors.New("a Transfer-Encoding other than chunked")
	errFoldedLine  = errors.New("a folded header line")
	errBadChunk    = errors.New("a malformed chunk")
)

// maxScannedLine is how many bytes of a line the scanner buffers: more than any line has that gives a valid length.
const maxScannedLine = 256

// scanState is the part of a request that a scanner reads next.
type scanState uint8

const (
	scanHead scanState = iota
	scanBody
	scanChunkSize
	scanChunk
	scanChunkEnd
	scanTrailer
)

// requestScanner finds where the requests of a connection end, however they are split into reads. Its zero value is ready
// for the first byte of a connection.
type requestScanner struct {
	state         scanState
	line          []byte   // the present line so far, up to maxScannedLine bytes
	lineTruncated bool     // the line is longer than maxScannedLine
	headLines     int      // complete lines of the present head
	lengths       []string // Content-Length fields of the present head
	encodings     []string // Transfer-Encoding fields of the present head
	remaining     int64    // bytes still to come of the present body or chunk
	headCount     int      // complete heads so far
	requestCount  int      // complete requests so far
}

// atRequestStart reports whether nothing of the next head has come yet.
func (s *requestScanner) atRequestStart() bool {
	return s.state == scanHead && s.headLines == 0 && len(s.line) == 0
}

// feed scans the next bytes of the connection. Beside a framing error, good is how many bytes of p came before the byte
// that shows it.
func (s *requestScanner) feed(p []byte) (good int, err error) {
	for i := 0; i < len(p); {
		if s.state == scanBody || s.state == scanChunk {
			i += s.skipData(len(p) - i)
			continue
		}
		if p[i] != '\n' {
			s.appendToLine(p[i])
			i++
			continue
		}
		line := bytes.TrimSuffix(s.line, []byte("\r"))
		if err := s.endLine(line); err != nil {
			return i, err
		}
		s.line = s.line[:0]
		s.lineTruncated = false
		i++
	}
	return len(p), nil
}

// skipData passes over as much of a body or chunk as there is in available bytes, and returns how much that is.
func (s *requestScanner) skipData(available int) int {
	n := min(int64(available), s.remaining)
	s.remaining -= n
	switch {
	case s.remaining > 0:
	case s.state == scanBody:
		s.endRequest()
	default:
		s.state = scanChunkEnd
	}
	return int(n)
}

func (s *requestScanner) appendToLine(c byte) {
	if len(s.line) < maxScannedLine {
		s.line = append(s.line, c)
	} else {
		s.lineTruncated = true
	}
}

// endRequest notes a complete request, and begins another head.
func (s *requestScanner) endRequest() {
	s.requestCount++
	s.state = scanHead
	s.headLines = 0
	s.lengths = nil
	s.encodings = nil
}

// endLine takes a complete line.
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

// endHeadLine takes a complete line of a head: the request line, a field, or the empty line at its end. Empty lines before
// the request line count as request lines; net/http rejects them.
func (s *requestScanner) endHeadLine(line []byte) error {
	if len(line) == 0 && s.headLines > 0 {
		s.headCount++
		return s.startBody()
	}
	s.headLines++
	if s.headLines == 1 {
		return nil
	}
	return s.headerField(line)
}

// startChunk takes the line before a chunk: its size, and extensions.
func (s *requestScanner) startChunk(line []byte) error {
	size, _, hasExtension := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, 63)
	if err != nil || (s.lineTruncated && !hasExtension) {
		return errBadChunk
	}
	s.remaining = int64(n)
	s.state = scanChunk
	if n == 0 {
		s.state = scanTrailer
	}
	return nil
}

// headerField takes a line of a head behind the request line.
func (s *requestScanner) headerField(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		return errFoldedLine
	}
	name, value, _ := strings.Cut(string(line), ":")
	trimmedName := strings.TrimSpace(name)
	var values *[]string
	var malformed error
	switch strings.ToLower(trimmedName) {
	case "transfer-encoding":
		values = &s.encodings
		malformed = errBadEncoding
	case "content-length":
		values = &s.lengths
		malformed = errBadLength
	default:
		return nil
	}
	if s.lineTruncated || name != trimmedName {
		return malformed
	}
	*values = append(*values, strings.Trim(value, " \t"))
	return nil
}

// startBody finds out, at the end of a head, what follows it.
func (s *requestScanner) startBody() error {
	switch {
	case len(s.encodings) > 0 && len(s.lengths) > 0:
		return errBothLengths
	case len(s.encodings) > 0:
		if len(s.encodings) > 1 || !strings.EqualFold(s.encodings[0], "chunked") {
			return errBadEncoding
		}
		s.state = scanChunkSize
		return nil
	case len(s.lengths) > 0:
		return s.startSizedBody()
	}
	s.endRequest()
	return nil
}

// startSizedBody checks the Content-Length, which may be repeated but must not differ.
func (s *requestScanner) startSizedBody() error {
	for _, length := range s.lengths {
		n, err := strconv.ParseUint(length, 10, 64)
		if err != nil || n > math.MaxInt64 || length != s.lengths[0] {
			return errBadLength
		}
		s.remaining = int64(n)
	}
	s.state = scanBody
	if s.remaining == 0 {
		s.endRequest()
	}
	return nil
}
