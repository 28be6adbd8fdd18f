package proxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A drain sends clients away: the health check says no, answers close their connection, and one that idles is closed,
// one that never sent anything too. What is asked is still served, and all of it comes back with the drain's end.
func TestDrainSendsClientsAwayAndBack(t *testing.T) {
	s := newServer(t, okAll)
	b := newBalancer(t, up("s-00000001", s))
	get := func(r *http.Request) (status int, closes bool) {
		t.Helper()
		resp, err := b.client.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		io.Copy(io.Discard, resp.Body)
		return resp.StatusCode, resp.Close
	}
	health := func() *http.Request {
		r, err := http.NewRequest(http.MethodGet, b.url+"/healthz", nil)
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(30 * time.Second)) // only a failure takes as long
		return c
	}
	idle, silent := dial(), dial()
	if _, err := io.WriteString(idle, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if _, err := idle.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	status, closes := get(b.ask("checkin", ""))
	want(t, "status before", status, 200)
	want(t, "closes before", closes, false)

	for range 2 { // repeating it is harmless
		done, state := b.proxy.Drain(true)
		want(t, "drain-on", done, true)
		want(t, "state", state, "draining")
	}
	status, closes = get(health())
	want(t, "health while draining", status, http.StatusServiceUnavailable)
	want(t, "closes", closes, true)
	status, closes = get(b.ask("checkin", ""))
	want(t, "status while draining", status, 200)
	want(t, "closes", closes, true)
	for name, c := range map[string]net.Conn{"idle": idle, "silent": silent} {
		if _, err := io.Copy(io.Discard, c); err != nil && !strings.Contains(err.Error(), "reset") {
			t.Errorf("the %s connection was held: %v", name, err)
		}
	}

	for range 2 {
		b.proxy.Drain(false)
	}
	status, _ = get(health())
	want(t, "health after", status, 200)
	status, closes = get(b.ask("checkin", ""))
	want(t, "status after", status, 200)
	want(t, "closes after", closes, false)

	b.proxy.Drain(true) // the balancer still ends in good order
	b.cancel()
	if err := <-b.ended; err != nil {
		t.Error(err)
	}
	b.ended <- nil
	ready, _ := b.proxy.Ready()
	want(t, "ready at the end", ready, false)
}
