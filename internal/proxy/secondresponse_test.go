package proxy

import (
	"net"
	"net/http"
	"testing"
)

// An upstream may answer a request twice, the second time some milliseconds late. HTTP/1.1 does not say which request a
// response belongs to; only the order does. A second response that comes while its connection is idle belongs to no
// request, and the connection is not used again; one that comes after the next request has been written can't be told from
// that request's own.
func TestSecondResponseOfAnUpstream(t *testing.T) {
	for _, x := range []struct {
		name      string
		whileIdle bool     // the second response comes before the next request
		answers   []string // of three requests, one after the other
		connected int
	}{
		{"while the connection is idle", true, []string{"first", "second", "third"}, 2},
		{"once the next request has been written", false, []string{"first", "again first", "third"}, 2},
	} {
		t.Run(x.name, func(t *testing.T) {
			texts := map[string]string{}
			var order []string // of requests by id, one at a time
			s := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
				id := r.Header.Get("X-Request-Id")
				order = append(order, id)
				switch {
				case len(order) == 1 && x.whileIdle:
					return writeOK(c, texts[id]) && writeOK(c, "again "+texts[id])
				case len(order) == 2 && !x.whileIdle:
					return writeOK(c, "again "+texts[order[0]]) && writeOK(c, texts[id])
				}
				return writeOK(c, texts[id])
			})
			b := newBalancer(t, activeMember("s-00000001", s))
			for i, text := range []string{"first", "second", "third"} {
				r := b.newRequest("checkin", "")
				texts[r.Header.Get("X-Request-Id")] = text
				status, answer := b.do(t, r)
				assertEqual(t, "status", status, 200)
				assertEqual(t, "answer", answer, x.answers[i])
				b.awaitSettled(t)
				if i == 0 && x.whileIdle || i == 1 && !x.whileIdle {
					b.awaitUnreadBytes(t)
				}
			}
			assertEqual(t, "connections", s.opened(), x.connected)
		})
	}
}

// awaitUnreadBytes waits until there are unread bytes on the one idle connection.
func (b *testBalancer) awaitUnreadBytes(t *testing.T) {
	t.Helper()
	b.await(t, "bytes that belong to no request have come", func(l *loop) bool {
		idle := l.endpoints[1].idle
		if len(idle) != 1 {
			return false
		}
		_, err := idle[0].reader.Peek(1)
		return err == nil
	})
}
