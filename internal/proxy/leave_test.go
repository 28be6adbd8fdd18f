package proxy

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/wire"
)

// gate holds connections to upstreams back, each until the test lets it up.
type dialGate struct {
	dials   chan *pendingDial // each connection that is asked for
	openAll chan struct{}     // closed: all come up
	once    sync.Once
}

// dialing is a connection that is asked for.
type pendingDial struct {
	address string
	up      chan struct{} // closed by the test: it comes up
}

func newGate(t *testing.T) *dialGate {
	g := &dialGate{dials: make(chan *pendingDial, 1000), openAll: make(chan struct{})}
	t.Cleanup(g.openAllNow)
	return g
}

// next is the next connection that is asked for.
func (g *dialGate) next(t *testing.T) *pendingDial {
	t.Helper()
	select {
	case d := <-g.dials:
		return d
	case <-time.After(30 * time.Second):
		t.Fatal("no connection was asked for")
		return nil
	}
}

// liftUntil lets up each connection that is asked for until something is so, and returns how many there were.
func (g *dialGate) openUntil(t *testing.T, is func() bool) (lifted int) {
	t.Helper()
	eventually(t, "the connections that are asked for have come up", func() bool {
		select {
		case d := <-g.dials:
			close(d.up)
			lifted++
		default:
		}
		return is()
	})
	return lifted
}

// attemptsOut is how many attempts have not ended.
func (b *testBalancer) attemptsOut(t *testing.T) (out int) {
	t.Helper()
	b.inLoop(t, func(l *loop) {
		for _, p := range l.peers {
			out += len(p.out)
		}
	})
	return out
}

func (g *dialGate) openAllNow() { g.once.Do(func() { close(g.openAll) }) }

func (g *dialGate) open(network, address string, timeout time.Duration) (net.Conn, error) {
	d := &pendingDial{address, make(chan struct{})}
	g.dials <- d
	select {
	case <-d.up:
	case <-g.openAll:
	}
	return net.DialTimeout(network, address, timeout)
}

// with changes settingsText: each pair is a text in it and what stands there instead.
func with(t *testing.T, pairs ...string) func(*Config) {
	t.Helper()
	text := settingsText
	for i := 0; i < len(pairs); i += 2 {
		if !strings.Contains(text, pairs[i]) {
			t.Fatalf("the settings have no %q", pairs[i])
		}
		text = strings.Replace(text, pairs[i], pairs[i+1], 1)
	}
	return func(c *Config) {
		var err error
		if c.Settings, c.Links, err = wire.DecodeSettings(json.RawMessage(text)); err != nil {
			t.Fatal(err)
		}
	}
}

// inLoop has the loop do something between two events.
func (b *testBalancer) inLoop(t *testing.T, do func(l *loop)) {
	t.Helper()
	asked := order{do, make(chan struct{})}
	b.proxy.loop.post(asked)
	<-asked.done
}

// eventually waits until something is so. Only a failure takes long.
func eventually(t testing.TB, what string, is func() bool) {
	t.Helper()
	for limit := time.Now().Add(30 * time.Second); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("never so: %s", what)
		}
	}
}

// await waits until something is so, as the loop sees it.
func (b *testBalancer) await(t *testing.T, what string, is func(l *loop) bool) {
	t.Helper()
	eventually(t, what, func() (done bool) {
		b.inLoop(t, func(l *loop) { done = is(l) })
		return done
	})
}

// settled waits until nothing is held or out any more, and every connection that is counted idles.
func (b *testBalancer) settled(t *testing.T) {
	t.Helper()
	b.await(t, "no request, no attempt, all connections idle", func(l *loop) bool {
		idle, out := 0, 0
		for _, p := range l.peers {
			idle, out = idle+len(p.idle), out+len(p.out)
		}
		return len(l.requests) == 0 && out == 0 && idle == l.conns && len(l.due) == 0
	})
	eventually(t, "no bytes held, no requests in progress", func() bool {
		return b.proxy.loop.dial.held.free.Load() == b.proxy.config.heldBytes() && b.figure(t, "svc_in_progress") == 0
	})
}

// leaveTaken waits until nothing is owed any more: every client has its answer, or has been seen to leave.
func (b *testBalancer) awaitRequestsClosed(t *testing.T) {
	t.Helper()
	b.await(t, "every request is closed", func(l *loop) bool {
		for _, r := range l.requests {
			if !r.closed {
				return false
			}
		}
		return true
	})
	eventually(t, "no request in progress", func() bool { return b.figure(t, "svc_in_progress") == 0 })
}

