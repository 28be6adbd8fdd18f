package proxy

import (
	"context"
	"net/http"
	"testing"
	"time"

	"clayladder"
	"clayladder/internal/wire"
)

// bench is a loop that does not run: its methods are called one by one, and what it is told is in its events.
func bench(t *testing.T, maxConns int) *loop {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l := newLoop(ctx, &Config{Links: wire.Links{ConnectTimeout: 10 * time.Second, KeepAlive: time.Minute}})
	l.maxConns = maxConns
	return l
}

// join adds an upstream to a loop.
func join(l *loop, id clayladder.UpstreamID, s *server) *peer {
	l.peers[id] = &peer{id: id, address: s.addr, out: map[*attempt]struct{}{}}
	return l.peers[id]
}

// request adds a request to a loop.
func (l *loop) request(id clayladder.RequestID) *request {
	r := &request{reply: make(chan answer, 1), deadline: l.now() + time.Minute,
		message: message{line: "POST /x", host: "x", header: http.Header{}}}
	r.ID = id
	l.requests[id] = r
	return r
}

// idle opens a connection to an upstream and lets it idle since at.
func idle(t *testing.T, l *loop, p *peer, at time.Duration) *conn {
	t.Helper()
	c, err := l.dial.connect(nil, p.address)
	if err != nil {
		t.Fatal(err)
	}
	c.idleAt = at
	p.idle, l.conns = append(p.idle, c), l.conns+1
	return c
}

// Connections that idled at other upstreams once took all the room there was. Attempts failed unsent, and the
// module took their upstreams for unreachable.
func TestIdleConnectionGivesWayWhereRoomIsShort(t *testing.T) {
	one, two, three := newServer(t, okAll), newServer(t, okAll), newServer(t, okAll)
	l := bench(t, 2)
	older, newer := join(l, 1, one), join(l, 2, two)
	join(l, 3, three)
	c := idle(t, l, older, l.now()-2*time.Second)
	idle(t, l, newer, l.now()-time.Second)
	for id := range clayladder.RequestID(3) {
		l.request(id)
		l.Send(id, 3, 0)
		if id < 2 {
			<-three.arrivals
		}
	}
	want(t, "attempts unsent", len(l.due), 1) // the third found no room, and nothing idle
	want(t, "idle", len(older.idle)+len(newer.idle), 0)
	want(t, "connections", l.conns, 2)
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("bytes on a closed connection")
	}
}
