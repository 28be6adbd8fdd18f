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
	// defaultTimeout applies to requests without a deadline.
	defaultTimeout = time.Second
	// answerMargin is how long before the client's deadline a request is abandoned.
	answerMargin = 20 * time.Millisecond
	// lateAnswerDelay is how long after the deadline modeLateAnswer forwards a request.
	lateAnswerDelay = 2 * time.Second
	// One in rareFaultPeriod or frequentFaultPeriod requests is handled incorrectly, depending on the mode.
	rareFaultPeriod     = 20
	frequentFaultPeriod = 5
	// unknownRequestID is a request id that no client uses.
	unknownRequestID = "00000000000000aa"
	// forgedBody looks like an upstream's answer to another request.
	forgedBody = "0123456789abcdef 0 0\n"
)

// ServeHTTP answers health checks and forwards all other requests.
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
	if b.mode == modeCrash && n > crashAfterRequests { // rejects further requests, so that none is in flight at the exit
		http.Error(w, "ending", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.forward(w, r, body, n)
}

// timeoutOf returns the time until the client's deadline.
func timeoutOf(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		return defaultTimeout
	}
	return time.Duration(ms) * time.Millisecond
}

// forward forwards the n-th request and answers it, applying the defect of the mode.
func (b *balancer) forward(w http.ResponseWriter, r *http.Request, body []byte, n int64) {
	timeout := timeoutOf(r)
	ctx, cancel := context.WithTimeout(context.Background(), timeout-answerMargin)
	defer cancel()
	id := r.Header.Get("X-Request-Id")
	switch {
	case b.mode == modeLateAnswer && n%rareFaultPeriod == 0:
		time.Sleep(timeout + lateAnswerDelay)
	case b.mode == modeForgedAnswer && n%rareFaultPeriod == 0:
		fmt.Fprint(w, forgedBody)
		return
	case b.mode == modeUnknownRequest && n%rareFaultPeriod == 0:
		b.attempt(ctx, r, body, unknownRequestID, 0)
	case b.mode == modeConcurrentCopies && r.Method == http.MethodGet && n%frequentFaultPeriod == 0:
		go b.attempt(ctx, r, body, id, 1)
	}
	status, answer := b.attempt(ctx, r, body, id, 0)
	if b.mode == modeUnsafeRetry && r.Method == http.MethodPost && n%frequentFaultPeriod == 0 {
		b.attempt(ctx, r, body, id, 1)
	}
	if b.mode == modeDuplicateAnswer && n%rareFaultPeriod == 0 && status == http.StatusOK {
		answerTwice(w, answer)
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(answer) // a client that has disconnected gets nothing
}

// attempt sends a request with the given id to an upstream, which pick selects, and returns the upstream's answer.
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

// answerTwice writes the same answer twice on the client's connection.
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