// raw writes a request on a connection of its own, and leaves the answer to the test.
func (b *testBalancer) raw(t *testing.T, class, body, behind string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(30 * time.Second)) // only a failure takes as long
	var text bytes.Buffer
	if err := b.ask(class, body).Write(&text); err != nil {
		t.Fatal(err)
	}
	text.WriteString(behind)
	if _, err := c.Write(text.Bytes()); err != nil {
		t.Fatal(err)
	}
	return c
}

var cancelSettings = map[string]string{"cancel": `"cancel":true`, "no cancel": `"cancel":false`}

// A client that leaves while its request waits for a connection takes it along, whatever its class and whether or not the
// settings allow cancelling what has been sent: no byte of it reaches the upstream once the leave has been taken in. Where
// they did not, it was sent on when the connection came up.
func TestLeftDuringADialIsNotSent(t *testing.T) {
	for name, cancel := range cancelSettings {
		for _, class := range []string{"read", "pay", "checkin"} {
			t.Run(name+" "+class, func(t *testing.T) {
				s, g := newServer(t, okAll), newGate(t)
				b := newBalancerWith(t, newRegistry(t), func(c *Config) {
					with(t, `"cancel":true`, cancel)(c)
					c.open = g.open
				}, up("s-00000001", s))
				c := b.raw(t, class, "", "")
				g.next(t)
				c.Close()
				b.awaitRequestsClosed(t)
				var bounds map[balancer.EndpointID]balancer.EndpointStats
				b.inLoop(t, func(l *loop) { bounds = endpointStatsOf(l) })
				g.openAllNow()
				b.settled(t)
				want(t, "requests at the upstream", len(s.arrivals), 0)
				b.inLoop(t, func(l *loop) {
					want(t, "connections", l.conns, 1) // it serves the next
					want(t, "figures of the upstream", fmt.Sprint(endpointStatsOf(l)), fmt.Sprint(bounds))
				})
				status, _ := b.do(t, b.ask(class, ""))
				want(t, "status of the next", status, 200)
				want(t, "opened", s.opened(), 1)
			})
		}
	}
}

// learntOf is what the module has learnt of each upstream.
func endpointStatsOf(l *loop) map[balancer.EndpointID]balancer.EndpointStats {
	all := map[balancer.EndpointID]balancer.EndpointStats{}
	for _, x := range l.balancer.TakeSnapshot(l.now()).Endpoints {
		all[x.ID] = x
	}
	return all
}

// Many clients leave at moments drawn from a seed: at once, as their connection is asked for, as it comes up, or once they
// are served. What has not been claimed for writing when the leave has been taken in never reaches the upstream, and all
// that was counted is back at the end.
func TestLeavesAtAnyMoment(t *testing.T) {
	for name, cancel := range cancelSettings {
		t.Run(name, func(t *testing.T) {
			const seed, clients = 17, 300
			rng := rand.New(rand.NewPCG(seed, 0))
			g := newGate(t)
			s := newServer(t, func(c net.Conn, r *http.Request) bool { // each attempt needs a connection of its own
				io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
				return false
			})
			b := newBalancerWith(t, newRegistry(t), func(c *Config) {
				with(t, `"cancel":true`, cancel)(c)
				c.open = g.open
			}, up("s-00000001", s))
			forbidden := map[string]bool{}
			dialed := 0
			for range clients {
				c := b.raw(t, []string{"read", "pay", "checkin"}[rng.IntN(3)], "", "")
				id := fmt.Sprintf("%016x", lastID)
				phase := rng.IntN(4)
				if phase == 0 { // its leave may be seen before a connection is asked for
					c.Close()
					eventually(t, "the request has been read", func() bool { return clientLedger.knows(id) })
					b.awaitClientsClosed(t)
					b.awaitRequestsClosed(t)
					forbidden[id] = true
					dialed += g.openUntil(t, func() bool { return b.attemptsOut(t) == 0 })
					b.settled(t)
					b.inLoop(t, func(l *loop) { l.CloseIdle(1) })
					continue
				}
				d := g.next(t)
				dialed++
				switch phase {
				case 2: // in either order
					go close(d.up)
				case 3:
					close(d.up)
					if _, err := io.ReadAtLeast(c, make([]byte, 12), 12); err != nil {
						t.Fatalf("seed %d, request %s: %v", seed, id, err)
					}
				}
				c.Close()
				b.awaitRequestsClosed(t)
				if phase == 1 {
					forbidden[id] = true
					close(d.up)
				}
				b.settled(t)
				b.inLoop(t, func(l *loop) { l.CloseIdle(1) }) // the next needs one of its own
			}
			s.awaitConnsEnded(t, dialed)
			sent := 0
			for len(s.arrivals) > 0 {
				r := <-s.arrivals
				if sent++; forbidden[r.Header.Get("X-Request-Id")] {
					t.Errorf("seed %d: request %s was sent on after its client had left", seed, r.Header.Get("X-Request-Id"))
				}
			}
			t.Logf("seed %d: %d clients, %d left while their request waited, %d requests sent", seed, clients, len(forbidden), sent)
			if len(forbidden) < clients/8 || sent < clients/8 {
				t.Errorf("seed %d: too few of a kind", seed)
			}
		})
	}
}

