package proxy

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"sprucehill/internal/socket"
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
func (s *responseStream) cancel() {
	s.conn.rest.cancelled.Store(true)
	s.conn.SetReadDeadline(expiredDeadline)
}

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

// restReader reads from a connection whose peer may rest, with a limit on the time between two reads that return something. Bytes of the
// framing count: what is made of the bytes does not matter.
type restReader struct {
	conn      net.Conn
	limit     time.Duration // of a rest; 0: none. Used by the connection's owner only
	cancelled atomic.Bool   // reading fails from now on, where there is a limit
}

// Read reads what has arrived. It returns os.ErrDeadlineExceeded if the peer has rested for too long, or if reading has been cancelled.
func (r *restReader) Read(p []byte) (int, error) {
	if r.limit == 0 {
		return r.conn.Read(p)
	}
	if err := r.conn.SetReadDeadline(time.Now().Add(r.limit)); err != nil {
		return 0, err
	}
	if r.cancelled.Load() { // checked after SetReadDeadline, which may have replaced the expired deadline set by cancel
		return 0, os.ErrDeadlineExceeded
	}
	n, err := r.conn.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) && !r.cancelled.Load() {
		return socket.ReadLate(r.conn, p)
	}
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
