package proxy

import (
	"net"
	"net/http"
	"testing"
)

// An upstream may answer a request twice, the second time some milliseconds late. HTTP/1.1 marks no answer with its request, so
// only the order tells whose it is: a second answer that comes while its connection rests is nobody's, and the connection is
// not used again; one that comes once the next request has been written there can't be told from that request's own.
func TestSecondAnswerOfAnUpstream(t *testing.T) {
	for _, x := range []struct {
		name      string
		atRest    bool     // the second answer comes before the next request
		answers   []string // of three requests, one after the other
		connected int
	}{
		{"while the connection rests", true, []string{"first", "second", "third"}, 2},
		{"once the next request has been written", false, []string{"first", "again first", "third"}, 2},
	} {
		t.Run(x.name, func(t *testing.T) {
			texts := map[string]string{}
			var order []string // of requests by id, one at a time
			s := newServer(t, func(c net.Conn, r *http.Request) bool {
				id := r.Header.Get("X-Request-Id")
				order = append(order, id)
				switch {
				case len(order) == 1 && x.atRest:
					return ok(c, texts[id]) && ok(c, "again "+texts[id])
				case len(order) == 2 && !x.atRest:
					return ok(c, "again "+texts[order[0]]) && ok(c, texts[id])
				}
				return ok(c, texts[id])
			})
			b := newBalancer(t, up("s-00000001", s))
			for i, text := range []string{"first", "second", "third"} {
				r := b.ask("checkin", "")
				texts[r.Header.Get("X-Request-Id")] = text
				status, answer := b.do(t, r)
				want(t, "status", status, 200)
				want(t, "answer", answer, x.answers[i])
				b.settled(t)
				b.awaitUnreadBytes(t, i == 0 && x.atRest || i == 1 && !x.atRest)
			}
			want(t, "connections", s.opened(), x.connected)
		})
	}
}

// unreadBytesHaveCome waits, where bytes are due on the one idle connection, until they are there.
func (b *testBalancer) awaitUnreadBytes(t *testing.T, due bool) {
	t.Helper()
	if !due {
		return
	}
	b.await(t, "bytes that nobody asked for have come", func(l *loop) bool {
		idle := l.peers[1].idle
		if len(idle) != 1 {
			return false
		}
		_, err := idle[0].reader.Peek(1)
		return err == nil
	})
}
