package proxy

import (
	"errors"
	"net/http"
	"time"
)

// errAnswerTooLong says that an answer without a length has gone on for longer than any valid one does.
var errAnswerTooLong = errors.New("an answer that does not end")

// stream is the rest of an answer. It belongs, with its connection, to whoever passes it on to the client.
type stream struct {
	resp      *http.Response
	conn      *conn
	peer      *peer
	bytesRead int64 // of the body, by read
}

// read reads the next part of the body. It fails if the upstream sends nothing for upstreamStallTimeout, or sends without
// an end.
func (s *stream) read(p []byte) (n int, err error) {
	if s.bytesRead > maxAnswerLength {
		return 0, errAnswerTooLong
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(upstreamStallTimeout)); err != nil {
		return 0, err
	}
	s.conn.limit.N = maxAnswer // the limit is for heads and framing; a streamed body is not buffered
	n, err = s.resp.Body.Read(p)
	s.bytesRead += int64(n)
	return n, err
}

// finish returns the connection if it can be used again, and closes it otherwise. complete tells whether the body has been
// read to its end.
func (s *stream) finish(complete bool) *conn {
	if !complete || s.resp.Close {
		s.conn.Close()
		return nil
	}
	return s.conn
}
