//go:build review

package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that an upstream has received with its last byte.
type arrival struct {
	upstream *upstream
	id       string
	class    string
	length   int64
	firstAt  time.Time // when its first byte arrived
	lastAt   time.Time // when its last byte arrived
	deadline string    // X-Deadline-Ms
}

// upstream is a server by the protocol. Its fields must be set before it is listed.
type upstream struct {
	play     *play
	name     string
	listener net.Listener
	// receive is called when a request's last byte has arrived; what it returns ends the wait before the answer.
	receive func(arrival) time.Duration
	// stuck, where set, reports whether the upstream hangs: it then reads nothing more from a connection.
	stuck func() bool
	// afterAnswer, where set, is called with a connection after each answer.
	afterAnswer func(c *upstreamConn, id string, answer []byte)

	mu    sync.Mutex // guards conns
	conns map[net.Conn]bool
}

// upstreamConn is a connection that an upstream has accepted. Answers are written under its lock.
type upstreamConn struct {
	net.Conn
	mu sync.Mutex
}

func (c *upstreamConn) write(answer []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := c.Conn.Write(answer)
	return err
}

func (p *play) newUpstream(number int) *upstream {
	u := &upstream{play: p, name: fmt.Sprintf("s-%08x", 0x5be2a000+number*0x1234567), listener: listenUpstream(), conns: map[net.Conn]bool{}}
	p.closing = append(p.closing, u.close)
	return u
}

// member starts the upstream and returns its entry in discovery's list.
func (u *upstream) member() member {
	go u.accept()
	return member{ID: u.name, HostPort: u.listener.Addr().String(), Locality: "dc-cibitung", Flavor: "fast-node", Cell: 1, Phase: "up", Size: 1}
}

func (u *upstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns[c] = true
		u.mu.Unlock()
		go u.serve(&upstreamConn{Conn: c})
	}
}

func (u *upstream) close() {
	u.listener.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.conns {
		c.Close()
	}
}

// haltingReader reads from a connection while the upstream does not hang.
type haltingReader struct {
	upstream *upstream
	conn     net.Conn
}

func (r haltingReader) Read(p []byte) (int, error) {
	for r.upstream.stuck != nil && r.upstream.stuck() {
		time.Sleep(20 * time.Millisecond)
	}
	return r.conn.Read(p)
}

// serve answers the requests of one connection, one at a time.
func (u *upstream) serve(c *upstreamConn) {
	defer func() {
		c.Close()
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.conns, c.Conn)
	}()
	in := bufio.NewReader(haltingReader{u, c.Conn})
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		a := arrival{upstream: u, firstAt: time.Now()}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if a.length, err = io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		a.id, a.class, a.deadline = r.Header.Get("X-Request-Id"), r.Header.Get("X-Class"), r.Header.Get("X-Deadline-Ms")
		a.lastAt = time.Now()
		if a.id == "" { // no client sent it
			if c.write([]byte("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")) != nil {
				return
			}
			continue
		}
		time.Sleep(u.receive(a))
		for u.stuck != nil && u.stuck() {
			time.Sleep(20 * time.Millisecond)
		}
		body := answerTo(a.id)
		answer := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Load: util=0.30,eps=0.00,queue=0\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if c.write(answer) != nil {
			return
		}
		if u.afterAnswer != nil {
			u.afterAnswer(c, a.id, answer)
		}
	}
}

// answerTo returns the body of an upstream's answer to a request.
func answerTo(id string) string { return "answer to " + id + "\n" }
