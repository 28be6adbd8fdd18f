package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"sprucehill/internal/timelimit"
)

// The end of a response reaches its client after the upstream has rested for longer than timelimit.ClientWriteTimeout. Guards against a
// limit for the client that runs while the upstream rests.
func TestEndOfAResponseFollowsALongRest(t *testing.T) {
	const (
		size = 2 * maxBufferedBody
		rest = timelimit.ClientWriteTimeout + time.Second
		wait = 2 * timelimit.ClientWriteTimeout // of the client
	)
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
		head, end := fmt.Sprintf("Content-Length: %d\r\n\r\n", size), ""
		if r.Header.Get("X-Form") == "chunks" {
			head, end = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size), "\r\n0\r\n\r\n"
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head)
		io.Copy(c, patternReader(size-1))
		time.Sleep(rest)
		_, err := io.WriteString(c, "x"+end)
		return err == nil
	})
	b := newBalancer(t, activeMember("s-00000001", upstream))
	for _, form := range []string{"length", "chunks"} {
		request := b.newRequest("checkin", "", "X-Form", form, "X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
		t.Run(form, func(t *testing.T) {
			t.Parallel()
			status, body := b.do(t, request)
			assertEqual(t, "status", status, http.StatusOK)
			assertEqual(t, "length", len(body), size)
		})
	}
}
