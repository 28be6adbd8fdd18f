package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// defaultTimeout is for requests that carry no deadline.
	defaultTimeout = time.Second
	// answerMargin is how long before its client's deadline a request is given up.
	answerMargin = 20 * time.Millisecond
	// silentFor is how long past the deadline modeSilent keeps a client waiting.
	silentFor = 2 * time.Second
	// rarely and often are of how many requests one is treated wrongly.
	rarely = 20
	often  = 5
	// unknownRequest is an id that no client sends.
	unknownRequest = "00000000000000aa"
	// forgedBody looks like an upstream's answer to another request.
	forgedBody = "0123456789abcdef 0 0\n"
)

// ServeHTTP answers health checks and forwards all else.
func (b *balancer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		if b.draining.Load() {
			http.Error(w, "leaving", http.StatusServiceUnavailable)
		}
		return
	}
	b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	if b.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	n := b.received.Add(1)
	if b.mode == modeCrasher && n > crashAfter { // the rest is rejected, so that its exit loses nothing
		http.Error(w, "ending", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.forward(w, r, body, n)
}

// timeoutOf is how long a client waits for the answer to its request.
func timeoutOf(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		return defaultTimeout
	}
	return time.Duration(ms) * time.Millisecond
}

// forward forwards the n-th request and answers it, with what its mode does wrong.
func (b *balancer) forward(w http.ResponseWriter, r *http.Request, body []byte, n int64) {
	timeout := timeoutOf(r)
	ctx, cancel := context.WithTimeout(context.Background(), timeout-answerMargin)
	defer cancel()
	id := r.Header.Get("X-Request-Id")
	switch {
	case b.mode == modeSilent && n%rarely == 0:
		time.Sleep(timeout + silentFor)
	case b.mode == modeForger && n%rarely == 0:
		fmt.Fprint(w, forgedBody)
		return
	case b.mode == modeInventor && n%rarely == 0:
		b.attempt(ctx, r, body, unknownRequest, 0)
	case b.mode == modeCopier && r.Method == http.MethodGet && n%often == 0:
		go b.attempt(ctx, r, body, id, 1)
	}
	status, answer := b.attempt(ctx, r, body, id, 0)
	if b.mode == modeRepeater && r.Method == http.MethodPost && n%often == 0 {
		b.attempt(ctx, r, body, id, 1)
	}
	if b.mode == modeTwice && n%rarely == 0 && status == http.StatusOK {
		answerTwice(w, answer)
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(answer) // a client that has disconnected gets nothing
}

// attempt sends a request with an id to an upstream (see pick) and returns its answer.
func (b *balancer) attempt(ctx context.Context, r *http.Request, body []byte, id string, skip int) (status int, answer []byte) {
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+b.pick(skip)+r.RequestURI, bytes.NewReader(body))
	if err != nil {
		return http.StatusBadGateway, nil
	}
	request.Header.Set("X-Request-Id", id)
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	resp, err := b.upstream.Do(request)
	if err != nil {
		return http.StatusBadGateway, nil
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	if err != nil {
		return http.StatusBadGateway, nil
	}
	return resp.StatusCode, answer
}

// answerTwice writes an answer and, behind it, the same again.
func answerTwice(w http.ResponseWriter, answer []byte) {
	conn, out, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	for range 2 {
		fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)
	}
	out.Flush()
}
