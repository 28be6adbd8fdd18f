package proxy

import (
	"fmt"
	"net/http"
	"time"
)

// errResponseTooLong reports that the body of a response of unknown length exceeds maxResponseLength.
var errResponseTooLong = fmt.Errorf("response body exceeds %d bytes", maxResponseLength)

// responseStream is the unread rest of a response. The goroutine that forwards it to the client owns it and its connection.
type responseStream struct {
	resp      *http.Response
	conn      *upstreamConn
	endpoint  *endpoint
	bytesRead int64 // bytes of the body that read has returned
}

// limitRest makes reading fail if the upstream sends nothing for the time rest.
func (s *responseStream) limitRest(rest time.Duration) { s.conn.rest.limit = rest }

// cancel makes reading fail from now on. It may be called from any goroutine.
func (s *responseStream) cancel() { s.conn.rest.cancel() }

// read reads the next part of the body. It fails if more than maxResponseLength bytes have been read in total.
func (s *responseStream) read(p []byte) (n int, err error) {
	if s.bytesRead > maxResponseLength {
		return 0, errResponseTooLong
	}
	s.conn.limit.beginBody() // the limit is for heads and framing; a streamed body is not buffered
	n, err = s.resp.Body.Read(p)
	s.bytesRead += int64(n)
	return n, err
}

// release returns the connection if it can be reused; otherwise it closes the connection and returns nil. The body must
// have been read to its end.
func (s *responseStream) release() *upstreamConn {
	if s.resp.Close {
		s.conn.Close()
		return nil
	}
	s.limitRest(0)
	return s.conn
}
