package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"time"
)

// During a drain health checks fail, responses close their connections, and idle connections are closed, including those
// that have never sent anything. Requests are still served. When the drain ends, normal service resumes.
func TestDrainAndResume(t *testing.T) {
	s := newTestUpstream(t, respondOK)
	b := newBalancer(t, activeMember("s-00000001", s))
	idle := b.dialConn(t)
	silent := b.dialConn(t)
	if _, err := io.WriteString(idle, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := idle.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	status, closes := b.statusAndClose(t, b.newRequest("checkin", ""))
	assertEqual(t, "status before", status, 200)
	assertEqual(t, "closes before", closes, false)

	for range 2 { // repeating the order has no further effect
		done, state := b.proxy.StartDrain()
		assertEqual(t, "drain-on", done, true)
		assertEqual(t, "state", state, "draining")
	}
	reused := false
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
	health := b.healthRequest(t)
	status, closes = b.statusAndClose(t, health.WithContext(httptrace.WithClientTrace(health.Context(), trace)))
	assertEqual(t, "health while draining", status, http.StatusServiceUnavailable)
	assertEqual(t, "closes", closes, true)
	status, closes = b.statusAndClose(t, b.newRequest("checkin", ""))
	assertEqual(t, "status while draining", status, 200)
	assertEqual(t, "closes", closes, true)
	for name, c := range map[string]net.Conn{"idle": idle, "silent": silent} {
		if _, err := io.Copy(io.Discard, c); err != nil && !strings.Contains(err.Error(), "reset") {
			t.Errorf("the %s connection was not closed: %v", name, err)
		}
	}

	closed := 4 // two with their responses, and the idle and the silent one
	if !reused {
		closed++ // the connection of the first request, which was idle for too long before the health check
	}
	eventually(t, fmt.Sprintf("%d connections count as closed", closed), func() bool {
		return b.metric(t, `svc_client_closes{cause="drain"}`) == closed
	})
	assertEqual(t, "closed by limit", b.metric(t, `svc_client_closes{cause="limit"}`), 0)
	eventually(t, "no connection is open", func() bool {
		return b.metric(t, `svc_client_connections{state="new"}`)+b.metric(t, `svc_client_connections{state="active"}`)+
			b.metric(t, `svc_client_connections{state="idle"}`) == 0
	})

	for range 2 {
		b.proxy.EndDrain()
	}
	status, _ = b.statusAndClose(t, b.healthRequest(t))
	assertEqual(t, "health after", status, 200)
	status, closes = b.statusAndClose(t, b.newRequest("checkin", ""))
	assertEqual(t, "status after", status, 200)
	assertEqual(t, "closes after", closes, false)

	b.proxy.StartDrain() // a draining balancer shuts down cleanly
	b.cancel()
	b.awaitEnd(t)
	ready, _ := b.proxy.Ready()
	assertEqual(t, "ready at the end", ready, false)
}

// statusAndClose sends a request, and returns the status of its response and whether that closes the connection.
func (b *testBalancer) statusAndClose(t *testing.T, r *http.Request) (status int, closes bool) {
	t.Helper()
	resp, err := b.client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close
}

// healthRequest returns a health check of the balancer.
func (b *testBalancer) healthRequest(t *testing.T) *http.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, b.url+"/healthz", nil)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A request that arrives late in a drain, so that it would still be recent at the drain's limit, is answered before the
// limit.
func TestTimeBeforeDrainLimit(t *testing.T) {
	const ms = time.Millisecond
	f := &frontend{}
	f.lifecycle.drain.startedAt.Store(int64(10 * time.Second))
	for _, x := range []struct{ since, timeout, want time.Duration }{
		{-5 * ms, 20000 * ms, 20000 * ms}, // before the drain
		{0, 20000 * ms, 20000 * ms},
		{1649 * ms, 20000 * ms, 20000 * ms}, // old enough at the limit
		{1650 * ms, 20000 * ms, 2000 * ms},
		{2500 * ms, 20000 * ms, 1150 * ms},
		{2500 * ms, 300 * ms, 300 * ms},
		{3700 * ms, 20000 * ms, 0},
		{4000 * ms, 20000 * ms, 20000 * ms}, // after the limit
	} {
		for _, draining := range []bool{false, true} {
			f.lifecycle.drain.begun.Store(draining)
			want := x.timeout
			if draining {
				want = x.want
			}
			got := f.lifecycle.schedule().BeforeDrainLimit(10*time.Second+x.since, x.timeout)
			assertEqual(t, fmt.Sprintf("draining %v, %v after", draining, x.since), got, want)
		}
	}
}

// After concurrent drain orders, the saved order agrees with the state of the balancer.
func TestConcurrentDrainOrdersAgree(t *testing.T) {
	b := newBalancerWith(t, newTestDiscovery(t), func(c *Config) { c.StateWriter = newMemoryWriter() })
	for round := range 2000 {
		var group sync.WaitGroup
		for _, order := range []func() (bool, string){b.proxy.StartDrain, b.proxy.EndDrain} {
			group.Go(func() { order() })
		}
		group.Wait()
		if ordered, draining := b.proxy.loop.saver.CurrentOrders().Drain, b.proxy.frontend.lifecycle.drain.isActive(); ordered != draining {
			t.Fatalf("round %d: the saved order is %v, the state %v", round, ordered, draining)
		}
	}
	b.proxy.EndDrain()
}
