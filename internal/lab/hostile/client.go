package hostile

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Client is one connection to a balancer, on which bytes are written freely.
type Client struct {
	net.Conn
	reader *bufio.Reader
}

// Dial opens a connection to a balancer.
func Dial(ctx context.Context, address string) (*Client, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connecting to the balancer: %w", err)
	}
	return &Client{Conn: c, reader: bufio.NewReader(c)}, nil
}

// send opens a connection and writes bytes to it, for at most the given time.
func send(ctx context.Context, address string, text []byte, limit time.Duration) (*Client, error) {
	c, err := Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.SetWriteDeadline(time.Now().Add(limit))
	if _, err := c.Write(text); err != nil {
		c.Close()
		return nil, fmt.Errorf("sending to the balancer: %w", err)
	}
	return c, nil
}

// Response is what a client has received.
type Response struct {
	Status     int           // 0 if the connection ended without an answer
	BodyLength int64         // bytes of the body
	Begun      time.Duration // from the call to the end of the head; 0 if there was none
	Elapsed    time.Duration // from the call to the last byte
	Err        error         // why the answer is incomplete; nil: it is complete
}

// Receive reads one answer, for at most the given time.
func (c *Client) Receive(limit time.Duration) Response {
	began := time.Now()
	c.SetReadDeadline(began.Add(limit))
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return Response{Elapsed: time.Since(began), Err: err}
	}
	begun := time.Since(began)
	n, err := io.Copy(io.Discard, answer.Body)
	return Response{Status: answer.StatusCode, BodyLength: n, Begun: begun, Elapsed: time.Since(began), Err: err}
}

// Exchange sends a request on a new connection and reads its answer, for at most the given time.
func Exchange(ctx context.Context, address string, r Request, limit time.Duration) Response {
	return exchangeBytes(ctx, address, r.Bytes(), limit)
}

// exchangeBytes sends bytes on a new connection and reads an answer, each for at most the given time.
func exchangeBytes(ctx context.Context, address string, text []byte, limit time.Duration) Response {
	c, err := send(ctx, address, text, limit)
	if err != nil {
		return Response{Err: err}
	}
	defer c.Close()
	return c.Receive(limit)
}
