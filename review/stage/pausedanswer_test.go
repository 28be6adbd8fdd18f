//go:build review

package stage

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenes["paused-answer"] = pausedAnswer }

// pausedAnswer has upstreams answer with 200,000 bytes in chunks. With trouble they rest for 2.5 s after the first 40,000, as one that
// writes slowly does: on the whole they write 74 kB a second. What they have written must not be held back for 2 s.
func pausedAnswer(s *stage, trouble bool) {
	const (
		first  = 40_000
		second = 160_000
		rest   = 2500 * time.Millisecond
		held   = 2 * time.Second
		slack  = 200 * time.Millisecond
	)
	var mu sync.Mutex
	writtenAt := map[string]time.Time{} // the first piece of an answer, by X-Request-Id
	u := s.startUpstream(0, func(c *upstreamConn, r *http.Request, _ []byte) bool {
		id := r.Header.Get("X-Request-Id")
		time.Sleep(200 * time.Millisecond)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", first, strings.Repeat("a", first))
		mu.Lock()
		writtenAt[id] = time.Now()
		mu.Unlock()
		s.log("upstream: the first %d bytes of the answer to %s are written", first, id)
		if trouble {
			time.Sleep(rest)
		}
		_, err := fmt.Fprintf(c, "%x\r\n%s\r\n0\r\n\r\n", second, strings.Repeat("b", second))
		s.log("upstream: the rest of the answer to %s: %v", id, err)
		return err == nil
	})
	p := s.startBalancer(s.startDiscovery(u), startOptions{})
	for range 3 {
		id := s.newID()
		c := p.dial()
		_, _ = io.WriteString(c, requestText("buy-ticket", id, 7500, ""))
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err := c.reader.Peek(1)
		beganAt := time.Now()
		must(err)
		resp, err := http.ReadResponse(c.reader, nil)
		must(err)
		body, err := io.ReadAll(resp.Body)
		c.Close()
		mu.Lock()
		written := writtenAt[id]
		mu.Unlock()
		if written.IsZero() {
			s.log("client: %s was not forwarded: %d", id, resp.StatusCode)
			continue
		}
		s.log("client: %s: %d, %d bytes, %v; its first byte came %.3f s after the upstream had written it", id, resp.StatusCode, len(body), err,
			beganAt.Sub(written).Seconds())
		if beganAt.Sub(written) > held+slack {
			s.breaks("%d bytes of the answer to %s were held back for %.3f s", first, id, beganAt.Sub(written).Seconds())
		}
	}
}
