package proxy

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A zone left by hand gets nothing new, also after discovery has told the whole list anew, and is back when told. The
// last zone can't be left, nor one that nobody knows.
func TestZoneLeftByHand(t *testing.T) {
	named := func(name string) *server {
		return newServer(t, func(c net.Conn, _ *http.Request) bool { return ok(c, name) })
	}
	a, z := named("a"), named("z")
	home, away := up("s-00000001", a), up("s-00000002", z)
	away.Locality = "z2"
	b := newBalancer(t, home, away)
	served := func(n int) map[string]int {
		t.Helper()
		by := map[string]int{}
		for range n {
			status, body := b.do(t, b.ask("checkin", ""))
			want(t, "status", status, 200)
			by[body]++
		}
		return by
	}
	status := func() string {
		t.Helper()
		var text strings.Builder
		if err := b.proxy.WriteZones(&text); err != nil {
			t.Fatal(err)
		}
		return text.String()
	}
	if by := served(40); by["a"] == 0 || by["z"] == 0 {
		t.Fatalf("before: served by %v", by)
	}
	done, state := b.proxy.Zone("z1", true)
	want(t, "zone-leave", done, true)
	want(t, "state", state, "left")
	if by := served(20); by["a"] > 0 {
		t.Errorf("left: served by %v", by)
	}
	list := listing{Revision: 12, Complete: true, Members: []member{home, away}}
	select {
	case b.registry.answers <- list:
	case <-time.After(30 * time.Second):
		t.Fatal("discovery was not asked")
	}
	if by := served(20); by["a"] > 0 {
		t.Errorf("left, and the list told anew: served by %v", by)
	}
	if got := status(); !strings.Contains(got, `zone "z1" left listed 1 share 0.000`) || !strings.Contains(got, `zone "z2" well listed 1 share 1.000`) {
		t.Errorf("status: %s", got)
	}
	for _, name := range []string{"z2", "z3"} {
		done, _ = b.proxy.Zone(name, true)
		want(t, "zone-leave "+name, done, false)
	}
	done, state = b.proxy.Zone("z1", false)
	want(t, "zone-return", done, true)
	want(t, "state", state, "returning")
	if got := status(); !strings.Contains(got, `zone "z1" returning`) {
		t.Errorf("status: %s", got)
	}
	if by := served(60); by["a"] == 0 {
		t.Errorf("returned: served by %v", by)
	}
	done, _ = b.proxy.Zone("z1", false)
	want(t, "zone-return again", done, false)
}
