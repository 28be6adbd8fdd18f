//go:build review

package stage

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// upstream is a stand-in of an upstream: it gives each request on each connection to handle, which answers it.
type upstream struct {
	stage  *stage
	entry  member
	handle func(c *upstreamConn, r *http.Request, body []byte) (keep bool)

	listener net.Listener

	mu    sync.Mutex
	conns []*upstreamConn // those that were ever open
}

// upstreamConn is a connection from the balancer.
type upstreamConn struct {
	net.Conn
	reader *bufio.Reader
}

// startUpstream starts an upstream. Its ID and zone follow from its number.
func (s *stage) startUpstream(number int, handle func(c *upstreamConn, r *http.Request, body []byte) (keep bool)) *upstream {
	l := s.listen()
	u := &upstream{stage: s, handle: handle, listener: l}
	u.entry = member{ID: fmt.Sprintf("s-%08x", 0x5be2a000+number), HostPort: l.Addr().String(), Locality: fmt.Sprintf("z%d", 1+number%2),
		Flavor: "k", Cell: 1 + number%2, Phase: "up", Size: 1}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conn := &upstreamConn{Conn: c, reader: bufio.NewReader(c)}
			u.mu.Lock()
			u.conns = append(u.conns, conn)
			u.mu.Unlock()
			go u.serve(conn)
		}
	}()
	return u
}

func (u *upstream) serve(c *upstreamConn) {
	defer c.Close()
	for {
		r, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !u.handle(c, r, body) {
			return
		}
	}
}

// end ends the upstream as if its process had died: its connections are closed, and new ones are refused.
func (u *upstream) end() {
	u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		c.Close()
	}
}

// answer writes a 200 with a length.
func (c *upstreamConn) answer(body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// plain answers after some work, with a body that only this request has.
func plain(work time.Duration) func(c *upstreamConn, r *http.Request, body []byte) bool {
	return func(c *upstreamConn, r *http.Request, _ []byte) bool {
		time.Sleep(work)
		return c.answer(bodyOf(r.Header.Get("X-Request-Id")))
	}
}

// bodyOf returns the body that upstreams make for a request.
func bodyOf(id string) string { return "made for " + id }

// client is a client's connection.
type client struct {
	net.Conn
	reader     *bufio.Reader
	lastClosed bool // the last answer announced that the connection is closed
}

// dial connects a client.
func (p *process) dial() *client {
	c, err := net.DialTimeout("tcp", p.address, 2*time.Second)
	must(err)
	return &client{Conn: c, reader: bufio.NewReader(c)}
}

// requestText returns a request of a class. body is for POST.
func requestText(class, id string, deadlineMS int, body string) string {
	method, key := "POST", ""
	switch class {
	case "plan-trip":
		method = "GET"
	case "wallet-topup":
		key = "Idempotency-Key: k" + id + "\r\n"
	}
	length := ""
	if method == "POST" {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: acme\r\n"+
		"Cookie: obj=7f3a9c21e0b4d655\r\nX-Deadline-Ms: %d\r\n%s%s\r\n%s", method, class, id, class, deadlineMS, key, length, body)
}

// readAnswer reads a response completely.
func (c *client) readAnswer() (status int, body string, err error) {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, "", err
	}
	c.lastClosed = resp.Close
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}
