package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"sprucehill/balancer"
)

// bench is a loop that does not run: its methods are called one by one, and what it is told is in its events.
func bench(t *testing.T, maxConns int) *loop {
	t.Helper()
	c := benchConfig(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	c.open = recordingOpener(nil)
	l := newLoop(ctx, &c)
	if err := l.start(&c); err != nil {
		t.Fatal(err)
	}
	l.pool.maxConns = maxConns
	return l
}

// benchConfig is the configuration of a loop that does not run.
func benchConfig(t *testing.T) Config {
	t.Helper()
	f := file{Name: "n0", Listen: "127.0.0.1:1", Discovery: "127.0.0.1:1", Seed: "1", Settings: json.RawMessage(settingsText)}
	f.Limits.MemoryMB, f.Limits.Sockets = 192, 1024
	c, err := f.config()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// join adds an upstream to a loop.
func join(l *loop, id balancer.EndpointID, s *server) *peer {
	l.peers[id] = &peer{id: id, address: s.addr, out: map[*attempt]struct{}{}}
	return l.peers[id]
}

// request adds a request to a loop.
func (l *loop) request(id balancer.RequestID) *request {
	text := fmt.Sprintf("%016x", id)
	r := &request{reply: make(chan answer, 1), deadline: l.now() + time.Minute,
		message: message{line: "POST /x", host: "x", header: http.Header{"X-Request-Id": {text}}}}
	r.ID = id
	clientLedger.add(text, time.Minute)
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
	p.idle = append(p.idle, c)
	l.pool.conns++
	return c
}

// Connections that idled at other upstreams once took all the room there was. Attempts failed unsent, and the
// module took their upstreams for unreachable. Where nothing idles an attempt is moot: that is no upstream's fault.
func TestIdleConnectionGivesWayWhereRoomIsShort(t *testing.T) {
	one, two, three := newServer(t, okAll), newServer(t, okAll), newServer(t, okAll)
	l := bench(t, 2)
	older, newer := join(l, 1, one), join(l, 2, two)
	join(l, 3, three)
	c := idle(t, l, older, l.now()-2*time.Second)
	idle(t, l, newer, l.now()-time.Second)
	for id := range balancer.RequestID(3) {
		l.request(id)
		l.Send(id, 3, 0)
		if id < 2 {
			<-three.arrivals
		}
	}
	want(t, "attempts unsent", len(l.due), 1) // the third found no room, and nothing idle
	want(t, "its outcome", l.due[0].status, balancer.NotSent)
	want(t, "idle", len(older.idle)+len(newer.idle), 0)
	want(t, "connections", l.pool.conns, 2)
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("bytes on a closed connection")
	}
}

// deadlined is a connection that only notes its deadline.
type deadlined struct {
	net.Conn
	at time.Time
}

func (d *deadlined) SetDeadline(t time.Time) error     { d.at = t; return nil }
func (d *deadlined) SetReadDeadline(t time.Time) error { d.at = t; return nil }

// An attempt that is given up closes its connection, which ends every wait on it: that tells the upstream to stop, and
// the room is needed. Connections kept for late answers once held a quarter of it for 3 s each.
func TestGivenUpAttemptLeavesItsConnection(t *testing.T) {
	for _, closed := range []bool{false, true} { // its request may be sent again, or has had its answer
		l := bench(t, 2)
		p := &peer{id: 1, out: map[*attempt]struct{}{}}
		d := &deadlined{}
		a := &attempt{req: l.request(1), peer: p, conn: &conn{Conn: d}}
		a.req.out, a.req.closed = 1, closed
		a.stage.Store(claimed)
		l.endAttempt(a, balancer.Cancelled)
		if d.at.IsZero() || d.at.After(time.Now()) {
			t.Errorf("request closed %v: deadline %v, want one that has passed", closed, d.at)
		}
	}
}

// The alarm of a closed request stays until its deadline. It kept the body all that time, beside a budget that had it
// given back.
func TestClosedRequestLetsGoOfItsBody(t *testing.T) {
	release := make(chan struct{})
	s := newServer(t, func(c net.Conn, r *http.Request) bool { <-release; return okAll(c, r) })
	l := bench(t, 10)
	join(l, 1, s)
	r := l.request(1)
	r.message.body = []byte("body")
	l.setTimer(timer{at: r.deadline, request: r})
	l.Send(1, 1, 0)
	a := r.attempts[0]
	<-s.arrivals
	l.Fail(1)
	want(t, "held while an attempt is out", len(r.message.body), 4)
	close(release)
	for e := range l.events {
		e.apply(l)
		if e, ok := e.(finished); ok && e.attempt == a {
			break
		}
	}
	want(t, "held by the request", r.message.body == nil, true)
	want(t, "held by the attempt", a.message.body == nil && a.head == nil, true)
	for { // its timer fires all the same, and finds nothing left to do
		pending, ok := l.timers.popDue(math.MaxInt64)
		if !ok {
			break
		}
		if pending.request != nil {
			l.fire(pending)
		}
	}
}

// A connection was used up to a second after the age at which it is to be closed, until the sweep came by: its upstream may
// close it just then, and a class that must not run twice can't be sent again. Attempts and probes open another instead.
func TestIdleConnectionIsNotUsedPastItsAge(t *testing.T) {
	for _, x := range []struct {
		name string
		age  func(l *loop) time.Duration
		uses bool
	}{
		{"young", func(l *loop) time.Duration { return l.pool.idleTimeout / 2 }, true},
		{"of age", func(l *loop) time.Duration { return l.pool.idleTimeout }, false},
	} {
		for _, probes := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, probe %v", x.name, probes), func(t *testing.T) {
				s := newServer(t, okAll)
				l := bench(t, 10)
				p := join(l, 1, s)
				older := idle(t, l, p, l.now()-2*l.pool.idleTimeout)
				idle(t, l, p, l.now()-x.age(l))
				l.pool.nextEviction = l.now() + time.Hour // not yet
				if probes {
					l.HealthCheck(1)
				} else {
					l.request(1)
					l.Send(1, 1, 0)
				}
				e := <-l.events
				e.apply(l)
				<-s.arrivals
				opened := 3
				if x.uses {
					opened = 2
				}
				want(t, "connections opened", s.opened(), opened)
				want(t, "connections counted", l.pool.conns, len(p.idle))
				if !x.uses {
					older.SetReadDeadline(time.Now().Add(10 * time.Second))
					if _, err := older.Read(make([]byte, 1)); err == nil {
						t.Error("bytes on a closed connection")
					}
				}
			})
		}
	}
}

