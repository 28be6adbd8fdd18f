package proxy

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"sprucehill/balancer"
	"sprucehill/internal/discovery"
)

// agent is a discovery agent whose responses are written by the test as raw bytes, one call at a time.
type agent struct {
	addr  string
	calls chan agentCall
}

// agentCall is a call that an agent has received. The test writes the response to its connection.
type agentCall struct {
	net.Conn
	query string
}

func newAgent(t *testing.T) *agent {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	a := &agent{addr: l.Addr().String(), calls: make(chan agentCall, 1000)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go a.readCalls(c)
		}
	}()
	return a
}

// readCalls reads the calls of a connection and sends them to a.calls.
func (a *agent) readCalls(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		a.calls <- agentCall{c, r.URL.RawQuery}
	}
}

// newBalancerOfAgent starts a balancer that uses an agent for discovery.
func newBalancerOfAgent(t *testing.T, a *agent, change func(*Config), members ...discovery.Entry) *testBalancer {
	t.Helper()
	return newBalancerWith(t, newTestDiscovery(t), func(c *Config) {
		change(c)
		c.Discovery = a.addr
	}, members...)
}

// chunked returns a body in the chunked transfer encoding, in chunks of n bytes.
func chunked(body string, n int) string {
	var text strings.Builder
	for ; len(body) > n; body = body[n:] {
		fmt.Fprintf(&text, "%x\r\n%s\r\n", n, body[:n])
	}
	fmt.Fprintf(&text, "%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	return text.String()
}

// An endpoint list is read however HTTP frames it, JSON formats it and the network splits it.
func TestEndpointListIsReadInEveryForm(t *testing.T) {
	s := newTestUpstream(t, respondOK)
	list := discovery.List{Revision: 12, Members: []discovery.Entry{drainingMember(activeMember("s-00000001", s)), activeMember("s-00000002", s)}}
	plain, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	indented, err := json.MarshalIndent(list, "", "    ")
	if err != nil {
		t.Fatal(err)
	}
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	lengthOf := func(body []byte) string { return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body) }
	for name, x := range map[string]struct {
		text   string
		pieces int // bytes per write; 0: a single write
		closes bool
	}{
		"plain":               {lengthOf(plain), 0, false},
		"indented":            {lengthOf(indented), 0, false},
		"windows line ends":   {lengthOf([]byte(strings.ReplaceAll(string(indented), "\n", "\r\n"))), 0, false},
		"byte by byte":        {lengthOf(plain), 1, false},
		"in pieces":           {lengthOf(indented), 7, false},
		"in chunks":           {head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(string(indented), 5), 0, false},
		"in chunks, cut":      {head + "Transfer-Encoding: chunked\r\n\r\n" + chunked(string(indented), 5), 3, false},
		"ended by a close":    {head + "Connection: close\r\n\r\n" + string(plain), 0, true},
		"after a 1xx":         {"HTTP/1.1 103 Early Hints\r\n\r\n" + lengthOf(plain), 0, false},
		"with an unknown key": {lengthOf([]byte(strings.Replace(string(plain), "{", `{"more":{"a":[1]},`, 1))), 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			a := newAgent(t)
			b := newBalancerOfAgent(t, a, func(*Config) {}, activeMember("s-00000001", s))
			call := <-a.calls
			assertEqual(t, "first call", call.query, watchQuery(10))
			for text, n := x.text, max(x.pieces, 1); len(text) > 0; {
				if x.pieces == 0 {
					n = len(text)
				}
				n = min(n, len(text))
				if _, err := io.WriteString(call, text[:n]); err != nil {
					t.Fatal(err)
				}
				text = text[n:]
			}
			if x.closes {
				call.Close()
			}
			assertEqual(t, "next call", (<-a.calls).query, watchQuery(12))
			b.runInLoop(t, func(l *loop) {
				assertEqual(t, "state of the first", l.endpoints[1].state, balancer.Draining)
				assertEqual(t, "state of the second", l.endpoints[2].state, balancer.Active)
			})
		})
	}
}

// A watch that ends without a complete response, by a close, a reset or a partial response, is reopened, and the complete
// list that the agent then sends is applied: an upstream that is not in it is removed even if it still responds.
func TestBrokenWatchIsReopened(t *testing.T) {
	for _, mode := range []string{"pushed", "on_request"} {
		for name, end := range map[string]func(c agentCall){
			"closed":                  func(c agentCall) { c.Close() },
			"reset":                   func(c agentCall) { c.Conn.(*net.TCPConn).SetLinger(0); c.Close() },
			"partial response":        func(c agentCall) { io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"rev"); c.Close() },
			"partial status line":     func(c agentCall) { io.WriteString(c, "HTTP/1.1 200 O"); c.Close() },
			"response without a list": func(c agentCall) { io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n") },
		} {
			t.Run(mode+", "+name, func(t *testing.T) {
				removed := newTestUpstream(t, respondOK)
				stays := newTestUpstream(t, respondOK)
				a := newAgent(t)
				b := newBalancerOfAgent(t, a, withSettings(t, `"membership_mode":"on_request"`, `"membership_mode":"`+mode+`"`),
					activeMember("s-00000001", removed), activeMember("s-00000002", stays))
				end(<-a.calls)
				text, err := json.Marshal(discovery.List{Revision: 12, Complete: true, Members: []discovery.Entry{activeMember("s-00000002", stays)}})
				if err != nil {
					t.Fatal(err)
				}
				fmt.Fprintf(<-a.calls, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
				assertEqual(t, "next call", (<-a.calls).query, watchQuery(12))
				for range 10 {
					status, _ := b.do(t, b.newRequest("checkin", ""))
					assertEqual(t, "status", status, 200)
				}
				assertEqual(t, "requests at the removed upstream", len(removed.arrivals), 0)
				assertEqual(t, "requests at the other upstream", len(stays.arrivals), 10)
			})
		}
	}
}