// A client's leave is seen behind bytes that nobody reads while its request waits: part of a next request, in one piece with
// the first or later, a whole one, or more than is kept. Where it was not, the request was sent on when its connection
// came up.
func TestLeaveBehindUnreadBytesIsSeen(t *testing.T) {
	part := "GET /read/y HTTP/1.1\r\nHost: x\r\n"
	for name, behind := range map[string]string{"a byte": "G", "part of a head": part, "a whole one": part + "\r\n",
		"many": strings.Repeat(part+"\r\n", 200), "much": strings.Repeat("x", 3<<20), "no head": "\r\n\r\n\x00"} {
		for _, once := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, in one piece %v", name, once), func(t *testing.T) {
				s, g := newServer(t, okAll), newGate(t)
				b := newBalancerWith(t, newRegistry(t), func(c *Config) { c.open = g.open }, up("s-00000001", s))
				with := behind[:min(len(behind), 1000)]
				if !once {
					with = ""
				}
				c := b.raw(t, "pay", "", with)
				g.next(t) // the request has been taken
				if _, err := io.WriteString(c, behind[len(with):]); err != nil {
					t.Fatal(err)
				}
				c.Close()
				b.awaitRequestsClosed(t)
				for _, answers := range []string{"passed", "dropped", "bad_gateway"} {
					want(t, answers, b.figure(t, "svc_"+answers+`{category="pay"}`), 0)
				}
				g.openAllNow()
				b.settled(t)
				want(t, "requests at the upstream", len(s.arrivals), 0)
				b.awaitClientsClosed(t)
			})
		}
	}
}

// closed waits until no client's connection is open any more.
func (b *testBalancer) awaitClientsClosed(t *testing.T) {
	t.Helper()
	eventually(t, "no client's connection is open", func() bool { return b.proxy.front.openConns() == 0 })
}

// What comes behind a request that waits is neither lost nor looked at too soon: whole requests are answered in their turn,
// up to what is kept; what is improper ends the connection after the answer that is owed.
func TestRequestsBehindOneThatWaits(t *testing.T) {
	for _, x := range []struct {
		name   string
		behind func(b *testBalancer) string
		served int
	}{
		{"three more", func(b *testBalancer) string {
			var all bytes.Buffer
			for range 3 {
				b.ask("read", "").Write(&all)
			}
			return all.String()
		}, 4},
		{"too much", func(b *testBalancer) string { return strings.Repeat("x", 2*readAheadBuffer) }, 1},
		{"a length and chunks", func(b *testBalancer) string {
			return "POST /pay/x HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
		}, 1},
	} {
		for _, cut := range []int{0, 1, 40, 1 << 20} { // what comes in one piece with the first, before it has been read
			t.Run(fmt.Sprintf("%s, cut at %d", x.name, cut), func(t *testing.T) {
				s, g := newServer(t, okAll), newGate(t)
				b := newBalancerWith(t, newRegistry(t), func(c *Config) { c.open = g.open }, up("s-00000001", s))
				behind := x.behind(b)
				cut := min(cut, len(behind)-1) // the last byte comes later: it is read by whoever looks for a leave
				c := b.raw(t, "read", "", behind[:cut])
				g.next(t)
				for i := cut; i < len(behind); i += 7000 {
					if _, err := io.WriteString(c, behind[i:min(len(behind), i+7000)]); err != nil {
						t.Fatal(err)
					}
				}
				g.openAllNow()
				in := bufio.NewReader(c)
				for range x.served {
					partialRequest{Conn: c, in: in}.answer(t, 200)
				}
				c.(*net.TCPConn).CloseWrite()
				io.Copy(io.Discard, in) // its end
				b.settled(t)
				b.awaitClientsClosed(t)
				want(t, "requests at the upstream", len(s.arrivals), x.served)
			})
		}
	}
}

