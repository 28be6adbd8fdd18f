package proxy

import (
	"net"
	"net/http"
	"testing"
)

// An upstream may answer a request twice, the second time some milliseconds later. In HTTP/1.1 only the order of responses shows
// which request they belong to. If the second response arrives while the connection is idle, it belongs to no request and the
// connection is not reused. If it arrives after the next request has been written, it can't be distinguished from the response to
// that request.
func TestSecondResponseOfAnUpstream(t *testing.T) {
	for _, x := range []struct {
		name      string
		whileIdle bool     // the second response arrives before the next request is written
		answers   []string // the responses to three consecutive requests
		connected int      // the number of upstream connections opened
	}{
		{"while the connection is idle", true, []string{"first", "second", "third"}, 2},
		{"once the next request has been written", false, []string{"first", "again first", "third"}, 2},
	} {
		t.Run(x.name, func(t *testing.T) {
			texts := map[string]string{}
			var order []string // the ids of the requests in the order in which the upstream received them
			upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
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
			b := newBalancer(t, activeMember("s-00000001", upstream))
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
			assertEqual(t, "connections", upstream.opened(), x.connected)
		})
	}
}

// awaitUnreadBytes waits until there are unread bytes on the only idle upstream connection.
func (b *testBalancer) awaitUnreadBytes(t *testing.T) {
	t.Helper()
	b.await(t, "unread bytes on the idle connection", func(l *loop) bool {
		idle := l.endpoints[1].idle
		return len(idle) == 1 && idle[0].CheckIdle() != nil
	})
}
