package upstream

import (
	"fmt"
	"net/http"
)

// MaxResponseLength is the maximum length, in bytes, of a response body.
//
// Platform: responses of up to 32 MB occur.
const MaxResponseLength = 64 << 20

// ErrResponseTooLong reports that the body of a response exceeds MaxResponseLength.
var ErrResponseTooLong = fmt.Errorf("response body exceeds %d bytes", MaxResponseLength)

// readResult is the result of a read.
type readResult struct {
	data []byte
	err  error
}

// Stream is the unread rest of a response. One goroutine at a time may use it, and its connection.
type Stream struct {
	resp      *http.Response
	conn      *Conn
	pending   chan readResult // receives the result of a read that was in progress when the stream began; nil: there is none
	unread    readResult      // what Read has not returned yet of that result
	atRest    bool            // the upstream rested when the stream began
	bytesRead int64           // bytes of the body that Read has returned
}

// BeganAtRest reports whether the upstream rested when the stream began: see BodyOptions.Receiver.
func (s *Stream) BeganAtRest() bool { return s.atRest }

// ContentLength returns the length of the complete body in bytes, or -1 if it is unknown.
func (s *Stream) ContentLength() int64 { return s.resp.ContentLength }

// Cancel makes reading fail from now on. It may be called from any goroutine.
func (s *Stream) Cancel() { s.conn.rest.cancel() }

// Read reads the next part of the body. It fails with an error that wraps os.ErrDeadlineExceeded if the upstream rests for too long, or
// if the stream has been cancelled, and with another one if more than MaxResponseLength bytes have been read in total.
func (s *Stream) Read(p []byte) (n int, err error) {
	if s.bytesRead > MaxResponseLength {
		return 0, ErrResponseTooLong
	}
	if s.pending != nil {
		s.unread = <-s.pending
		s.pending = nil
	}
	if len(s.unread.data) > 0 || s.unread.err != nil {
		n, err = s.readUnread(p)
	} else {
		s.conn.limit.beginBody() // the limit is for heads and framing; a streamed body is not buffered
		n, err = s.resp.Body.Read(p)
	}
	s.bytesRead += int64(n)
	return n, err
}

// readUnread returns the next part of the result of the first read.
func (s *Stream) readUnread(p []byte) (n int, err error) {
	n = copy(p, s.unread.data)
	s.unread.data = s.unread.data[n:]
	if len(s.unread.data) > 0 {
		return n, nil
	}
	return n, s.unread.err
}

// Finish ends reading a body that has been read to its end, and reports whether its connection can be used for another request.
func (s *Stream) Finish() (reusable bool) {
	s.conn.rest.limit = 0
	return !s.resp.Close
}

// Close closes the connection of a stream that will not be read to its end.
func (s *Stream) Close() error { return s.conn.Close() }
