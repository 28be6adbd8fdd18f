// Command bad is a plain balancer that can be told to break one rule, by the name in BAD. The lab's checker is proved
// on it: each fault of its has to be caught by its own rule, and its good form by none.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// defaultTimeout is for requests that carry no deadline.
	defaultTimeout = time.Second
	// answerMargin is how long before its client's deadline a request is given up.
	answerMargin = 20 * time.Millisecond
)

// member is an entry of discovery's list.
type member struct {
	ID       string `json:"id"`
	HostPort string `json:"host_port"`
	Phase    string `json:"phase"`
	UpSince  int64  `json:"up_since_ms"`
}

type listing struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

type balancer struct {
	mode     string
	upstream *http.Client
	open     atomic.Int64
	served   atomic.Int64
	leaving  atomic.Bool

	mu      sync.Mutex
	members []member
	turn    int
}

func main() {
	var config struct {
		Listen    string  `json:"listen"`
		Discovery string  `json:"discovery"`
		Known     listing `json:"known"`
	}
	text, err := os.ReadFile(os.Getenv("RELAY_CONFIG"))
	if err == nil {
		err = json.Unmarshal(text, &config)
	}
	if err != nil {
		log.Fatal(err)
	}
	// A kept connection may make the transport send a request again by itself.
	b := &balancer{mode: os.Getenv("BAD"), members: config.Known.Members,
		upstream: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	if b.mode != "deaf" {
		go b.follow(config.Discovery, config.Known.Revision)
	}
	switch b.mode {
	case "hungry":
		hoard(200 << 20)
	case "crasher":
		go b.end()
	case "orphan":
		if err := exec.Command("sleep", "30").Start(); err != nil {
			log.Fatal(err)
		}
	}
	s := &http.Server{Addr: config.Listen, Handler: b}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	go func() {
		<-ctx.Done()
		if b.mode == "hasty" {
			os.Exit(0)
		}
		b.leaving.Store(true)
		time.Sleep(500 * time.Millisecond)
		_ = s.Shutdown(context.Background()) // its error is of the context, which never ends
	}()
	if err := s.ListenAndServe(); err != http.ErrServerClosed {
		log.Fatal(err)
	}
	for b.open.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// hoarded is memory that is held for nothing.
var hoarded []byte

func hoard(n int) {
	hoarded = make([]byte, n)
	for i := 0; i < n; i += 4096 {
		hoarded[i] = 1
	}
}

// follow keeps the list as discovery tells it.
func (b *balancer) follow(address string, revision uint64) {
	for {
		resp, err := http.Get(fmt.Sprintf("http://%s/v1/servers?since=%d&timeout_ms=1000", address, revision))
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		var l listing
		err = json.NewDecoder(resp.Body).Decode(&l)
		resp.Body.Close()
		if err != nil {
			continue
		}
		revision = l.Revision
		b.mu.Lock()
		if l.Complete {
			b.members = nil
		}
		for _, m := range l.Members {
			known := false
			for i := range b.members {
				if b.members[i].ID == m.ID {
					b.members[i], known = m, true
				}
			}
			if !known {
				b.members = append(b.members, m)
			}
		}
		b.mu.Unlock()
	}
}

// pick is the upstream whose turn it is; n tells which one after that.
func (b *balancer) pick(n int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.turn++
	var up []member
	for _, m := range b.members {
		if m.Phase == "up" || b.mode == "drained" {
			up = append(up, m)
		}
	}
	if b.mode == "flood" {
		for _, m := range up {
			if m.UpSince > 0 {
				return m.HostPort
			}
		}
	}
	return up[(b.turn+n)%len(up)].HostPort
}

func (b *balancer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		if b.leaving.Load() {
			http.Error(w, "leaving", http.StatusServiceUnavailable)
		}
		return
	}
	b.open.Add(1)
	defer b.open.Add(-1)
	if b.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	n := b.served.Add(1)
	if b.mode == "crasher" && n > 60 { // what it has left is answered, so that its end loses nothing
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

// forward sends the n-th request on and answers it, with the fault of its mode.
func (b *balancer) forward(w http.ResponseWriter, r *http.Request, body []byte, n int64) {
	timeout := timeoutOf(r)
	ctx, cancel := context.WithTimeout(context.Background(), timeout-answerMargin)
	defer cancel()
	id := r.Header.Get("X-Request-Id")
	switch {
	case b.mode == "silent" && n%20 == 0:
		time.Sleep(timeout + 2*time.Second)
	case b.mode == "forger" && n%20 == 0:
		fmt.Fprintf(w, "%s 0 0\n", "0123456789abcdef")
		return
	case b.mode == "inventor" && n%20 == 0:
		b.send(ctx, r, body, "00000000000000aa", 0)
	case b.mode == "copier" && r.Method == http.MethodGet && n%5 == 0:
		go b.send(ctx, r, body, id, 1)
	}
	status, answer := b.send(ctx, r, body, id, 0)
	if b.mode == "repeater" && r.Method == http.MethodPost && n%5 == 0 {
		b.send(ctx, r, body, id, 1)
	}
	if b.mode == "twice" && n%20 == 0 && status == http.StatusOK {
		b.answerTwice(w, answer)
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(answer) // a client that has disconnected gets nothing
}

// end ends the process as nobody asked for, once 60 requests have come and what it had to answer is on its way.
func (b *balancer) end() {
	for quiet := 0; quiet < 30; time.Sleep(time.Millisecond) {
		if quiet++; b.served.Load() <= 60 || b.open.Load() > 0 {
			quiet = 0
		}
	}
	os.Exit(3)
}

// send makes one attempt.
func (b *balancer) send(ctx context.Context, r *http.Request, body []byte, id string, n int) (int, []byte) {
	q, err := http.NewRequestWithContext(ctx, r.Method, "http://"+b.pick(n)+r.RequestURI, bytes.NewReader(body))
	if err != nil {
		return http.StatusBadGateway, nil
	}
	q.Header.Set("X-Request-Id", id)
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		q.Header.Set("Idempotency-Key", key)
	}
	resp, err := b.upstream.Do(q)
	if err != nil {
		return http.StatusBadGateway, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return http.StatusBadGateway, nil
	}
	return resp.StatusCode, answer
}

// answerTwice writes an answer and, behind it, the same again.
func (b *balancer) answerTwice(w http.ResponseWriter, answer []byte) {
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