// A list gives an upstream another address, or takes it away, while an attempt waits for its connection: the attempt is
// moot, and nothing of it goes to the old address. Where the address alone changed it was sent there.
func TestMovedUpstreamGetsNothingAtItsOldAddress(t *testing.T) {
	for _, phase := range []string{"up", "draining", "removed"} {
		t.Run(phase, func(t *testing.T) {
			before, after, g := newServer(t, okAll), newServer(t, okAll), newGate(t)
			b := newBalancerWith(t, newRegistry(t), func(c *Config) { c.open = g.open }, up("s-00000001", before))
			c := b.raw(t, "checkin", "", "")
			first := g.next(t)
			m := up("s-00000001", after)
			m.Phase = phase
			list := listing{Revision: 12, Members: []member{m}}
			if phase != "up" {
				list.Members = append(list.Members, up("s-00000002", after))
			}
			<-b.registry.calls
			b.registry.answers <- list
			<-b.registry.calls // the list has been taken
			second := g.next(t)
			want(t, "goes on to", second.address, after.addr)
			close(first.up) // later than the list
			close(second.up)
			if _, err := io.ReadAtLeast(c, make([]byte, 12), 12); err != nil {
				t.Fatal(err)
			}
			b.settled(t)
			want(t, "requests at the old address", len(before.arrivals), 0)
			want(t, "requests at the new one", len(after.arrivals), 1)
		})
	}
}

// noted is a connection that notes when its sending begins and ends. Its reader goes on, after an error, only when the test
// lets it.
type noted struct {
	*net.TCPConn
	events chan string
	read   chan struct{}
	begin  sync.Once
	end    sync.Once
}

func (c *noted) Write(p []byte) (int, error) {
	c.begin.Do(func() { c.events <- "sent" }) // head and body are two writes
	return c.TCPConn.Write(p)
}

func (c *noted) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err != nil {
		<-c.read
	}
	return n, err
}

func (c *noted) CloseWrite() error {
	c.end.Do(func() { c.events <- "ended" })
	return c.TCPConn.CloseWrite()
}

