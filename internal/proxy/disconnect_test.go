package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"

	"sprucehill/balancer"
	"sprucehill/internal/framing"
)

// cancelSettings are the settings with and without cancelling attempts that have been sent.
var cancelSettings = map[string]string{"cancel": `"cancel":true`, "no cancel": `"cancel":false`}

// A client that disconnects while its request waits for an upstream connection takes the request along, whatever its class
// and whether or not the settings allow cancelling attempts that have been sent: no byte of it reaches the upstream once
// the disconnect has been noticed. Without cancelling it used to be forwarded when the connection came up.
func TestDisconnectDuringDialIsNotForwarded(t *testing.T) {
	for name, cancel := range cancelSettings {
		for _, class := range []string{"read", "pay", "checkin"} {
			t.Run(name+" "+class, func(t *testing.T) {
				s, g := newTestUpstream(t, respondOK), newDialGate(t)
				b := newBalancerWith(t, newTestDiscovery(t), func(c *Config) {
					withSettings(t, `"cancel":true`, cancel)(c)
					c.openConn = g.open
				}, activeMember("s-00000001", s))
				c := b.sendRaw(t, class, "")
				g.next(t)
				c.Close()
				b.awaitRequestsClosed(t)
				var bounds map[balancer.EndpointID]balancer.EndpointStats
				b.runInLoop(t, func(l *loop) { bounds = endpointStatsOf(l) })
				g.openAllNow()
				b.awaitSettled(t)
				assertEqual(t, "requests at the upstream", len(s.arrivals), 0)
				b.runInLoop(t, func(l *loop) {
					assertEqual(t, "connections", l.pool.open, 1) // it serves the next request
					assertEqual(t, "figures of the upstream", fmt.Sprint(endpointStatsOf(l)), fmt.Sprint(bounds))
				})
				status, _ := b.do(t, b.newRequest(class, ""))
				assertEqual(t, "status of the next", status, 200)
				assertEqual(t, "opened", s.opened(), 1)
			})
		}
	}
}

// endpointStatsOf returns what the decision module has learnt of each upstream.
func endpointStatsOf(l *loop) map[balancer.EndpointID]balancer.EndpointStats {
	all := map[balancer.EndpointID]balancer.EndpointStats{}
	for _, x := range l.balancer.TakeSnapshot(l.now()).Endpoints {
		all[x.ID] = x
	}
	return all
}

// Many clients disconnect at moments drawn from a seed: at once, when their upstream connection is asked for, while it
// comes up, or after they have been served. An attempt that was not claimed for writing when the disconnect was noticed
// never reaches the upstream, and all counters return to zero.
func TestDisconnectAtAnyMoment(t *testing.T) {
	for name, cancel := range cancelSettings {
		t.Run(name, func(t *testing.T) {
			const seed, clients = 17, 300
			rng := rand.New(rand.NewPCG(seed, 0))
			g := newDialGate(t)
			s := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool { // each attempt gets a connection of its own
				io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
				return false
			})
			b := newBalancerWith(t, newTestDiscovery(t), func(c *Config) {
				withSettings(t, `"cancel":true`, cancel)(c)
				c.openConn = g.open
			}, activeMember("s-00000001", s))
			forbidden := map[string]bool{}
			dialed := 0
			for range clients {
				c := b.sendRaw(t, []string{"read", "pay", "checkin"}[rng.IntN(3)], "")
				id := fmt.Sprintf("%016x", lastID)
				phase := rng.IntN(4)
				if phase == 0 { // its disconnect may be noticed before a connection is asked for
					c.Close()
					eventually(t, "the request has been read", func() bool { return clientLedger.knows(id) })
					b.awaitClientsClosed(t)
					b.awaitRequestsClosed(t)
					forbidden[id] = true
					dialed += g.openUntil(t, func() bool { return b.attemptsOut(t) == 0 })
					b.awaitSettled(t)
					b.runInLoop(t, func(l *loop) { l.CloseIdle(1) })
					continue
				}
				d := g.next(t)
				dialed++
				switch phase {
				case 2: // in either order
					go close(d.connect)
				case 3:
					close(d.connect)
					if _, err := io.ReadAtLeast(c, make([]byte, 12), 12); err != nil {
						t.Fatalf("seed %d, request %s: %v", seed, id, err)
					}
				}
				c.Close()
				b.awaitRequestsClosed(t)
				if phase == 1 {
					forbidden[id] = true
					close(d.connect)
				}
				b.awaitSettled(t)
				b.runInLoop(t, func(l *loop) { l.CloseIdle(1) }) // the next attempt gets one of its own
			}
			s.awaitConnsEnded(t, dialed)
			sent := 0
			for len(s.arrivals) > 0 {
				r := <-s.arrivals
				if sent++; forbidden[r.Header.Get("X-Request-Id")] {
					t.Errorf("seed %d: request %s was forwarded after its client had disconnected", seed, r.Header.Get("X-Request-Id"))
				}
			}
			t.Logf("seed %d: %d clients, %d disconnected while their request waited, %d requests forwarded", seed, clients, len(forbidden), sent)
			if len(forbidden) < clients/8 || sent < clients/8 {
				t.Errorf("seed %d: too few of a kind", seed)
			}
		})
	}
}

