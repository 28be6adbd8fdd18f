//go:build review

package stage

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

func init() { scenes["slow-reader"] = slowReader }

// slowReader has clients ask for answers of 32 MB, which the upstream writes as fast as it is let. With trouble the clients read
// 64 KiB a second for 20 s, in pieces, and then the rest at full speed. Each has to get its whole answer.
func slowReader(s *stage, trouble bool) {
	const (
		size = 32 << 20
		rate = 64 << 10
		slow = 20 * time.Second
	)
	piece := strings.Repeat("x", 64<<10)
	u := s.startUpstream(0, func(c *upstreamConn, r *http.Request, _ []byte) bool {
		id := r.Header.Get("X-Request-Id")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		for sent := 0; sent < size; sent += len(piece) {
			if n, err := io.WriteString(c, piece); err != nil {
				s.log("upstream: the balancer ended the answer to %s after %d of %d bytes: %v", id, sent+n, size, err)
				return false
			}
		}
		s.log("upstream: the answer to %s is written", id)
		return true
	})
	p := s.startBalancer(s.startDiscovery(u), startOptions{})
	s.goroutines(3, func(i int) {
		c := p.dial()
		defer c.Close()
		_, _ = io.WriteString(c, requestText("plan-trip", s.newID(), 2000, ""))
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			s.log("client %d: not served: %v", i, err)
			return
		}
		s.log("client %d: the answer begins, %d bytes", i, resp.ContentLength)
		began, read := time.Now(), 0
		buf := make([]byte, rate/10)
		for read < size {
			if elapsed := time.Since(began); trouble && elapsed < slow {
				time.Sleep(time.Duration(float64(read)/rate*float64(time.Second)) - elapsed)
			}
			c.SetReadDeadline(time.Now().Add(10 * time.Second))
			n, err := resp.Body.Read(buf)
			read += n
			if err != nil && read < size {
				s.breaks("client %d: the answer ends after %d of %d bytes, %.1f s after it began: %v", i, read, size, time.Since(began).Seconds(), err)
				return
			}
		}
		s.log("client %d: whole after %.1f s", i, time.Since(began).Seconds())
	})
}