func (c *noted) Close() error {
	c.end.Do(func() { c.events <- "ended" })
	return c.TCPConn.Close()
}

// An attempt that is given up has ended at its upstream before the next one is sent: where the settings have no second copies
// two must not be out at once. Its connection was closed by its reader, when that came to it.
func TestGivenUpAttemptEndsBeforeTheNextIsSent(t *testing.T) {
	hold := make(chan struct{})
	defer close(hold)
	s := newServer(t, func(net.Conn, *http.Request) bool { <-hold; return false })
	events, read := make(chan string, 100), make(chan struct{})
	b := newBalancerWith(t, newRegistry(t), func(c *Config) {
		c.open = func(network, address string, timeout time.Duration) (net.Conn, error) {
			x, err := net.DialTimeout(network, address, timeout)
			if err != nil {
				return nil, err
			}
			return &noted{TCPConn: x.(*net.TCPConn), events: events, read: read}, nil
		}
	}, up("s-00000001", s), up("s-00000002", s))
	defer close(read)
	b.raw(t, "read", "", "")
	<-s.arrivals
	want(t, "first", <-events, "sent")
	b.inLoop(t, func(l *loop) {
		for id := range l.requests {
			l.Cancel(id, 0)
		}
		l.settle()
	})
	<-s.arrivals // the next attempt
	want(t, "then", <-events, "ended")
	want(t, "then", <-events, "sent")
}

// orders calls do with every order of n things.
func orders(n int, do func(order []int)) {
	var place func(order, rest []int)
	place = func(order, rest []int) {
		if len(rest) == 0 {
			do(order)
		}
		for i, x := range rest {
			place(append(slices.Clone(order), x), slices.Delete(slices.Clone(rest), i, i+1))
		}
	}
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	place(nil, all)
}

// Two attempts of a request end, their time runs out, the request's does, and its client leaves, in every order, the attempts
// each with an answer, one that is passed on as it comes, a reset, or unsent: there is at most one answer, and nothing stays
// counted or held.
func TestEndsOfARequestInEveryOrder(t *testing.T) {
	ends := []string{"answer", "stream", "reset", "unsent"}
	plays := 0
	for _, first := range ends {
		for _, second := range ends {
			orders(5, func(order []int) {
				plays++
				l := bench(t, 10)
				p := &peer{id: 1, address: "pipe", state: balancer.Active, out: map[*attempt]struct{}{}}
				l.peers[1] = p
				r := l.request(1)
				held := l.dial.held.free.Load()
				var results []result
				for i, how := range []string{first, second} {
					mine, other := net.Pipe()
					t.Cleanup(func() { other.Close() })
					c := &conn{Conn: mine}
					a := &attempt{req: r, n: i, peer: p, conn: c}
					r.attempts = append(r.attempts, a)
					r.out++
					l.pool.conns++
					p.out[a] = struct{}{}
					res := result{status: balancer.NotSent, conn: c}
					if how != "unsent" {
						a.stage.Store(claimed)
						res = result{status: balancer.Reset}
					}
					if how == "answer" || how == "stream" {
						res = result{status: balancer.OK, body: make([]byte, 0, 100), conn: c}
						l.dial.held.take(100)
					}
					if how == "stream" {
						res.conn, res.more = nil, &stream{conn: c}
					}
					results = append(results, res)
				}
				for _, x := range order {
					switch x {
					case 0, 1:
						finished{r.attempts[x], results[x]}.apply(l)
					case 2:
						l.expireAttempt(r.attempts[0])
					case 3:
						l.Fail(1)
					case 4:
						left{r}.apply(l)
					}
					l.settle()
				}
				answers := 0
				for len(r.reply) > 0 { // its client left as it came: the frontend takes none
					a := <-r.reply
					answers++
					l.dial.held.give(cap(a.body))
					if a.more != nil {
						l.pool.close(a.more.conn)
					}
				}
				if answers > 1 || l.dial.held.free.Load() != held || l.pool.conns != len(p.idle) || r.out != 0 || len(l.requests) != 0 ||
					len(p.out) != 0 {
					t.Fatalf("%s and %s, order %v: answers %d, bytes held %d, connections %d, idle %d, attempts out %d, requests %d",
						first, second, order, answers, held-l.dial.held.free.Load(), l.pool.conns, len(p.idle), r.out, len(l.requests))
				}
			})
		}
	}
	t.Logf("%d plays", plays)
}
