package proxy

import (
	"fmt"
	"net/http"
	"time"

	"sprucehill/internal/timelimit"
)

// errResponseTooLong says that the body of a response without a length is longer than that of any valid one.
var errResponseTooLong = fmt.Errorf("response body exceeds %d bytes", maxResponseLength)

// responseStream is the rest of a response. It belongs, with its connection, to whoever passes it on to the client.
type responseStream struct {
	resp      *http.Response
	conn      *upstreamConn
	endpoint  *endpoint
	bytesRead int64 // of the body, by read
}

// read reads the next part of the body. It fails if the upstream sends nothing for timelimit.UpstreamStall, or more than
// maxResponseLength in all.
func (s *responseStream) read(p []byte) (n int, err error) {
	if s.bytesRead > maxResponseLength {
		return 0, errResponseTooLong
	}
	if err := s.conn.SetReadDeadline(time.Now().Add(timelimit.UpstreamStall)); err != nil {
		return 0, err
	}
	s.conn.readLimit.N = maxResponseRead // the limit is for heads and framing; a streamed body is not buffered
	n, err = s.resp.Body.Read(p)
	s.bytesRead += int64(n)
	return n, err
}

// release returns the connection if it can be used again, and closes it otherwise. The body has been read to its end.
func (s *responseStream) release() *upstreamConn {
	if s.resp.Close {
		s.conn.Close()
		return nil
	}
	return s.conn
}
