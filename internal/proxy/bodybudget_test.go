package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"
)

// A body that exceeds the budget is streamed and still delivered completely, and every reserved byte is released.
func TestBodyBudget(t *testing.T) {
	upstream := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 60<<10)
		_, err := io.Copy(c, patternReader(60<<10))
		return err == nil
	})
	p := newBalancer(t, activeMember("s-00000001", upstream))
	budget := p.proxy.loop.dialer.bodyBudget
	all := budget.Available()
	for _, available := range []int64{all, 8 << 10} {
		budget.Release(int(available - budget.Available()))
		r := p.newRequest("checkin", "")
		r.Body, r.ContentLength = io.NopCloser(patternReader(60<<10)), 60<<10
		status, body := p.do(t, r)
		assertEqual(t, "status", status, 200)
		assertEqual(t, "answer", len(body), 60<<10)
		got, _ := io.ReadAll((<-upstream.arrivals).Body)
		assertEqual(t, "body", len(got), 60<<10)
		for deadline := time.Now().Add(failureTimeout); budget.Available() != available; { // the handler returns shortly after its response
			if time.Now().After(deadline) {
				t.Fatalf("%d bytes were not released", available-budget.Available())
			}
			runtime.Gosched()
		}
	}
}