// A keyed request that may have run is repeated only for as long as its upstreams throw repeats away. The module asks for a
// repeat in time, but its connection may come up later; then it was sent all the same. Where nothing may have run, nothing
// is bound.
func TestRepeatIsNotSentAfterItsTime(t *testing.T) {
	for _, x := range []struct {
		name, memory string
		mayHaveRun   bool
		sent         int // in all
	}{
		{"up in time", `"memory_span_us":9000000`, true, 2},
		{"up too late", `"memory_span_us":700000`, true, 1},
		{"up late, but nothing has run", `"memory_span_us":700000`, false, 2},
	} {
		t.Run(x.name, func(t *testing.T) {
			first := true // one connection at a time
			s := newServer(t, func(c net.Conn, r *http.Request) bool {
				if !first {
					return okAll(c, r)
				}
				if first = false; !x.mayHaveRun {
					io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
				}
				return false
			})
			g := newGate(t)
			b := newBalancerWith(t, newRegistry(t), func(c *Config) {
				with(t, `"memory_span_us":9000000`, x.memory)(c)
				c.open = g.open
			}, up("s-00000001", s))
			c := b.raw(t, "pay", "", "")
			close(g.next(t).up)
			<-s.arrivals
			var arrived time.Duration // after it was written
			b.inLoop(t, func(l *loop) { arrived = l.now() })
			second := g.next(t)
			b.await(t, "the short time is over", func(l *loop) bool { return l.now() >= arrived+700*time.Millisecond })
			close(second.up)
			in := bufio.NewReader(c)
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			want(t, "served", resp.StatusCode == 200, x.sent == 2)
			c.Close()
			b.settled(t)
			want(t, "further requests at the upstream", len(s.arrivals), x.sent-1)
		})
	}
}

// Two attempts of a request, in either order: the one that is written later is bound by the one before, unless that has
// certainly not run.
func TestAttemptIsBoundByTheOneWrittenBefore(t *testing.T) {
	const span = time.Second
	for _, never := range []bool{false, true} {
		for _, after := range []time.Duration{span - 1, span} {
			r := &request{}
			r.window.duration = span
			older, newer := &attempt{req: r, deadline: noDeadline}, &attempt{req: r, n: 1, deadline: noDeadline}
			_, newerClaimed := newer.claim(time.Hour)
			want(t, "the newer, first", newerClaimed, true)
			if never {
				r.window.never(newer)
			}
			_, olderClaimed := older.claim(time.Hour + after)
			want(t, "the older, later", olderClaimed, never || after < span)
			want(t, "dropped", older.stage.Load() == dropped, !never && after >= span)
		}
	}
}

// A client sends its request and leaves before the balancer has read any of it: nothing is sent on. The request went to an
// upstream before net/http's next read showed the leave.
func TestLeftBeforeItsRequestWasReadIsNotSent(t *testing.T) {
	const clients = 50
	for name, leave := range map[string]func(c *net.TCPConn){
		"closes": func(c *net.TCPConn) {},
		"resets": func(c *net.TCPConn) { c.SetLinger(0) },
	} {
		for _, class := range []string{"read", "pay", "checkin"} {
			t.Run(class+" "+name, func(t *testing.T) {
				s := newServer(t, okAll)
				l := &pausedListener{resume: make(chan struct{}), ending: make(chan struct{})}
				b := newBalancerOn(t, newRegistry(t), func(x net.Listener) net.Listener {
					l.recordingListener = x.(recordingListener)
					return l
				}, func(*Config) {}, up("s-00000001", s))
				for range clients {
					c := b.raw(t, class, "", "").(*net.TCPConn)
					leave(c)
					c.Close()
				}
				last := b.raw(t, class, "", "") // behind all of them
				close(l.resume)
				partialRequest{Conn: last, in: bufio.NewReader(last)}.answer(t, http.StatusOK)
				last.Close()
				b.awaitClientsClosed(t)
				b.settled(t)
				want(t, "requests at the upstream", len(s.arrivals), 1)
			})
		}
	}
}