// A disconnect is noticed behind bytes that nobody reads while the request waits: part of a next request, in one piece with
// the first or later, a complete one, or more than is buffered. It used to go unnoticed, and the request was forwarded when
// its connection came up.
func TestDisconnectBehindUnreadBytesIsNoticed(t *testing.T) {
	part := "GET /read/y HTTP/1.1\r\nHost: x\r\n"
	for name, behind := range map[string]string{"a byte": "G", "part of a head": part, "a complete one": part + "\r\n",
		"many": strings.Repeat(part+"\r\n", 200), "much": strings.Repeat("x", 3<<20), "no head": "\r\n\r\n\x00"} {
		for _, once := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, in one piece %v", name, once), func(t *testing.T) {
				s, g := newTestUpstream(t, respondOK), newDialGate(t)
				b := newBalancerWith(t, newTestDiscovery(t), func(c *Config) { c.openConn = g.open }, activeMember("s-00000001", s))
				with := behind[:min(len(behind), 1000)]
				if !once {
					with = ""
				}
				c := b.sendRaw(t, "pay", with)
				g.next(t) // the request has been taken
				if _, err := io.WriteString(c, behind[len(with):]); err != nil {
					t.Fatal(err)
				}
				c.Close()
				b.awaitRequestsClosed(t)
				for _, answers := range []string{"passed", "dropped", "bad_gateway"} {
					assertEqual(t, answers, b.metric(t, "svc_"+answers+`{category="pay"}`), 0)
				}
				g.openAllNow()
				b.awaitSettled(t)
				assertEqual(t, "requests at the upstream", len(s.arrivals), 0)
				b.awaitClientsClosed(t)
			})
		}
	}
}

// What comes behind a request that waits is neither lost nor parsed too soon: complete requests are answered in their turn,
// up to what is buffered; malformed ones end the connection after the response that is due.
func TestPipelinedRequests(t *testing.T) {
	for _, x := range []struct {
		name   string
		behind func(b *testBalancer) string
		served int
	}{
		{"three more", func(b *testBalancer) string {
			var all bytes.Buffer
			for range 3 {
				_ = b.newRequest("read", "").Write(&all) // writing to a buffer never fails
			}
			return all.String()
		}, 4},
		{"too much", func(*testBalancer) string { return strings.Repeat("x", 2*framing.ReadAheadBuffer) }, 1},
		{"a length and chunks", func(*testBalancer) string {
			return "POST /pay/x HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
		}, 1},
	} {
		for _, cut := range []int{0, 1, 40, 1 << 20} { // how much comes in one piece with the first request
			t.Run(fmt.Sprintf("%s, cut at %d", x.name, cut), func(t *testing.T) {
				s, g := newTestUpstream(t, respondOK), newDialGate(t)
				b := newBalancerWith(t, newTestDiscovery(t), func(c *Config) { c.openConn = g.open }, activeMember("s-00000001", s))
				behind := x.behind(b)
				cut := min(cut, len(behind)-1) // the last byte comes later: it is read by whoever watches for a disconnect
				c := b.sendRaw(t, "read", behind[:cut])
				g.next(t)
				for i := cut; i < len(behind); i += 7000 {
					if _, err := io.WriteString(c, behind[i:min(len(behind), i+7000)]); err != nil {
						t.Fatal(err)
					}
				}
				g.openAllNow()
				in := bufio.NewReader(c)
				for range x.served {
					partialRequest{Conn: c, in: in}.answer(t)
				}
				_ = c.(*net.TCPConn).CloseWrite() // the balancer may have closed the connection already
				io.Copy(io.Discard, in)           // its end
				b.awaitSettled(t)
				b.awaitClientsClosed(t)
				assertEqual(t, "requests at the upstream", len(s.arrivals), x.served)
			})
		}
	}
}

// A request whose client disconnects before the balancer has read any of it is not forwarded. It used to reach an upstream
// before net/http's next read showed the disconnect.
func TestDisconnectBeforeReadIsNotForwarded(t *testing.T) {
	const clients = 50
	for name, leave := range map[string]func(c *net.TCPConn){
		"closes": func(*net.TCPConn) {},
		"resets": func(c *net.TCPConn) { c.SetLinger(0) },
	} {
		for _, class := range []string{"read", "pay", "checkin"} {
			t.Run(class+" "+name, func(t *testing.T) {
				s := newTestUpstream(t, respondOK)
				l := &pausedListener{resume: make(chan struct{}), ending: make(chan struct{})}
				b := newBalancerOn(t, newTestDiscovery(t), func(x net.Listener) net.Listener {
					l.recordingListener = x.(recordingListener)
					return l
				}, func(*Config) {}, activeMember("s-00000001", s))
				for range clients {
					c := b.sendRaw(t, class, "").(*net.TCPConn)
					leave(c)
					c.Close()
				}
				last := b.sendRaw(t, class, "") // behind all of them
				close(l.resume)
				partialRequest{Conn: last, in: bufio.NewReader(last)}.answer(t)
				last.Close()
				b.awaitClientsClosed(t)
				b.awaitSettled(t)
				assertEqual(t, "requests at the upstream", len(s.arrivals), 1)
			})
		}
	}
}
