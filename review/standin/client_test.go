//go:build review

package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// clientConn is a client's connection to the balancer.
type clientConn struct {
	net.Conn
	in *bufio.Reader
}

func (p *play) dial() *clientConn {
	c, err := p.tryDial()
	check(err)
	return c
}

func (p *play) tryDial() (*clientConn, error) {
	c, err := net.DialTimeout("tcp", p.balancer.address, 5*time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{c, bufio.NewReader(c)}, nil
}

// requestBytes returns a request with a body of the given length; a class that is safe to repeat has none.
func requestBytes(c class, id string, wait time.Duration, length int) []byte {
	var b bytes.Buffer
	method := http.MethodPost
	if c.repeat == "read_like" {
		method = http.MethodGet
	}
	fmt.Fprintf(&b, "%s /%s HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: kereta-raya\r\n", method, c.name, id, c.name)
	fmt.Fprintf(&b, "X-Deadline-Ms: %d\r\n", wait.Milliseconds())
	if c.repeat == "idempotency_key" {
		fmt.Fprintf(&b, "Idempotency-Key: 5c0f6e1a2b3d4c59%s\r\n", id)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	b.WriteString("\r\n")
	b.Write(bytes.Repeat([]byte("x"), length))
	return b.Bytes()
}

// readAnswer reads one answer.
func (c *clientConn) readAnswer() (status int, body string, closes bool, err error) {
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", true, err
	}
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), response.Close, err
}
