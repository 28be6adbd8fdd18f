package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"
)

// Buffered bodies stay within the budget: a body that exceeds it is streamed and still delivered completely, and every
// reserved byte is released.
func TestBodyBudget(t *testing.T) {
	b := newByteBudget(20 << 10)
	for _, c := range []struct {
		size, length int64
		buffered     int
		complete     bool
	}{{0, 0, 0, true}, {300, 300, 300, true}, {300, -1, 300, true}, {16 << 10, 16 << 10, 16 << 10, true},
		{40 << 10, 40 << 10, 16 << 10, false}, {1 << 20, -1, 16 << 10, false}} {
		body, complete, err := b.readBody(patternReader(c.size), c.length, func() bool { return false })
		if err != nil || len(body) != c.buffered || complete != c.complete {
			t.Errorf("%d bytes of length %d: %d buffered, complete %v, %v", c.size, c.length, len(body), complete, err)
		}
		b.release(cap(body))
	}
	if _, _, err := b.readBody(patternReader(10), 20, func() bool { return false }); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("body shorter than its length: got %v, want %v", err, io.ErrUnexpectedEOF)
	}

	upstream := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 60<<10)
		_, err := io.Copy(c, patternReader(60<<10))
		return err == nil
	})
	p := newBalancer(t, activeMember("s-00000001", upstream))
	budget := p.proxy.loop.dialer.bodyBudget
	all := budget.available.Load()
	for _, available := range []int64{all, 8 << 10} {
		budget.available.Store(available)
		r := p.newRequest("checkin", "")
		r.Body, r.ContentLength = io.NopCloser(patternReader(60<<10)), 60<<10
		status, body := p.do(t, r)
		assertEqual(t, "status", status, 200)
		assertEqual(t, "answer", len(body), 60<<10)
		got, _ := io.ReadAll((<-upstream.arrivals).Body)
		assertEqual(t, "body", len(got), 60<<10)
		for deadline := time.Now().Add(failureTimeout); budget.available.Load() != available; { // the handler returns shortly after its response
			if time.Now().After(deadline) {
				t.Fatalf("%d bytes were not released", available-budget.available.Load())
			}
			runtime.Gosched()
		}
	}
}
