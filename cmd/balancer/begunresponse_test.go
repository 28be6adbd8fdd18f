package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sprucehill/internal/lab/hostile"
)

const (
	// slowResponseBytes is the length of a response that is written slowly, over the 64 KiB up to which the last byte is timed.
	slowResponseBytes = 200_000
	// slowResponsePieces is in how many pieces it is written, slowResponsePause the rest between two of them.
	slowResponsePieces = 4
	slowResponsePause  = 700 * time.Millisecond
	// slowResponseStart is how long the upstream takes for the head: less than after which an endpoint counts as unresponsive.
	slowResponseStart = 20 * time.Millisecond
	// slowResponseWait is how long the client waits. The response has begun by then, and is not complete.
	slowResponseWait = 600 * time.Millisecond
)

// writeSlowly writes a successful response in the form that the query names, in pieces with rests between them, the first one after
// the head.
func writeSlowly(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	time.Sleep(slowResponseStart)
	head, body := "Connection: close", strings.Repeat("b", slowResponseBytes)
	switch r.URL.Query().Get("form") {
	case "length":
		head = "Content-Length: " + strconv.Itoa(slowResponseBytes)
	case "chunks":
		head, body = "Transfer-Encoding: chunked", inChunks(body, 2*slowResponsePieces)
	case "one chunk":
		head, body = "Transfer-Encoding: chunked", inChunks(body, 1)
	}
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"\r\n\r\n"); err != nil {
		return
	}
	for piece := range slowResponsePieces {
		time.Sleep(slowResponsePause)
		if _, err := io.WriteString(conn, body[len(body)*piece/slowResponsePieces:len(body)*(piece+1)/slowResponsePieces]); err != nil {
			return
		}
	}
}

// inChunks returns a body of equal bytes in a number of equal chunks.
func inChunks(body string, count int) string {
	size := len(body) / count
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, body[:size]), count) + "0\r\n\r\n"
}

// receiveSlowResponse sends a request and checks that its response begins in time and is complete.
func receiveSlowResponse(ctx context.Context, address string, r hostile.Request) error {
	response := hostile.Exchange(ctx, address, r, processTimeout)
	if response.Err != nil || response.Status != http.StatusOK || response.BodyLength != slowResponseBytes {
		return errors.Join(fmt.Errorf("status %d with %d of %d bytes after %v",
			response.Status, response.BodyLength, slowResponseBytes, response.Elapsed), response.Err)
	}
	if response.Begun > r.Deadline+responseGrace {
		return fmt.Errorf("began after %v, the client waits %v", response.Begun, r.Deadline)
	}
	return nil
}

// A long response that an upstream has begun in time, and is still writing, reaches its client whole beyond the client's deadline,
// whatever happens to the balancer meanwhile. Guards against a deadline, drain or shutdown that treats it as one that has not begun.
func TestSlowlyWrittenLongResponseIsForwarded(t *testing.T) {
	for _, x := range []struct {
		name    string
		trouble func(t *testing.T, p *process)
	}{
		{"nothing happens", func(t *testing.T, _ *process) { t.Helper() }},
		{"SIGTERM", func(t *testing.T, p *process) {
			t.Helper()
			p.signal(t, syscall.SIGTERM)
		}},
		{"held up", func(t *testing.T, p *process) {
			t.Helper()
			ctx, cancel := context.WithTimeout(t.Context(), slowResponseWait)
			defer cancel()
			hostile.Throttle(ctx, p.Process, 0.25, 200*time.Millisecond)
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			p, address, _ := startHostile(t, 24, writeSlowly)
			var clients sync.WaitGroup
			for _, class := range []string{"read", "buy"} {
				for _, form := range []string{"length", "chunks", "one+chunk", "close"} {
					r := hostile.Request{Class: class, ID: newRequestID(), Deadline: slowResponseWait, Query: "form=" + form}
					if class == "buy" {
						r.Method = http.MethodPost
					}
					clients.Go(func() {
						if err := receiveSlowResponse(t.Context(), address, r); err != nil {
							t.Errorf("%s, %s: %v", class, form, err)
						}
					})
				}
			}
			time.Sleep(slowResponseStart / 2) // all requests have been forwarded
			x.trouble(t, p)
			clients.Wait()
		})
	}
}

// A long response that is being written slowly reaches its client whole although a successor takes the listener over and this process
// gets SIGTERM.
func TestSlowlyWrittenLongResponseSurvivesAnUpgrade(t *testing.T) {
	discovery := startHostileUpstreams(t, 24, nil, writeSlowly)
	address, listener := openSharedListener(t)
	old := startHostileProcess(t, address, discovery, listener)
	receive := func(form string) error {
		r := hostile.Request{Class: "read", ID: newRequestID(), Deadline: slowResponseWait, Query: "form=" + form}
		return receiveSlowResponse(t.Context(), address, r)
	}
	waitFor(t, "the endpoint list", func() bool { return receive("length") == nil })
	var clients sync.WaitGroup
	for _, form := range []string{"length", "chunks", "one+chunk", "close"} {
		clients.Go(func() {
			if err := receive(form); err != nil {
				t.Errorf("%s: %v", form, err)
			}
		})
	}
	time.Sleep(slowResponseStart / 2)
	startHostileProcess(t, address, discovery, listener)
	old.signal(t, syscall.SIGTERM)
	clients.Wait()
}
